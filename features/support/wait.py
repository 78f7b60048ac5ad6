"""Waits for events in other processes."""

import collections.abc
import time

# Only a limit for a test that hangs; tests wait for events and do not time.
LIMIT_S = 30
POLL_S = 0.02


def wait_until(
    condition: collections.abc.Callable[[], object], what: str
) -> object:
    """Call a condition until it returns something true.

    Args:
        condition: The condition; an OSError counts as false.
        what: What is waited for, for the message.

    Returns:
        What the condition returned.

    Raises:
        AssertionError: The condition stayed false for ``LIMIT_S``.
    """
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError('%s did not happen in %d s' % (what, LIMIT_S))
