"""Handles requests of callers, the roots of call chains."""

import asyncio

from absl import logging
from aiohttp import web
from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import http_answer
from oleanderknot.tasks import http_exchange
from oleanderknot.tasks import http_listener
from oleanderknot.tasks import order_key_endpoint
from oleanderknot.tasks import outcome
from oleanderknot.tasks import request_refusal
from oleanderknot.tasks import root_call

# Lowest status that a client may take as a reason to repeat a request.
MIN_FAILURE_STATUS = 500


def build_call(
    request: web.BaseRequest, policy: decisions.PolicyTable
) -> model.Call:
    """Build the root call of a chain from a request.

    Args:
        request: The request of a caller.
        policy: Policy in force.

    Returns:
        The call, with the full retry allowance of its route.

    Raises:
        ValueError: The path or a header is malformed.
    """
    return root_call.build_root_call(
        method=request.method,
        raw_path=request.raw_path,
        headers=request.headers,
        raw_headers=request.raw_headers,
        has_body=request.body_exists,
        policy=policy,
    )


def build_handler(
    calls: dispatcher.Dispatcher, policy: decisions.PolicyTable
) -> http_listener.HandleFunction:
    """Build the function that answers requests of callers.

    Args:
        calls: Sends calls to upstreams.
        policy: Policy in force.

    Returns:
        The function.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(order_key_endpoint.PATH_PREFIX):
            return order_key_endpoint.handle_request(request, calls, policy)
        try:
            call = build_call(request, policy)
        except ValueError as error:
            return request_refusal.refuse(calls, request, str(error), depth=0)
        return await exchange(
            request, call, decisions.open_account(call), calls
        )

    return handle


async def exchange(
    request: web.BaseRequest,
    call: model.Call,
    account: decisions.ChainAccount,
    calls: dispatcher.Dispatcher,
) -> web.StreamResponse:
    """Dispatch the call of a request and send the answer to the caller.

    Args:
        request: The request.
        call: The call built from the request.
        account: Account that retries are charged to.
        calls: Sends calls to upstreams.

    Returns:
        The response.
    """
    calls.on_root_call(call)
    try:
        content, body = await http_exchange.read_body(request)
    except model.IncompleteBodyError as error:
        refusal = request_refusal.build(request, str(error), error.rule)
        return refuse(call, calls, refusal)
    except asyncio.CancelledError:
        count_disconnect(call, calls, model.Verdict.NOT_RUN)
        raise
    if not account.admit_repeat(call):
        return refuse(call, calls, build_allowance_refusal(call))
    result = await dispatch_safely(call, account, content, body, calls)
    if result.is_error():
        account.note_failure(call)
        return refuse(call, calls, result.error)
    answer = result.ok
    if answer.status >= MIN_FAILURE_STATUS:
        account.note_failure(call)
    truncated_by: model.Rule | None = model.Rule.CALLER_LEFT
    try:
        response, truncated_by = await http_exchange.send_answer(
            request, answer
        )
    finally:
        if truncated_by is not None:
            account.note_failure(call)
        calls.record_decision(
            call, *outcome.classify(answer.status, truncated_by)
        )
    return response


async def dispatch_safely(
    call: model.Call,
    account: decisions.ChainAccount,
    content: bytes,
    body: model.Body | None,
    calls: dispatcher.Dispatcher,
) -> Result[model.Answer, model.Refusal]:
    """Dispatch a call and turn an unexpected exception into a refusal.

    Otherwise the caller would get a response without a verdict, and the
    account would miss the call.
    """
    try:
        return await calls.dispatch(call, account, content, body)
    except asyncio.CancelledError:
        count_disconnect(call, calls, model.Verdict.MAY_HAVE_RUN)
        raise
    except Exception:
        logging.exception(
            'unexpected error while dispatching a call to %s', call.service
        )
        return Error(
            model.build_refusal(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.INTERNAL_ERROR,
                'this node failed while it worked on the request',
            )
        )


def count_disconnect(
    call: model.Call, calls: dispatcher.Dispatcher, verdict: model.Verdict
) -> None:
    """Count a call whose caller disconnected before the answer."""
    calls.record_decision(
        call,
        model.Rule.CALLER_LEFT,
        verdict,
        'the caller disconnected before the answer',
    )


def refuse(
    call: model.Call, calls: dispatcher.Dispatcher, refusal: model.Refusal
) -> web.Response:
    """Count a refusal and build the response."""
    calls.record_decision(call, refusal.rule, refusal.verdict, refusal.detail)
    return http_answer.build_refusal(refusal)


def build_allowance_refusal(call: model.Call) -> model.Refusal:
    """Build the refusal of a repeated call without retry allowance."""
    keyed = call.key and not call.idempotent
    return model.build_refusal(
        call,
        model.Verdict.MAY_HAVE_RUN if keyed else model.Verdict.NOT_RUN,
        model.Rule.RETRY_ALLOWANCE,
        'the request has no retry left for a repeated call',
    )
