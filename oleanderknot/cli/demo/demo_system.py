"""Starts and stops the system under demonstration."""

import asyncio

from oleanderknot import border
from oleanderknot import model
from oleanderknot.cli.demo import demo_instance
from oleanderknot.node import application
from oleanderknot.standins import platform_server
from oleanderknot.standins import upstream
from oleanderknot.standins import upstream_options

HOST = '127.0.0.1'
DATA_CENTRES = ('north', 'south')

# Name, called services, slots and processing time in ms of each service.
SERVICES = (
    ('catalogue', ['orders'], 70, 2.0),
    ('orders', ['inventory'], 75, 2.0),
    ('inventory', [], 4, 20.0),
)

POLL_INTERVAL_S = 0.02
ACCOUNT_FLUSH_S = 1.0


class DemoSystem:
    """Simulated platform and two data centres with three services each.

    Attributes:
        platform: Simulated platform.
        url: Base URL of the platform.
        instances: Upstreams with their nodes.
    """

    def __init__(self) -> None:
        self.platform = platform_server.PlatformServer()
        self.url = ''
        self.instances: list[demo_instance.DemoInstance] = []

    async def start(self) -> None:
        """Start all components and wait until all nodes know all upstreams."""
        port = await self.platform.start(HOST, 0)
        self.url = 'http://%s:%d' % (HOST, port)
        for data_centre in DATA_CENTRES:
            for service, calls, slots, delay_ms in SERVICES:
                options = upstream_options.UpstreamOptions(
                    service=service,
                    slots=slots,
                    delay_ms=delay_ms,
                    calls=calls,
                )
                await self.start_instance(data_centre, options)
        await self.wait_for_members()

    async def start_instance(
        self, data_centre: str, options: upstream_options.UpstreamOptions
    ) -> None:
        """Start a node, then its upstream, which registers with the node."""
        name = '%s-%s' % (options.service, data_centre)
        seeds = [
            '%s:%d' % (HOST, instance.node.membership.own.peer_port)
            for instance in self.instances[:1]
        ]
        settings = border.NodeSettings.model_validate(
            {
                'instance': name,
                'data_centre': data_centre,
                'seeds': seeds,
                'platform': {'table_url': self.url, 'object_url': self.url},
            }
        )
        node = application.NodeApplication(settings=settings)
        await node.start()
        options.node = 'http://%s:%d' % (HOST, node.listeners.egress_port)
        local_upstream = upstream.Upstream(options=options)
        await local_upstream.start()
        self.instances.append(
            demo_instance.DemoInstance(
                name=name,
                service=options.service,
                node=node,
                upstream=local_upstream,
            )
        )

    async def wait_for_members(self) -> None:
        """Wait until every node knows every upstream."""
        while not all(
            self.count_available_upstreams(instance) == len(self.instances)
            for instance in self.instances
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    def count_available_upstreams(
        self, instance: demo_instance.DemoInstance
    ) -> int:
        """Return the number of upstreams that a node knows to accept work."""
        return sum(
            member.state is model.MemberState.TAKING
            for member in instance.node.members.members.values()
        )

    async def wait_for_ticket(self, number: int) -> None:
        """Wait until a ticket is in force at every node."""
        while any(
            instance.node.policy.highest < number
            for instance in self.instances
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    def set_delay(self, service: str, delay_ms: float) -> None:
        """Set the processing time of a service."""
        for instance in self.instances:
            if instance.service == service:
                instance.upstream.options.delay_ms = delay_ms

    async def stop_nodes(self) -> None:
        """Drain and stop all nodes, which flushes their account batches."""
        await asyncio.gather(
            *(instance.node.stop() for instance in self.instances)
        )

    async def stop(self) -> None:
        """Stop the upstreams and the platform."""
        for instance in self.instances:
            await instance.upstream.stop()
        await self.platform.stop()
