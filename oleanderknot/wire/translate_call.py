"""Converts calls, answers and refusals to and from thrift structs."""

import collections.abc

from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire import field_check
from oleanderknot.wire import translate_notice
from oleanderknot.wire import translate_report
from oleanderknot.wire.gen.peer import ttypes

REQUEST_CLASSES = tuple(model.RequestClass)
REPEAT_KINDS = tuple(model.RepeatKind)
VERDICTS = (model.Verdict.NOT_RUN, model.Verdict.MAY_HAVE_RUN)

# Largest fraction that a trace id gives. Added to a class, a larger one could
# round up to the next class.
MAX_RANK = 1 - 2**-32

RULE_BY_VALUE = {rule.value: rule for rule in model.Rule}


def flatten_headers(headers: model.Headers) -> list[bytes]:
    """Return a flat list of alternating header names and values."""
    return [part for header in headers for part in header]


def pair_headers(parts: list[bytes] | None) -> model.Headers:
    """Convert the list of ``flatten_headers`` back to pairs.

    Raises:
        BadFrame: The list is missing or its last name has no value.
    """
    if parts is None or len(parts) % 2:
        raise bad_frame.BadFrame('header list is missing or has an odd length')
    part = iter(parts)
    return list(zip(part, part, strict=True))


def open_from_call(
    call: model.Call,
    *,
    body: bytes,
    body_complete: bool,
    now: float,
    unix_time_s: float,
    clock_s: float,
) -> ttypes.Open:
    """Build the message that opens a call.

    Args:
        call: The call.
        body: First bytes of the request body.
        body_complete: Whether ``body`` is the whole body.
        now: Monotonic time in seconds.
        unix_time_s: Wall-clock time in seconds since 1970 (UTC).
        clock_s: Time in seconds of a clock that is never set and runs on
            while the machine is suspended.

    Returns:
        The message.
    """
    remaining_ms = max(0, int((call.deadline - now) * 1000))
    # 23 keyword arguments become a dictionary first, which takes more than
    # twice the instructions.
    message = ttypes.Open()
    message.service_name = call.service
    message.method = call.method
    message.path = call.path
    message.headers = flatten_headers(call.headers)
    message.body = body
    message.body_complete = body_complete
    message.request_class = call.request_class
    message.depth = call.depth
    message.deadline_ms = remaining_ms
    message.deadline_epoch_ms = int(unix_time_s * 1000) + remaining_ms
    message.allowance = call.allowance
    message.key = call.key
    message.idempotent = call.idempotent
    message.trace_id = call.trace_id
    message.span_id = call.span_id
    message.root_route = call.route
    message.ticket = call.ticket
    message.sampled = call.sampled
    message.repeat = call.repeat
    message.notice = translate_notice.notice_to_wire(call.notice)
    message.sent_ms = int(clock_s * 1000)
    message.organisation = call.organisation or None
    message.rank = call.rank
    return message


