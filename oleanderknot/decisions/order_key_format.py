"""Text format of order keys that are created by a home node."""

import re

from oleanderknot import model

KEY_PREFIX = 'ok1~'

# First character of the random part of a key that a node created for a single
# attempt and did not disclose to any caller.
SINGLE_ATTEMPT_MARKER = 'a'

# First character of the random part of a key that was created for a caller.
CALLER_KEY_MARKER = 'c'

KEY_PATTERN = re.compile(
    r'ok1~([a-z0-9][a-z0-9.-]{0,62})~([0-9]{1,19})~([0-9]{1,11})'
    r'~([0-9A-Za-z]{16,64})'
)


def format_order_key(key: model.OrderKey) -> str:
    """Return the text form of an order key."""
    return 'ok1~%s~%d~%d~%s' % (
        key.instance,
        key.incarnation,
        key.created_at,
        key.nonce,
    )


def parse_order_key(text: str) -> model.OrderKey | None:
    """Parse the text form of an order key.

    Args:
        text: The key as received in the header.

    Returns:
        The order key, or None for a key that the caller created.

    Raises:
        ValueError: The text has the prefix of an order key but is malformed.
    """
    if not text.startswith(KEY_PREFIX):
        return None
    match = KEY_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            'the key starts with %s, but is not of the form '
            'ok1~<instance>~<incarnation>~<seconds>~<random>' % KEY_PREFIX
        )
    instance, incarnation, created_at, nonce = match.groups()
    return model.OrderKey(
        instance=instance,
        incarnation=int(incarnation),
        created_at=int(created_at),
        nonce=nonce,
    )


def is_single_attempt(key: model.OrderKey) -> bool:
    """Return whether a node created the key for a single attempt.

    Such a key is sent in only one frame, so a refusal of that frame needs
    no record: there is no second copy that could request a run.
    """
    return key.nonce.startswith(SINGLE_ATTEMPT_MARKER)
