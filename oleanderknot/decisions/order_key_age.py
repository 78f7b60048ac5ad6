"""Age at which the home of a key still accepts it."""

from oleanderknot import model

# Seconds after its creation for which the home remembers a key.
KEY_RETENTION_S = 600

# Seconds that the clocks of two instances may differ.
CLOCK_SKEW_S = 5


def is_acceptable(key: model.OrderKey, now: float) -> bool:
    """Return whether a key without a record may be run.

    The record of an older key may have been dropped, and a key from the
    future would outlive its record.

    Args:
        key: The key.
        now: Wall-clock time of the home in seconds since 1970 (UTC).
    """
    age = now - key.created_at
    return -CLOCK_SKEW_S <= age <= KEY_RETENTION_S
