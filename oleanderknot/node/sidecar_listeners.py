"""Listeners of a sidecar node."""

import dataclasses
import typing

from oleanderknot.node import platform_endpoints
from oleanderknot.node import sidecar_dialect
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import heartbeat_ingress
from oleanderknot.tasks import routed_ingress

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarListeners:
    """Listeners of a sidecar node, by what arrives there.

    Attributes:
        requests: Requests of clients and outgoing calls of the upstream.
        heartbeats: Heartbeats of the local upstream.
        readiness: Readiness checks of the platform.
        metrics: Scrapes of the metrics.
    """

    requests: client_listener.ClientListener
    heartbeats: client_listener.ClientListener
    readiness: client_listener.ClientListener
    metrics: client_listener.ClientListener


def build_listeners(
    node: 'sidecar_application.SidecarApplication',
) -> SidecarListeners:
    """Build the listeners of a node and their request handlers."""

    def build_listener(
        handle: client_listener.HandleFunction,
    ) -> client_listener.ClientListener:
        return client_listener.ClientListener(
            handle=handle,
            limits=lambda: node.policies.limits,
            count=node.recorder.count,
            body_budget=node.body_budget,
        )

    upstream = node.local_upstream.heartbeats
    return SidecarListeners(
        requests=build_listener(
            routed_ingress.build_handler(
                service=node.settings.upstream.service,
                policies=node.policies,
                calls=node.dispatcher,
                chains=node.chains,
                dialect=sidecar_dialect.DIALECT,
                rng=node.rng,
                measure=node.recorder.requests.observe,
                schedule=node.schedule,
            )
        ),
        heartbeats=build_listener(
            heartbeat_ingress.build_handler(
                on_heartbeat=upstream.handle_heartbeat,
                on_deregister=upstream.handle_deregistration,
            )
        ),
        readiness=build_listener(
            platform_endpoints.build_readiness_handler(node.is_ready)
        ),
        metrics=build_listener(
            platform_endpoints.build_metrics_handler(node.recorder)
        ),
    )
