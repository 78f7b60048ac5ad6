"""Handles requests of clients and calls of the local upstream by route."""

import collections.abc
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import key_check
from oleanderknot.tasks import outcome
from oleanderknot.tasks import quota
from oleanderknot.tasks import returning_clients
from oleanderknot.tasks import routed_call
from oleanderknot.tasks import routed_dispatcher
from oleanderknot.tasks import stop_schedule
from oleanderknot.tasks import traffic_policies

# Minimum Retry-After of a refusal, and the random share added to it so that
# refused clients do not retry at the same time.
MIN_RETRY_AFTER_MS = 250
RETRY_SPREAD = 1.0

# Lowest HTTP status of a response that serves no client.
MIN_ERROR_STATUS = 500

# Sets the return time of a refusal, and returns whether it has.
PlanFunction = collections.abc.Callable[[model.Refusal], bool]


def build_handler(
    *,
    service: str,
    local_hosts: frozenset[str],
    policies: traffic_policies.TrafficPolicies,
    calls: routed_dispatcher.RoutedDispatcher,
    limits: quota.Quota,
    chains: decisions.ChainTable,
    dialect: http_dialect.HttpDialect,
    rng: random.Random,
    measure: collections.abc.Callable[[float], None],
    schedule: stop_schedule.StopSchedule,
    returning: returning_clients.ReturningClients | None = None,
) -> client_listener.HandleFunction:
    """Build the function that answers requests of clients.

    Args:
        service: Service of the local upstream, the origin of all requests.
        local_hosts: IP addresses of this instance, from one of which the
            local upstream sends its calls.
        policies: Traffic policy in force.
        calls: Sends calls to upstreams.
        limits: Limits of organisations over all nodes.
        chains: Accounts of the requests that run at the local upstream.
        dialect: Decodes and builds headers.
        rng: Source of randomness.
        measure: Called with the seconds from each request to its answer.
        schedule: Schedule of the planned stop of the node.
        returning: Clients that may come back after a refusal; None if they
            are not remembered.

    Returns:
        The function.
    """

    async def handle(request: model.HttpRequest) -> model.HttpResponse:
        metadata = dialect.parse_request_headers(request.headers)
        route = policies.routes.find(metadata.host, request.target)
        is_from_upstream = may_be_nested(request, metadata)
        account = (
            chains.find_caller(metadata.request_id)
            if is_from_upstream
            else None
        )
        trace_id = (
            routed_call.build_trace_id(rng)
            if account is None
            else account.trace_id
        )
        organisation = None
        rejection = routed_call.find_rejection(metadata, route, policies)
        if rejection is None and policies.policy.requires_keys:
            holder = authenticate(
                metadata, route, account is not None, is_from_upstream
            )
            if isinstance(holder, model.Refusal):
                rejection = holder
            else:
                organisation = holder
        if rejection is not None:
            call = routed_call.build_call(
                request,
                metadata,
                None,
                service='',
                version=0,
                trace_id=trace_id,
            )
            calls.record(
                call, rejection.rule, rejection.verdict, rejection.detail
            )
            return refuse(metadata, rejection)
        call = routed_call.build_call(
            request,
            metadata,
            route,
            service=policies.routes.choose_target(route),
            version=policies.version,
            trace_id=trace_id,
            organisation=organisation,
        )
        call.headers = dialect.add_calling_service(metadata.headers, service)
        call.deadline = min(call.deadline, schedule.answer_by)
        if account is None:
            if request.received_at >= schedule.refuse_from:
                return refuse_stopping(metadata, call)
            if organisation is None or not organisation.rate:
                return await exchange_root(call, request, metadata, route)
            return await exchange_limited(
                call, request, metadata, route, organisation
            )
        call.request_class = account.request_class
        call.organisation = account.organisation
        call.rank = account.rank
        call.depth = account.depth + 1
        if account.repeated:
            call.repeat = model.RepeatKind.NESTED
        account.called.add((call.service, call.route))
        account.start_waiting(time.monotonic())
        try:
            return await exchange(call, request, metadata, route)
        finally:
            account.stop_waiting(time.monotonic())

    def may_be_nested(
        request: model.HttpRequest, metadata: model.RequestMetadata
    ) -> bool:
        """Return whether the upstream may have sent a request.

        The form of its id alone proves nothing, since clients choose theirs.
        """
        if decisions.CALL_ID_SEPARATOR not in metadata.request_id:
            return False
        if request.source not in local_hosts:
            return False
        # Calls carry no key, and other credentials mean nothing to the system
        # while the policy has no keys.
        return not (
            metadata.has_credentials
            and policies.policy is not None
            and policies.policy.requires_keys
        )

    def authenticate(
        metadata: model.RequestMetadata,
        route: model.Route,
        is_nested: bool,
        is_from_upstream: bool,
    ) -> model.Organisation | model.Refusal | None:
        """Find the organisation of a request and replace the key by it."""
        holder = key_check.check_key(
            metadata,
            route,
            policies.keys,
            is_nested=is_nested,
            is_orphan=is_from_upstream and not is_nested,
        )
        if not isinstance(holder, model.Refusal):
            metadata.headers = dialect.set_organisation(
                metadata.headers, '' if holder is None else holder.name
            )
        return holder

    async def exchange_limited(
        call: model.Call,
        request: model.HttpRequest,
        metadata: model.RequestMetadata,
        route: model.Route,
        organisation: model.Organisation,
    ) -> model.HttpResponse:
        """Answer a request of an organisation that has a rate limit."""
        wait_s = await limits.acquire(organisation)
        if wait_s is None:
            taken_at = time.monotonic()
            return await exchange_root(
                call,
                request,
                metadata,
                route,
                on_not_run=lambda: limits.give_back(
                    organisation.name, taken_at
                ),
            )
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.QUOTA,
            limits.describe(organisation.name),
        )
        refusal.retry_after_ms = int(wait_s * 1000)
        calls.record(call, refusal.rule, refusal.verdict, refusal.detail)
        return refuse(metadata, refusal)

    async def exchange(
        call: model.Call,
        request: model.HttpRequest,
        metadata: model.RequestMetadata,
        route: model.Route,
        plan_return: PlanFunction = plan_nothing,
    ) -> model.HttpResponse:
        result = await calls.dispatch(
            call, request.content, max_attempts=route.max_attempts
        )
        measure(time.monotonic() - request.received_at)
        if result.is_error():
            refusal = result.error
            planned = plan_return(refusal)
            calls.record(call, refusal.rule, refusal.verdict, refusal.detail)
            if planned:
                return dialect.build_refusal_response(
                    metadata.request_id, refusal
                )
            return refuse(metadata, refusal)
        answer = result.ok
        rule, verdict, detail = outcome.classify(answer.status, None)
        calls.record(call, rule, verdict, detail)
        return model.HttpResponse(
            status=answer.status,
            headers=answer.headers,
            content=answer.content,
        )

    async def exchange_root(
        call: model.Call,
        request: model.HttpRequest,
        metadata: model.RequestMetadata,
        route: model.Route,
        on_not_run: collections.abc.Callable[[], None] = lambda: None,
    ) -> model.HttpResponse:
        """Answer a request of a client, which may be returning."""
        identity = {
            'host': metadata.host,
            'content': request.content,
            'client_deadline': call.deadline
            if metadata.client_timeout_s is None
            else request.received_at + metadata.client_timeout_s,
            'received_at': request.received_at,
        }
        earlier = (
            None
            if returning is None
            else returning.recognise(call, **identity)
        )
        call.rank = calls.find_rank(
            call,
            earlier
            if earlier is not None and earlier.is_due(request.received_at)
            else None,
        )

        def plan_return(refusal: model.Refusal) -> bool:
            if refusal.verdict is model.Verdict.NOT_RUN:
                on_not_run()
            return returning is not None and returning.note_refusal(
                call, refusal, earlier, **identity
            )

        response = await exchange(call, request, metadata, route, plan_return)
        if returning is not None and response.status < MIN_ERROR_STATUS:
            returning.note_answer(call)
        return response

    def refuse_stopping(
        metadata: model.RequestMetadata, call: model.Call
    ) -> model.HttpResponse:
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.LEAVING,
            'the node stops and the request could not end before',
        )
        calls.record(call, refusal.rule, refusal.verdict, refusal.detail)
        return refuse(metadata, refusal)

    def refuse(
        metadata: model.RequestMetadata, refusal: model.Refusal
    ) -> model.HttpResponse:
        wait_ms = max(MIN_RETRY_AFTER_MS, refusal.retry_after_ms)
        refusal.retry_after_ms = int(
            wait_ms * (1 + RETRY_SPREAD * rng.random())
        )
        return dialect.build_refusal_response(metadata.request_id, refusal)

    return handle


def plan_nothing(refusal: model.Refusal) -> bool:
    """Assign no return time to a refused call."""
    return False
