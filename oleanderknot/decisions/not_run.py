"""Whether `not run` may be said about a key."""


def is_certainly_not_run(
    *,
    tombstone: bool = False,
    claim_refused: bool = False,
    own_attempt: bool = False,
    sent: bool = True,
) -> bool:
    """Return whether it is certain that a key has not run and never will.

    Args:
        tombstone: The home of the key has recorded a refusal.
        claim_refused: The claim row of the key holds a refusal.
        own_attempt: This node made the key for this attempt.
        sent: The key was sent to a node.
    """
    return tombstone or claim_refused or (own_attempt and not sent)
