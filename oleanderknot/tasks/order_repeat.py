"""Answers repeated requests, whose key already has a record."""

import time

from expression import Error

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import order_result
from oleanderknot.tasks import order_table


async def answer_repeat(
    table: order_table.OrderTable,
    call: model.Call,
    key: model.OrderKey | None,
    decision: model.KeyDecision,
    content: bytes,
    body: model.Body | None,
) -> order_result.CallResult:
    """Answer a request that is not run because of its key.

    Args:
        table: Records and running tasks.
        call: The call.
        key: Its home key; None for a caller-made key.
        decision: What the records decided, other than ``RUN``.
        content: First bytes of the request body.
        body: Rest of the request body, if it arrives in parts.

    Returns:
        The answer, or a refusal that says whether the key may have run.
    """
    if decision is model.KeyDecision.FULL:
        return refuse_records_full(table, call, key)
    if decision is model.KeyDecision.EXPIRED:
        return order_result.refuse(
            call, model.Rule.KEY_EXPIRED, 'the key is too old'
        )
    if decision is model.KeyDecision.OTHER_REQUEST:
        return order_result.refuse_key_reuse(call)
    digest = b''
    if body is not None:
        digest = await order_result.read_digest(content, body)
    if decision is model.KeyDecision.JOIN:
        await table.join(call.key, call.deadline - time.monotonic())
    record = table.records.records.get(call.key)
    if record is None:
        return order_result.refuse(
            call,
            model.Rule.CLAIM_UNKNOWN,
            'the request that ran first could not be settled',
        )
    if digest and record.body_digest and digest != record.body_digest:
        return order_result.refuse_key_reuse(call)
    return order_result.build_repeat_result(call, record)


def refuse_records_full(
    table: order_table.OrderTable,
    call: model.Call,
    key: model.OrderKey | None,
) -> order_result.CallResult:
    """Refuse a new key while the records are full.

    ``not run`` may be reported only for a home key whose refusal could be
    recorded; a caller-made key may have run elsewhere.
    """
    refusal = model.build_refusal(
        call,
        model.Verdict.NOT_RUN,
        model.Rule.KEY_RECORDS_FULL,
        'this node holds as many orders as it may',
    )
    refusal.unspent = call.allowance
    recorded = key is not None and (
        decisions.is_single_attempt(key)
        or table.records.refuse(
            call.key,
            refusal=refusal,
            expires_at=key.created_at + decisions.KEY_RETENTION_S,
        )
    )
    if not decisions.is_certainly_not_run(tombstone=recorded):
        refusal.verdict = model.Verdict.MAY_HAVE_RUN
    return Error(refusal)
