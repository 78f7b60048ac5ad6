"""Builds the calls of requests that match a route of the policy."""

import random

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import traffic_policies

# Grace period added to the timeout of a route. An answer that is in transit at
# the timeout is more useful to the client than a refusal.
TIMEOUT_GRACE_S = 0.15

MAX_CLASS = max(model.RequestClass)


def find_rejection(
    metadata: model.RequestMetadata,
    route: model.Route | None,
    policies: traffic_policies.TrafficPolicies,
) -> model.Refusal | None:
    """Return the refusal of a request that cannot become a call, or None."""
    if policies.policy is None:
        rule = model.Rule.NO_POLICY
        detail = 'this node knows no policy yet'
    elif route is None:
        rule = model.Rule.NO_ROUTE
        detail = 'no route of version %d matches' % policies.version
    elif not metadata.request_id:
        rule = model.Rule.BAD_REQUEST
        detail = 'the request has no id'
    else:
        return None
    return model.Refusal(
        verdict=model.Verdict.NOT_RUN, rule=rule, service='', detail=detail
    )


def build_call(
    request: model.HttpRequest,
    metadata: model.RequestMetadata,
    route: model.Route | None,
    *,
    service: str,
    version: int,
    trace_id: str,
    organisation: model.Organisation | None = None,
) -> model.Call:
    """Build the call of a request.

    Args:
        request: The request.
        metadata: Its decoded headers.
        route: Its route; None if it has none.
        service: Service that the call goes to.
        version: Version of the policy in force.
        trace_id: Trace that the call belongs to, from which all nodes derive
            the same priority. It must not depend on what a client sends.
        organisation: Organisation that holds the key of the request.
    """
    timeout_s = metadata.client_timeout_s
    if route is not None:
        max_timeout_s = route.timeout_s + TIMEOUT_GRACE_S
        timeout_s = (
            max_timeout_s
            if timeout_s is None
            else min(timeout_s, max_timeout_s)
        )
    priority = 0 if route is None else route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    if decisions.is_reserved(trace_id):
        priority = 0
    return model.Call(
        service=service,
        method=request.method,
        path=request.target,
        headers=metadata.headers,
        request_class=model.RequestClass(min(priority, MAX_CLASS)),
        deadline=request.received_at + (timeout_s or 0.0),
        trace_id=trace_id,
        span_id=metadata.request_id,
        idempotent=route is not None and route.idempotent,
        route='' if route is None else route.name,
        ticket=version,
        organisation='' if organisation is None else organisation.name,
        has_body=bool(request.content),
    )


def build_trace_id(rng: random.Random) -> str:
    """Return a new trace id.

    It is not derived from the id of the request, since a client that chooses
    its ids could choose its priority by them.
    """
    return '%032x' % rng.getrandbits(128)
