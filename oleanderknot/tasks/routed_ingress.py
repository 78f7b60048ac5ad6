"""Answers the requests of clients and the calls of the own upstream."""

import collections.abc
import hashlib
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import outcome
from oleanderknot.tasks import routed_dispatcher
from oleanderknot.tasks import traffic_policies

# A client may be kept waiting this much longer than its route's timeout. An
# answer that is on its way at the timeout is of more use than a refusal.
TIMEOUT_GRACE_S = 0.15

# Shortest time after which a refused client is asked to come back, and the
# spread that keeps refused clients from coming back together.
MIN_RETRY_AFTER_MS = 250
RETRY_SPREAD = 1.0

# Separates the id of a request from those of the calls made for it.
CALL_MARK = '.'

TOP_CLASS = max(model.RequestClass)


def build_handler(
    *,
    service: str,
    policies: traffic_policies.TrafficPolicies,
    calls: routed_dispatcher.RoutedDispatcher,
    chains: decisions.ChainTable,
    dialect: http_dialect.HttpDialect,
    rng: random.Random,
    measure: collections.abc.Callable[[float], None],
) -> client_listener.HandleFunction:
    """Build the function that answers requests.

    Args:
        service: Service of the own upstream, which all requests come from.
        policies: Traffic policy in force.
        calls: Sends calls to upstreams.
        chains: Requests that the own upstream works on.
        dialect: Reads and writes headers.
        rng: Source of randomness.
        measure: Takes the seconds from each request to its answer.

    Returns:
        The function.
    """

    async def handle(request: model.HttpRequest) -> model.HttpResponse:
        facts = dialect.parse_request_headers(request.headers)
        route = policies.routes.find(facts.host, request.target)
        problem = find_problem(facts, route, policies)
        if problem is not None:
            call = build_call(request, facts, None, service='', version=0)
            calls.record(call, problem.rule, problem.verdict, problem.detail)
            return refuse(facts, problem)
        call = build_call(
            request,
            facts,
            route,
            service=policies.routes.choose_target(route),
            version=policies.version,
        )
        call.headers = dialect.add_calling_service(facts.headers, service)
        account = None
        if CALL_MARK in facts.request_id:
            account = chains.find(call.trace_id)
        if account is None:
            return await exchange(call, request, facts, route)
        call.request_class = account.request_class
        call.depth = account.depth + 1
        account.called.add((call.service, call.route))
        account.start_waiting(time.monotonic())
        try:
            return await exchange(call, request, facts, route)
        finally:
            account.stop_waiting(time.monotonic())

    async def exchange(
        call: model.Call,
        request: model.HttpRequest,
        facts: model.RequestMetadata,
        route: model.Route,
    ) -> model.HttpResponse:
        result = await calls.dispatch(
            call, request.content, max_attempts=route.max_attempts
        )
        measure(time.monotonic() - request.received_at)
        if result.is_error():
            refusal = result.error
            calls.record(call, refusal.rule, refusal.verdict, refusal.detail)
            return refuse(facts, refusal)
        answer = result.ok
        rule, verdict, detail = outcome.judge(answer.status, None)
        calls.record(call, rule, verdict, detail)
        return model.HttpResponse(
            status=answer.status,
            headers=answer.headers,
            content=answer.content,
        )

    def refuse(
        facts: model.RequestMetadata, refusal: model.Refusal
    ) -> model.HttpResponse:
        wait_ms = max(MIN_RETRY_AFTER_MS, refusal.retry_after_ms)
        refusal.retry_after_ms = int(
            wait_ms * (1 + RETRY_SPREAD * rng.random())
        )
        return dialect.build_refusal_response(facts.request_id, refusal)

    return handle


def find_problem(
    facts: model.RequestMetadata,
    route: model.Route | None,
    policies: traffic_policies.TrafficPolicies,
) -> model.Refusal | None:
    """Return why a request is refused before it becomes a call, or None."""
    if policies.policy is None:
        rule = model.Rule.NO_POLICY
        detail = 'this node knows no policy yet'
    elif route is None:
        rule = model.Rule.NO_ROUTE
        detail = 'no route of version %d matches' % policies.version
    elif not facts.request_id:
        rule = model.Rule.BAD_REQUEST
        detail = 'the request has no id'
    else:
        return None
    return model.Refusal(
        verdict=model.Verdict.NOT_RUN, rule=rule, service='', detail=detail
    )


def build_call(
    request: model.HttpRequest,
    facts: model.RequestMetadata,
    route: model.Route | None,
    *,
    service: str,
    version: int,
) -> model.Call:
    """Build the call of a request.

    The calls of one request share its id up to the first mark, so that all
    nodes give them the same priority.
    """
    wait_s = facts.client_timeout_s
    if route is not None:
        longest_s = route.timeout_s + TIMEOUT_GRACE_S
        wait_s = longest_s if wait_s is None else min(wait_s, longest_s)
    trace_id = build_trace_id(facts.request_id)
    priority = 0 if route is None else route.priority
    if decisions.is_reserved(trace_id):
        priority = 0
    return model.Call(
        service=service,
        method=request.method,
        path=request.target,
        headers=facts.headers,
        request_class=model.RequestClass(min(priority, TOP_CLASS)),
        deadline=request.received_at + (wait_s or 0.0),
        trace_id=trace_id,
        span_id=facts.request_id,
        idempotent=route is not None and route.idempotent,
        route='' if route is None else route.name,
        ticket=version,
        has_body=bool(request.content),
    )


def build_trace_id(request_id: str) -> str:
    """Return the trace id that a request and its calls share."""
    root = request_id.partition(CALL_MARK)[0]
    return hashlib.blake2b(root.encode(), digest_size=16).hexdigest()
