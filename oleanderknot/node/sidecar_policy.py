"""Passes the policy in force to the tasks of a sidecar node."""

import collections.abc
import typing

from oleanderknot import model

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


def build_change_handler(
    node: 'sidecar_application.SidecarApplication',
) -> collections.abc.Callable[[model.TrafficPolicy], None]:
    """Build the function that is called with each policy in force."""

    def apply(policy: model.TrafficPolicy) -> None:
        node.quota.apply_policy(policy)
        upstream = node.local_upstream
        upstream.runner.downstream_level.calls.set_targets(
            {
                route.name: frozenset(
                    target.service for target in route.targets
                )
                for route in policy.routes
            }
        )
        upstream.heartbeats.confirmation.policy_arrived.set()

    return apply
