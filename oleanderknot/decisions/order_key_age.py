"""Age limit of order keys at their home node."""

from oleanderknot import model

# Seconds after the creation of a key for which its home node keeps a record.
KEY_RETENTION_S = 600

# Maximum clock difference between two instances.
CLOCK_SKEW_S = 5


def has_valid_age(key: model.OrderKey, now: float) -> bool:
    """Return whether the age of a key without a record permits a run.

    The record of an older key may already have been dropped, and a key with
    a creation time in the future would remain valid after its record is
    dropped.

    Args:
        key: The key.
        now: Wall-clock time of the home node in seconds since 1970 (UTC).
    """
    age = now - key.created_at
    return -CLOCK_SKEW_S <= age <= KEY_RETENTION_S