def call_from_open(
    message: ttypes.Open,
    *,
    now: float,
    find_delay_s: collections.abc.Callable[[ttypes.Open], float],
) -> model.Call:
    """Build a call from the message that opens it, and validate it.

    Args:
        message: The message.
        now: Monotonic time in seconds.
        find_delay_s: Returns how long a valid message waited before it was
            read, in seconds. One that waited in the socket buffer of a
            suspended process has less time left than it says.

    Returns:
        The call.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    # A search for None in a tuple compares each value for equality, which
    # takes three times as long.
    if (
        message.service_name is None
        or message.method is None
        or message.path is None
        or message.body is None
        or message.body_complete is None
        or message.depth is None
        or message.deadline_ms is None
        or message.deadline_epoch_ms is None
        or message.allowance is None
        or message.key is None
        or message.idempotent is None
        or message.trace_id is None
        or message.span_id is None
        or message.root_route is None
        or message.ticket is None
        or message.sampled is None
    ):
        raise bad_frame.BadFrame('open message with a missing field')
    if message.path[:1] != '/':
        raise bad_frame.BadFrame('open message with a relative path')
    if message.request_class not in (0, 1, 2, 3):
        raise bad_frame.BadFrame('open message with an invalid class')
    if not 0 <= message.depth < 1000:
        raise bad_frame.BadFrame('open message with an invalid depth')
    if not 0 <= message.allowance < 1000:
        raise bad_frame.BadFrame('open message with an invalid allowance')
    # Nodes of the previous version send no kind.
    repeat = message.repeat or 0
    if not 0 <= repeat < len(REPEAT_KINDS):
        raise bad_frame.BadFrame('open message with an invalid repeat')
    if message.deadline_ms < 0:
        raise bad_frame.BadFrame('open message with a negative deadline')
    if message.sent_ms is not None and message.sent_ms < 0:
        raise bad_frame.BadFrame('open message with a negative time')
    if message.rank is not None and not 0 <= message.rank <= MAX_RANK:
        raise bad_frame.BadFrame('open message with an invalid rank')
    return model.Call(
        service=message.service_name,
        method=message.method,
        path=message.path,
        headers=pair_headers(message.headers),
        request_class=REQUEST_CLASSES[message.request_class],
        depth=message.depth,
        deadline=now + message.deadline_ms / 1000 - find_delay_s(message),
        allowance=message.allowance,
        key=message.key,
        idempotent=message.idempotent,
        trace_id=message.trace_id,
        span_id=message.span_id,
        sampled=message.sampled,
        route=message.root_route,
        ticket=message.ticket,
        repeat=REPEAT_KINDS[repeat],
        notice=translate_notice.notice_from_wire(message.notice),
        organisation=message.organisation or '',
        rank=message.rank,
        has_body=bool(message.body) or not message.body_complete,
    )


def head_from_answer(answer: model.Answer) -> ttypes.Head:
    """Build the message that starts an answer."""
    message = ttypes.Head()
    message.status = answer.status
    message.headers = flatten_headers(answer.headers)
    message.body = answer.content
    message.body_complete = answer.body is None
    message.unspent = answer.unspent
    message.reports = translate_report.reports_to_wire(answer.reports)
    return message


def answer_from_head(
    message: ttypes.Head, body: model.Body | None
) -> model.Answer:
    """Build an answer from its first message, and validate it.

    Args:
        message: The message.
        body: Rest of the body; None when the message holds all of it.

    Returns:
        The answer.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    status = message.status
    if status is None:
        raise bad_frame.BadFrame('head message without status')
    if not 200 <= status <= 599:
        raise bad_frame.BadFrame('head message with an invalid status')
    if message.body is None:
        raise bad_frame.BadFrame('head message without body')
    unspent = message.unspent or 0
    if unspent < 0:
        raise bad_frame.BadFrame('head message with a negative allowance')
    return model.Answer(
        status=status,
        headers=pair_headers(message.headers),
        content=message.body,
        body=body,
        unspent=unspent,
        reports=translate_report.reports_from_wire(message.reports),
    )


def failure_from_refusal(refusal: model.Refusal) -> ttypes.Failure:
    """Build the message that refuses a call."""
    return ttypes.Failure(
        verdict=VERDICTS.index(refusal.verdict),
        rule=refusal.rule.value,
        ticket=refusal.ticket,
        service_name=refusal.service,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        unspent=refusal.unspent,
        reports=translate_report.reports_to_wire(refusal.reports),
    )


def refusal_from_failure(message: ttypes.Failure) -> model.Refusal:
    """Build a refusal from a failure message, and validate it.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    field_check.require(
        message.verdict in (0, 1), 'failure message with an invalid verdict'
    )
    field_check.require(
        message.rule in RULE_BY_VALUE, 'failure message with an unknown rule'
    )
    return model.Refusal(
        verdict=VERDICTS[message.verdict],
        rule=RULE_BY_VALUE[message.rule],
        service=message.service_name or '',
        detail=message.detail or '',
        ticket=message.ticket or 0,
        retry_after_ms=message.retry_after_ms or 0,
        unspent=max(0, message.unspent or 0),
        reports=translate_report.reports_from_wire(message.reports),
    )
