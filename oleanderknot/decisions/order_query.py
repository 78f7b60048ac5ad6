"""Answer of a home node to a query about the state of an order key."""

import dataclasses

from oleanderknot import model
from oleanderknot.decisions import order_key_age
from oleanderknot.decisions import order_record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryAnswer:
    """Answer to a query about an order key.

    Attributes:
        state: State of the key.
        tombstone: Whether a refusal must be recorded before answering.
        rule: Reason for the state ``UNKNOWN``.
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
    """Decide the answer to a query about an order key.

    Args:
        key: The key.
        record: The key's record at this node, or None.
        home: Identity of this node.
        now: Wall-clock time in seconds since 1970 (UTC).

    Returns:
        The answer; ``REFUSED`` is valid only once the tombstone is recorded.
    """
    if (key.instance, key.incarnation) != (home.instance, home.incarnation):
        return QueryAnswer(
            state=model.OrderState.UNKNOWN,
            rule=model.Rule.KEY_EARLIER_INCARNATION,
        )
    if record is not None:
        return QueryAnswer(state=record.state)
    if not order_key_age.has_valid_age(key, now):
        return QueryAnswer(
            state=model.OrderState.UNKNOWN, rule=model.Rule.KEY_EXPIRED
        )
    return QueryAnswer(state=model.OrderState.REFUSED, tombstone=True)
