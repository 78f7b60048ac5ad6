"""What the home of a key answers to a question about it."""

import dataclasses

from oleanderknot import model
from oleanderknot.decisions import order_key_age
from oleanderknot.decisions import order_record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryAnswer:
    """Answer to a question about a key.

    Attributes:
        state: State of the key.
        tombstone: Whether a refusal must be recorded before the answer.
        rule: Rule behind ``UNKNOWN``.
    """

    state: model.OrderState
    tombstone: bool = False
    rule: model.Rule = model.Rule.KEY_REFUSED


def answer_query(
    key: model.OrderKey,
    record: order_record.OrderRecord | None,
    *,
    home: model.NodeIdentity,
    now: float,
) -> QueryAnswer:
    """Decide what a question about a home key is answered.

    Args:
        key: The key.
        record: The key's record at this node, if there is one.
        home: Identity of this node.
        now: Wall-clock time in seconds since 1970 (UTC).

    Returns:
        The answer; ``REFUSED`` holds once the tombstone is recorded.
    """
    if (key.instance, key.incarnation) != (home.instance, home.incarnation):
        return QueryAnswer(
            state=model.OrderState.UNKNOWN,
            rule=model.Rule.KEY_EARLIER_INCARNATION,
        )
    if record is not None:
        return QueryAnswer(state=record.state)
    if not order_key_age.is_acceptable(key, now):
        return QueryAnswer(
            state=model.OrderState.UNKNOWN, rule=model.Rule.KEY_EXPIRED
        )
    return QueryAnswer(state=model.OrderState.REFUSED, tombstone=True)
