"""Converts scope states between validated models and data classes."""

import re

from oleanderknot import model
from oleanderknot.border import scope_models

SCOPE_PATTERN = re.compile(
    r'global|(service|upstream)/[a-z0-9][a-z0-9.-]{0,62}'
)
SCOPE_SYNTAX = (
    'global, service/<name> or upstream/<instance>, names with '
    'lower-case letters, digits, dots and hyphens'
)


def find_scope_model(scope: str) -> type[scope_models.ScopeModel] | None:
    """Return the model of a scope's state, or None for an invalid name."""
    if SCOPE_PATTERN.fullmatch(scope) is None:
        return None
    if scope == 'global':
        return scope_models.GlobalScope
    if scope.startswith('service/'):
        return scope_models.ServiceScope
    return scope_models.UpstreamScope


def build_policy(scope: str, state: scope_models.ScopeModel) -> model.Policy:
    """Convert the validated state of a scope to its policy."""
    name = scope.partition('/')[2]
    if isinstance(state, scope_models.GlobalScope):
        return model.GlobalPolicy(
            retry_ratio=state.retry_ratio, retry_minimum=state.retry_minimum
        )
    if isinstance(state, scope_models.UpstreamScope):
        return model.UpstreamPolicy(
            instance=name, taking_work=state.taking_work
        )
    return model.ServicePolicy(
        service=name,
        routes=tuple(
            model.RoutePolicy(
                method=route.method,
                prefix=route.prefix,
                request_class=scope_models.REQUEST_CLASS_BY_NAME[
                    route.class_name
                ],
                idempotent=route.idempotent,
                deadline_ms=route.deadline_ms,
                retries=route.retries,
            )
            for route in state.routes
        ),
    )


def dump_policy(policy: model.Policy) -> dict[str, object]:
    """Convert a policy to JSON values; the inverse of ``parse_policy``."""
    if isinstance(policy, model.GlobalPolicy):
        return {
            'retry_ratio': policy.retry_ratio,
            'retry_minimum': policy.retry_minimum,
        }
    if isinstance(policy, model.UpstreamPolicy):
        return {'taking_work': policy.taking_work}
    return {
        'routes': [
            {
                'method': route.method,
                'prefix': route.prefix,
                'class': route.request_class.name.lower(),
                'idempotent': route.idempotent,
                'deadline_ms': route.deadline_ms,
                'retries': route.retries,
            }
            for route in policy.routes
        ]
    }


def parse_policy(scope: str, state: object) -> model.Policy:
    """Validate the state of a scope and convert it to its policy.

    Args:
        scope: Name of the scope.
        state: The state as JSON values.

    Returns:
        The policy.

    Raises:
        ValueError: The scope name or the state is invalid.
    """
    scope_model = find_scope_model(scope)
    if scope_model is None:
        raise ValueError(
            'invalid scope %r, expected %s' % (scope[:100], SCOPE_SYNTAX)
        )
    return build_policy(scope, scope_model.model_validate(state))
