"""Text of home keys."""

import re

from oleanderknot import model

PREFIX = 'ok1~'

# First character of the random part of a key that one node made for one
# attempt and that no caller has seen.
SINGLE_ATTEMPT = 'a'

# First character of the random part of a key that was made for a caller.
CALLER_KEY = 'c'

FORM = re.compile(
    r'ok1~([a-z0-9][a-z0-9.-]{0,62})~([0-9]{1,19})~([0-9]{1,11})'
    r'~([0-9A-Za-z]{16,64})'
)


def format_order_key(key: model.OrderKey) -> str:
    """Return the text of a home key."""
    return 'ok1~%s~%d~%d~%s' % (
        key.instance,
        key.incarnation,
        key.created_at,
        key.nonce,
    )


def parse_order_key(text: str) -> model.OrderKey | None:
    """Parse the text of a key.

    Args:
        text: The key as it stands in the header.

    Returns:
        The home key, or None for a key that the caller made.

    Raises:
        ValueError: The text starts like a home key but is none.
    """
    if not text.startswith(PREFIX):
        return None
    match = FORM.fullmatch(text)
    if match is None:
        raise ValueError(
            'the key starts with %s, but is not of the form '
            'ok1~<instance>~<incarnation>~<seconds>~<random>' % PREFIX
        )
    instance, incarnation, minted_at, nonce = match.groups()
    return model.OrderKey(
        instance=instance,
        incarnation=int(incarnation),
        created_at=int(minted_at),
        nonce=nonce,
    )


def is_single_attempt(key: model.OrderKey) -> bool:
    """Return whether a node made the key for one attempt of its own.

    Such a key is sent in one frame only, so a refusal of that frame needs
    no record: no second copy can ask for the key to be run.
    """
    return key.nonce.startswith(SINGLE_ATTEMPT)
