"""Polling for conditions in other processes."""

import collections.abc
import time

# Bounds tests that hang. Tests wait for conditions and measure no durations.
TIMEOUT_S = 30
POLL_INTERVAL_S = 0.02


def wait_until(
    condition: collections.abc.Callable[[], object], what: str
) -> object:
    """Poll a condition until it returns a true value.

    Args:
        condition: The condition; an OSError counts as false.
        what: Description of the condition for the error message.

    Returns:
        The value that the condition returned.

    Raises:
        AssertionError: The condition was still false after ``TIMEOUT_S``.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(
        '%s: condition not met within %d s' % (what, TIMEOUT_S)
    )
