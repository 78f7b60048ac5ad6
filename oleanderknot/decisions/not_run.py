"""Condition for the verdict that a key has not run."""


def is_certainly_not_run(
    *,
    tombstone: bool = False,
    claim_refused: bool = False,
    own_attempt: bool = False,
    sent: bool = True,
) -> bool:
    """Return whether it is certain that a key has not run and cannot run.

    Args:
        tombstone: Whether the home node of the key has recorded a refusal.
        claim_refused: Whether the claim row of the key holds a refusal.
        own_attempt: Whether this node made the key for this attempt.
        sent: Whether the key was sent to a node.
    """
    return tombstone or claim_refused or (own_attempt and not sent)
