"""Explains where a request would go, without sending it."""

import collections.abc
import hashlib
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import quota
from oleanderknot.tasks import routed_call
from oleanderknot.tasks import routed_dispatcher
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import traffic_policies

ExplainFunction = collections.abc.Callable[[model.RouteQuery], model.RouteView]


def build_explainer(
    *,
    identity: model.NodeIdentity,
    policies: traffic_policies.TrafficPolicies,
    calls: routed_dispatcher.RoutedDispatcher,
    limits: quota.Quota,
    store: store_availability.StoreAvailability,
) -> ExplainFunction:
    """Build the function that explains requests.

    It takes no turn, token, probe or random number, and counts nothing, so
    that a question does not change what happens to requests.

    Args:
        identity: Identity of this node.
        policies: Traffic policy in force.
        calls: Chooses upstreams.
        limits: Limits of organisations over all nodes.
        store: Tracks whether the store answers.

    Returns:
        The function.
    """

    def explain(query: model.RouteQuery) -> model.RouteView:
        policy = policies.policy
        route = policies.routes.find(query.host, query.path)
        metadata = model.RequestMetadata(
            request_id=query.request_id,
            host=query.host,
            client_timeout_s=None,
            headers=[],
        )
        common = {
            'instance': identity.instance,
            'version': policies.version,
            'store_lost': store.lost,
            'store_age_s': store.find_age(time.monotonic()),
            'organisation': query.organisation,
        }
        refusal = routed_call.find_rejection(metadata, route, policies)
        if refusal is not None:
            return model.RouteView(
                rule=refusal.rule.value, detail=refusal.detail, **common
            )
        organisation = find_organisation(policy, query.organisation)
        common.update(
            route=route.name,
            idempotent=route.idempotent,
            timeout_s=route.timeout_s,
            quota=describe_limit(organisation, limits),
        )
        if policy.requires_keys and organisation is None:
            if not route.anonymous:
                return model.RouteView(
                    rule=model.Rule.UNKNOWN_KEY.value,
                    detail='the route needs the key of an organisation, and'
                    ' the policy has none of this name',
                    **common,
                )
        request = model.HttpRequest(
            method=query.method,
            target=query.path,
            headers=[],
            content=b'',
            received_at=time.monotonic(),
        )
        targets = []
        for target in route.targets:
            call = routed_call.build_call(
                request,
                metadata,
                route,
                service=target.service,
                version=policies.version,
                trace_id=build_example_trace(query.request_id),
                organisation=organisation,
            )
            targets.append(explain_target(calls, call, target.weight))
        return model.RouteView(
            request_class=call.request_class.name.lower(),
            targets=tuple(targets),
            **common,
        )

    return explain


def build_example_trace(request_id: str) -> str:
    """Return a trace id for an explanation, the same for the same id.

    The trace ids of requests are random.
    """
    return hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()


def find_organisation(
    policy: model.TrafficPolicy, name: str
) -> model.Organisation | None:
    """Return the organisation of a name, or None."""
    for organisation in policy.organisations:
        if organisation.name == name:
            return organisation
    return None


def describe_limit(
    organisation: model.Organisation | None, limits: quota.Quota
) -> str:
    """Return what this node knows of the limit of an organisation."""
    if organisation is None or not organisation.rate:
        return ''
    return '%g requests/s and %g at once over all nodes; %s' % (
        organisation.rate,
        organisation.burst,
        limits.describe_tokens(organisation.name),
    )


def explain_target(
    calls: routed_dispatcher.RoutedDispatcher, call: model.Call, weight: float
) -> model.TargetView:
    """Explain the choice between the upstreams of a call's service."""
    chooser = calls.chooser
    now = time.monotonic()
    excess = calls.runner.shares.view.find(call.service, call.route, now)
    factor = excess.get(call.organisation, 1.0)
    if factor > 1:
        call.rank = decisions.assign_fraction(call.trace_id, excess=factor)
    priority = decisions.rank_call(call)
    candidates = chooser.list_candidates(call, now)
    common = {
        'service': call.service,
        'weight': weight,
        'priority': priority,
        'upstreams': list_upstreams(calls, call, candidates, now),
    }
    if chooser.has_own_capacity(call, priority):
        return model.TargetView(
            choice=chooser.identity.instance,
            detail='the upstream of this node would start it at once',
            **common,
        )
    choice = chooser.pick(
        candidates, priority=priority, tried=(), draw=lambda number: 0
    )
    if choice is not None:
        return model.TargetView(
            choice=choice.instance,
            detail='it is expected to serve the request first; equal ones'
            ' are used in turn',
            **common,
        )
    refusal = calls.refuse_early(call)
    return model.TargetView(
        rule=refusal.rule.value,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        **common,
    )


def list_upstreams(
    calls: routed_dispatcher.RoutedDispatcher,
    call: model.Call,
    candidates: list[decisions.Candidate],
    now: float,
) -> tuple[model.UpstreamView, ...]:
    """Return what is known of each upstream of a call's service."""
    chooser = calls.chooser
    by_instance = {item.instance: item for item in candidates}
    views = []
    for member in chooser.members.list_service(call.service):
        item = by_instance.get(member.instance)
        if item is None:
            views.append(
                model.UpstreamView(
                    instance=member.instance,
                    data_centre=member.data_centre,
                    usable=False,
                    reason='it cannot be reached'
                    if chooser.is_node_unreachable(member)
                    else 'its state is %s' % member.state.name.lower(),
                )
            )
            continue
        load = chooser.loads.loads[member.instance]
        reported = load.levels.get(call.route)
        views.append(
            model.UpstreamView(
                instance=member.instance,
                data_centre=member.data_centre,
                usable=True,
                reason='suspected to have failed' if item.suspect else '',
                outstanding=item.outstanding,
                in_flight=round(item.in_flight, 2),
                limit=item.limit,
                level=round(item.level, 3),
                failure_share=round(item.failure_share, 3),
                relative_time=round(load.relative_time, 3),
                age_s=None
                if reported is None
                else round(now - reported[1], 3),
            )
        )
    return tuple(views)
