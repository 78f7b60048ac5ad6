"""Results of requests whose key is known at its home."""

import dataclasses
import hashlib

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire

CallResult = Result[model.Answer, model.Refusal]


def refuse(
    call: model.Call,
    rule: model.Rule,
    detail: str,
    verdict: model.Verdict = model.Verdict.MAY_HAVE_RUN,
) -> CallResult:
    """Refuse a call and return its whole retry allowance."""
    refusal = model.build_refusal(call, verdict, rule, detail)
    refusal.unspent = call.allowance
    return Error(refusal)


def refuse_bad_request(call: model.Call, detail: str) -> CallResult:
    """Refuse a call whose key is malformed and cannot have run."""
    return refuse(call, model.Rule.BAD_REQUEST, detail, model.Verdict.NOT_RUN)


def refuse_key_reuse(call: model.Call) -> CallResult:
    """Refuse a call whose key belongs to another request.

    The key may have run, although not for this request.
    """
    return refuse(
        call,
        model.Rule.BAD_REQUEST,
        'the key was used before with another method, path or body',
    )


def build_internal_error(call: model.Call) -> CallResult:
    """Return the result of a run that failed with an internal error."""
    return refuse(
        call, model.Rule.INTERNAL_ERROR, 'the node beside the upstream failed'
    )


def build_repeat_result(
    call: model.Call, record: decisions.OrderRecord
) -> CallResult:
    """Build the result of a repeat from the record of its key."""
    if record.state is model.OrderState.RUNNING:
        return refuse(
            call,
            model.Rule.KEY_RUNNING,
            'the request still ran when the deadline of its repeat came',
        )
    if record.answer is not None:
        return Ok(
            dataclasses.replace(
                record.answer, unspent=call.allowance, reports=()
            )
        )
    refusal = record.refusal
    if refusal is None:
        return refuse(
            call,
            model.Rule.KEY_ANSWER_NOT_KEPT,
            'the request ran, but its answer was too large to keep',
        )
    if record.state is model.OrderState.REFUSED:
        return refuse(
            call,
            model.Rule.KEY_REFUSED,
            'the key was refused before: ' + refusal.detail,
            model.Verdict.NOT_RUN,
        )
    return refuse(call, refusal.rule, refusal.detail)


def describe_record(record: decisions.OrderRecord | None) -> wire.KeyState:
    """Build the answer to a query about a key.

    Args:
        record: The key's record, or None when its outcome is unknown.
    """
    if record is None:
        return wire.build_key_state(model.OrderState.UNKNOWN)
    return wire.build_key_state(
        record.state, answer=record.answer, refusal=record.refusal
    )


async def read_digest(content: bytes, body: model.Body) -> bytes:
    """Read the body of a repeat to its end, and digest it.

    Returns:
        The digest; empty when the body is incomplete.
    """
    digest = hashlib.blake2b(content, digest_size=16)
    try:
        while data := await body.read():
            digest.update(data)
    except model.IncompleteBodyError:
        return b''
    return digest.digest()
