"""Refuses requests that cannot be understood."""

from aiohttp import web

from oleanderknot import border
from oleanderknot import model
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import http_answer


def build(
    request: web.BaseRequest, detail: str, rule: model.Rule
) -> model.Refusal:
    """Build the refusal of a request that cannot be understood.

    An earlier request with the same key may have run.

    Args:
        request: The request.
        detail: One English sentence for operators.
        rule: The rule that decided.

    Returns:
        The refusal.
    """
    verdict = model.Verdict.NOT_RUN
    if border.headers.IDEMPOTENCY_KEY in request.headers:
        verdict = model.Verdict.MAY_HAVE_RUN
    return model.Refusal(verdict=verdict, rule=rule, service='', detail=detail)


def refuse(
    calls: dispatcher.Dispatcher,
    request: web.BaseRequest,
    detail: str,
    *,
    depth: int,
) -> web.Response:
    """Count a request that cannot be understood and refuse it.

    Its class is not known; it counts as browsing, without a service.

    Args:
        calls: Counts decisions.
        request: The request.
        detail: One English sentence for operators.
        depth: 0 for a request of a caller, 1 for a call of the upstream.

    Returns:
        The response.
    """
    refusal = build(request, detail, model.Rule.BAD_REQUEST)
    call = model.Call(
        service='',
        method='',
        path='',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=0.0,
        trace_id='',
        span_id='',
        depth=depth,
    )
    calls.record_decision(call, refusal.rule, refusal.verdict, detail)
    return http_answer.build_refusal(refusal)
