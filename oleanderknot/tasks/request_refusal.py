"""Refuses invalid requests."""

from aiohttp import web

from oleanderknot import border
from oleanderknot import model
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import http_answer


def build(
    request: web.BaseRequest, detail: str, rule: model.Rule
) -> model.Refusal:
    """Build the refusal of an invalid request.

    The verdict of a request with an idempotency key is ``may have run``,
    since an earlier request with the same key may have run.

    Args:
        request: The request.
        detail: One English sentence for operators.
        rule: The rule that made the decision.

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
    """Count an invalid request and build its response.

    The class of the request is unknown; it is counted as browsing, without a
    service.

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
