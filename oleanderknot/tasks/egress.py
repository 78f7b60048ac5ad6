"""Handles the outgoing calls of the local upstream."""

import collections.abc
import time

from aiohttp import web
import pydantic

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import http_listener
from oleanderknot.tasks import ingress
from oleanderknot.tasks import request_refusal

ANNOUNCE_PATH = '/-/announce'
LEAVE_PATH = '/-/leave'

AnnounceFunction = collections.abc.Callable[
    [border.Announcement], collections.abc.Awaitable[None]
]


def attach_to_chain(
    call: model.Call, account: decisions.ChainAccount
) -> model.Call:
    """Make a call part of the chain of the request that caused it.

    Args:
        call: The call as built for the root of a chain.
        account: Account of the request that runs at the local upstream.

    Returns:
        The same call with the class, deadline and depth of its chain.
    """
    call.request_class = account.request_class
    call.deadline = min(call.deadline, account.deadline)
    call.depth = account.depth + 1
    call.ticket = account.ticket
    call.sampled = account.sampled
    return call


def isolate(call: model.Call) -> decisions.ChainAccount:
    """Open an account for a call that belongs to no known request.

    Such a call comes from a background job of the upstream or from a request
    whose ``traceparent`` was not propagated. It gets no retries, since the
    retry bound of its chain is unknown, and the class that is shed first.
    Its depth of 1 distinguishes it from requests of callers in the account.
    """
    call.depth = 1
    call.request_class = model.RequestClass.INTERNAL
    call.allowance = 0
    return decisions.open_account(call)


def build_handler(
    calls: dispatcher.Dispatcher,
    policy: decisions.PolicyTable,
    chains: decisions.ChainTable,
    announce: AnnounceFunction,
    leave: collections.abc.Callable[[], None],
) -> http_listener.HandleFunction:
    """Build the function that answers calls of the local upstream.

    Args:
        calls: Sends calls to upstreams.
        policy: Policy in force.
        chains: Accounts of the requests that run at the local upstream.
        announce: Called with each announcement of the upstream.
        leave: Called when the upstream announces that it is leaving.

    Returns:
        The function.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == ANNOUNCE_PATH:
            return await handle_announcement(request, announce)
        if request.path == LEAVE_PATH:
            leave()
            return web.Response(status=204)
        try:
            call = ingress.build_call(request, policy)
        except ValueError as error:
            return request_refusal.refuse(calls, request, str(error), depth=1)
        account = chains.find(call.trace_id)
        if account is None:
            return await ingress.exchange(request, call, isolate(call), calls)
        attach_to_chain(call, account)
        account.called.add((call.service, call.route))
        account.start_waiting(time.monotonic())
        try:
            return await ingress.exchange(request, call, account, calls)
        finally:
            account.stop_waiting(time.monotonic())

    return handle


async def handle_announcement(
    request: web.BaseRequest, announce: AnnounceFunction
) -> web.Response:
    """Validate and apply an announcement of the upstream."""
    try:
        announcement = border.Announcement.model_validate_json(
            await request.read()
        )
    except pydantic.ValidationError as error:
        return web.Response(status=400, text='%s\n' % error)
    await announce(announcement)
    return web.Response(status=204)
