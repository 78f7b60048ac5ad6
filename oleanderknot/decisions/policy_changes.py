"""Descriptions of the policy changes of a ticket for operators."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import policy_table

ANY_METHOD = '*'


def describe_changes(old: model.Policy | None, new: model.Policy) -> list[str]:
    """Describe the differences between two policies of a scope.

    Args:
        old: Policy in force; None when no ticket has set the scope.
        new: Policy that the ticket would put in force.

    Returns:
        One sentence for each change; empty when nothing changes.
    """
    if isinstance(new, model.GlobalPolicy):
        return describe_global(old or policy_table.DEFAULT_GLOBAL_POLICY, new)
    if isinstance(new, model.UpstreamPolicy):
        return describe_upstream(old is None or old.taking_work, new)
    before = old or policy_table.build_default_policy(new.service)
    return describe_service(before, new)


def describe_global(
    old: model.GlobalPolicy, new: model.GlobalPolicy
) -> list[str]:
    """Describe the differences between two global policies."""
    lines = []
    if old.retry_ratio != new.retry_ratio:
        lines.append(
            'Retries of a node may be %g %% of its successes, not %g %%.'
            % (new.retry_ratio * 100, old.retry_ratio * 100)
        )
    if old.retry_minimum != new.retry_minimum:
        lines.append(
            'A node may always make %d retries in 10 s, not %d.'
            % (new.retry_minimum, old.retry_minimum)
        )
    return lines


def describe_upstream(
    taking_before: bool, new: model.UpstreamPolicy
) -> list[str]:
    """Describe the differences between two policies of an upstream."""
    if taking_before == new.taking_work:
        return []
    if new.taking_work:
        return ['It is given new work again.']
    return ['It is given no new work; what it runs now is finished.']


def describe_service(
    old: model.ServicePolicy, new: model.ServicePolicy
) -> list[str]:
    """Describe the differences between two policies of a service."""
    before = index_routes(old.routes)
    after = index_routes(new.routes)
    lines = []
    for key, route in after.items():
        if key not in before:
            lines.append(
                'New route %s: %s.'
                % (format_route_key(key), describe_route(route))
            )
        elif before[key] != route:
            lines.append(
                '%s: %s.'
                % (
                    format_route_key(key),
                    describe_difference(before[key], route),
                )
            )
    for key in before:
        if key not in after:
            lines.append(
                'The route %s is removed; its requests follow the routes '
                'that remain.' % format_route_key(key)
            )
    kept = [key for key in before if key in after]
    if kept != [key for key in after if key in before]:
        lines.append(
            'The order of the routes changes; the first that matches decides.'
        )
    return lines


def index_routes(
    routes: collections.abc.Iterable[model.RoutePolicy],
) -> dict[tuple[str, str], model.RoutePolicy]:
    """Index routes by method and prefix; the first duplicate is kept."""
    found: dict[tuple[str, str], model.RoutePolicy] = {}
    for route in routes:
        found.setdefault((route.method, route.prefix), route)
    return found


def format_route_key(key: tuple[str, str]) -> str:
    """Return a readable name of a route."""
    method, prefix = key
    if method == ANY_METHOD:
        return 'all methods below %s' % prefix
    return '%s below %s' % (method, prefix)


def describe_properties(route: model.RoutePolicy) -> dict[str, str]:
    """Return a phrase for each property of a route."""
    return {
        'class': 'class %s' % route.request_class.name.lower(),
        'idempotent': (
            'may run twice' if route.idempotent else 'must run at most once'
        ),
        'deadline': 'deadline %d ms' % route.deadline_ms,
        'retries': (
            '1 retry' if route.retries == 1 else '%d retries' % route.retries
        ),
    }


def describe_route(route: model.RoutePolicy) -> str:
    """Return a one-line description of a route."""
    return ', '.join(describe_properties(route).values())


def describe_difference(old: model.RoutePolicy, new: model.RoutePolicy) -> str:
    """Describe the properties in which two versions of a route differ."""
    before = describe_properties(old)
    return ', '.join(
        '%s instead of %s' % (phrase, before[name])
        for name, phrase in describe_properties(new).items()
        if phrase != before[name]
    )
