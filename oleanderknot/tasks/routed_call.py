"""Builds the calls of requests that match a route of the policy."""

import hashlib

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import traffic_policies

# Grace period added to the timeout of a route. An answer that is in transit at
# the timeout is more useful to the client than a refusal.
TIMEOUT_GRACE_S = 0.15

# Separates the id of a request from the suffix of the calls made for it.
CALL_ID_SEPARATOR = '.'

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
    organisation: model.Organisation | None = None,
) -> model.Call:
    """Build the call of a request.

    The calls made for one request share its id up to the first separator, so
    that all nodes assign them the same priority.
    """
    timeout_s = metadata.client_timeout_s
    if route is not None:
        max_timeout_s = route.timeout_s + TIMEOUT_GRACE_S
        timeout_s = (
            max_timeout_s
            if timeout_s is None
            else min(timeout_s, max_timeout_s)
        )
    trace_id = build_trace_id(metadata.request_id)
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


def build_trace_id(request_id: str) -> str:
    """Return the trace id shared by a request and its calls."""
    root = request_id.partition(CALL_ID_SEPARATOR)[0]
    return hashlib.blake2b(root.encode(), digest_size=16).hexdigest()
