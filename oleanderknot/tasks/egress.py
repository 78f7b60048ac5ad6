"""Takes the outgoing calls of the own upstream."""

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


def join_chain(
    call: model.Call, account: decisions.ChainAccount
) -> model.Call:
    """Put a call under the request that caused it.

    Args:
        call: The call as built for a root.
        account: Account of the request that runs at the upstream.

    Returns:
        The same call with class, deadline and depth of its chain.
    """
    call.request_class = account.request_class
    call.deadline = min(call.deadline, account.deadline)
    call.depth = account.depth + 1
    call.ticket = account.ticket
    call.sampled = account.sampled
    return call


def isolate(call: model.Call) -> decisions.ChainAccount:
    """Return the account of a call that belongs to no known request.

    Such a call may come from a job of the upstream, or from a request whose
    ``traceparent`` was not passed on. It gets no retries, since a bound for
    its chain is not known, and the class that is shed first. Its depth
    keeps it apart from the requests of callers in the account.
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
    """Build the function that answers calls of the own upstream.

    Args:
        calls: Sends calls to upstreams.
        policy: Policy in force.
        chains: Accounts of the requests that run at the upstream.
        announce: Takes an announcement of the upstream.
        leave: Takes the upstream's word that it is leaving.

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
        join_chain(call, account)
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
    """Take an announcement of the upstream."""
    try:
        announcement = border.Announcement.model_validate_json(
            await request.read()
        )
    except pydantic.ValidationError as error:
        return web.Response(status=400, text='%s\n' % error)
    await announce(announcement)
    return web.Response(status=204)
