"""Listeners of a sidecar node."""

import collections.abc
import dataclasses
import typing

from oleanderknot import border
from oleanderknot import model
from oleanderknot.node import platform_endpoints
from oleanderknot.node import sidecar_dialect
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import heartbeat_ingress
from oleanderknot.tasks import pipeline_overlap
from oleanderknot.tasks import request_pipeline
from oleanderknot.tasks import returning_clients
from oleanderknot.tasks import route_explainer
from oleanderknot.tasks import routed_ingress

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application

LOOPBACK_HOST = '127.0.0.1'


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
        capture_check: request_pipeline.CaptureFunction = lambda: None,
        on_sweep: collections.abc.Callable[[], None] = lambda: None,
    ) -> client_listener.ClientListener:
        return client_listener.ClientListener(
            handle=handle,
            limits=lambda: node.policies.limits,
            count=node.recorder.count,
            memory=node.memory,
            bounds=lambda: build_bounds(node.settings.clients),
            on_sweep=on_sweep,
            capture_check=capture_check,
        )

    upstream = node.local_upstream.heartbeats
    return SidecarListeners(
        requests=build_listener(
            routed_ingress.build_handler(
                service=node.settings.upstream.service,
                local_hosts=list_local_hosts(node.settings),
                policies=node.policies,
                calls=node.dispatcher,
                limits=node.quota,
                chains=node.chains,
                dialect=sidecar_dialect.DIALECT,
                rng=node.rng,
                measure=node.recorder.requests.observe,
                schedule=node.schedule,
                returning=build_returning(node),
            ),
            pipeline_overlap.build_overlap_capture(
                node.policies, sidecar_dialect.DIALECT
            ),
            node.local_upstream.observe_bodies,
        ),
        heartbeats=build_listener(
            platform_endpoints.build_control_handler(
                heartbeat_ingress.build_handler(
                    on_heartbeat=upstream.handle_heartbeat,
                    on_deregister=upstream.handle_deregistration,
                ),
                route_explainer.build_explainer(
                    identity=node.identity,
                    policies=node.policies,
                    calls=node.dispatcher,
                    limits=node.quota,
                    store=node.store_availability,
                ),
            )
        ),
        readiness=build_listener(
            platform_endpoints.build_readiness_handler(node.is_ready)
        ),
        metrics=build_listener(
            platform_endpoints.build_metrics_handler(node.recorder)
        ),
    )


def list_local_hosts(settings: border.SidecarSettings) -> frozenset[str]:
    """Return the IP addresses from which the local upstream sends calls.

    A connection to an address of the same host comes from that address, and
    one to any loopback address from ``LOOPBACK_HOST``.
    """
    hosts = {
        address.rpartition(':')[0]
        for address in (settings.upstream.address, settings.addresses.requests)
    }
    return frozenset(hosts | {LOOPBACK_HOST})


def build_returning(
    node: 'sidecar_application.SidecarApplication',
) -> returning_clients.ReturningClients | None:
    """Build the memory of refused clients; None if the settings want none."""
    capacity = node.settings.remembered_refusals
    if not capacity:
        return None
    return returning_clients.ReturningClients(
        capacity=capacity,
        find_service_levels=node.dispatcher.chooser.find_service_levels,
        rng=node.rng,
        count=node.recorder.count,
    )


def build_bounds(settings: border.ClientSettings) -> model.ClientBounds:
    """Build the bounds on connections of clients from the settings."""
    return model.ClientBounds(
        max_connections=settings.max_connections,
        progress_period_s=settings.progress_period,
        progress_bytes=settings.progress_bytes,
    )
