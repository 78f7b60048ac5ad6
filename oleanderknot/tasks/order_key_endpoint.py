"""HTTP endpoint that issues home keys to callers."""

import json
import time

from aiohttp import web

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import http_answer

PATH_PREFIX = '/-/order-keys/'


def build_probe_call(
    service: str, policy: decisions.PolicyTable
) -> model.Call:
    """Build a sample call by which the home is chosen."""
    service_policy, number = policy.find_service(service)
    route = decisions.match_route(service_policy, 'POST', '/')
    return model.Call(
        service=service,
        method='POST',
        path='/',
        headers=[],
        request_class=model.RequestClass.ORDER,
        deadline=time.monotonic() + route.deadline_ms / 1000,
        idempotent=False,
        trace_id='0' * 32,
        span_id='0' * 16,
        route=route.prefix,
        ticket=number,
    )


def handle_request(
    request: web.BaseRequest,
    call_dispatcher: dispatcher.Dispatcher,
    policy: decisions.PolicyTable,
) -> web.Response:
    """Answer a request for a home key.

    Args:
        request: The request, ``POST /-/order-keys/<service>``.
        call_dispatcher: Chooses the upstream whose node becomes the home.
        policy: Policy in force.

    Returns:
        Status 201 with the key, or a refusal.
    """
    service = request.path.removeprefix(PATH_PREFIX)
    if request.method != 'POST':
        return web.Response(status=405, headers={'Allow': 'POST'})
    call = build_probe_call(service, policy)
    member = call_dispatcher.choose(call, set())
    if member is None:
        return http_answer.build_refusal(call_dispatcher.refuse_early(call))
    key = call_dispatcher.orders.sender.make_key(
        member.instance, member.incarnation, decisions.CALLER_KEY_MARKER
    )
    content = {
        'key': key,
        'service': service,
        'valid_s': decisions.KEY_RETENTION_S,
    }
    return web.Response(
        status=201,
        text=json.dumps(content),
        content_type='application/json',
    )
