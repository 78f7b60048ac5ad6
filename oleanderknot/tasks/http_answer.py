"""Builds HTTP responses from answers and refusals."""

import json

from aiohttp import web
import multidict

from oleanderknot import border
from oleanderknot import model

STATUS_BY_VERDICT = {
    model.Verdict.NOT_RUN: 503,
    model.Verdict.MAY_HAVE_RUN: 504,
}

CUSTOMER_TEXTS = {
    model.Verdict.NOT_RUN: (
        'Your request was not carried out. Nothing has been ordered, booked '
        'or charged. Please try again.'
    ),
    model.Verdict.MAY_HAVE_RUN: (
        'We cannot tell whether your request was carried out. Please check '
        'before you try again.'
    ),
}

DEFAULT_RETRY_AFTER_S = 1


def build_headers(answer: model.Answer) -> multidict.CIMultiDict[str]:
    """Build response headers from the end-to-end headers of an answer."""
    headers = multidict.CIMultiDict()
    for name, value in answer.headers:
        headers.add(name.decode('latin-1'), value.decode('latin-1'))
    return headers


def build_response(
    request: web.BaseRequest, answer: model.Answer
) -> web.Response:
    """Build the response for an answer with a complete body.

    Args:
        request: The request.
        answer: The answer.

    Returns:
        The response.
    """
    headers = build_headers(answer)
    if request.method != 'HEAD':
        headers.popall('Content-Length', None)
    return web.Response(
        status=answer.status, headers=headers, body=answer.content or None
    )


def build_stream(answer: model.Answer) -> web.StreamResponse:
    """Build the response for an answer with a streamed body."""
    response = web.StreamResponse(
        status=answer.status, headers=build_headers(answer)
    )
    if 'Content-Length' not in response.headers:
        response.enable_chunked_encoding()
    return response


def build_refusal(refusal: model.Refusal) -> web.Response:
    """Build the response for a refusal.

    Args:
        refusal: The refusal.

    Returns:
        Status 503 for ``not run``, 504 for ``may have run``, 400 for a bad
        request and 413 for a body that is too large; headers and a JSON body
        state the reason.
    """
    status = STATUS_BY_VERDICT[refusal.verdict]
    if refusal.rule is model.Rule.BAD_REQUEST:
        status = 400
    elif refusal.rule is model.Rule.BODY_TOO_LARGE:
        status = 413
    retry_after = max(
        DEFAULT_RETRY_AFTER_S, -(-refusal.retry_after_ms // 1000)
    )
    headers = {
        border.headers.VERDICT: refusal.verdict.value,
        border.headers.RULE: refusal.rule.value,
        border.headers.TICKET: str(refusal.ticket),
    }
    if status == 503:
        headers['Retry-After'] = str(retry_after)
    content = {
        'verdict': refusal.verdict.value,
        'rule': refusal.rule.value,
        'ticket': refusal.ticket,
        'service': refusal.service,
        'detail': refusal.detail,
        'retry_after_ms': refusal.retry_after_ms,
        'customer': CUSTOMER_TEXTS[refusal.verdict],
    }
    return web.Response(
        status=status,
        headers=headers,
        text=json.dumps(content),
        content_type='application/json',
    )
