"""The node: puts the tasks together and runs their life cycle."""

import asyncio
import dataclasses
import random
import secrets
import time

from absl import logging
import aiomisc

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot import wire
from oleanderknot.node import operations
from oleanderknot.node import order_assembly
from oleanderknot.tasks import admission
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import drain
from oleanderknot.tasks import egress
from oleanderknot.tasks import first_peers
from oleanderknot.tasks import http_listener
from oleanderknot.tasks import ingress
from oleanderknot.tasks import leaving
from oleanderknot.tasks import membership
from oleanderknot.tasks import open_admission
from oleanderknot.tasks import operator_listener
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_listener
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import peer_tls
from oleanderknot.tasks import plain_dispatcher
from oleanderknot.tasks import prober
from oleanderknot.tasks import runner
from oleanderknot.tasks import ticket_loader
from oleanderknot.tasks import ticket_poll
from oleanderknot.tasks import ticket_sync
from oleanderknot.tasks import work_gate


def build_incarnation() -> int:
    """Return a number that rises with each start of a node.

    Twenty random bits keep two starts in one millisecond apart.
    """
    return int(time.time() * 1000) << 20 | secrets.randbits(20)


# Other nodes answer a goodbye at once; a silent one must not hold the stop.
GOODBYE_S = 2.0


class NodeApplication(aiomisc.Service):
    """One node beside one upstream.

    Attributes:
        settings: Settings of the node.
        identity: Identity of this life of the node.
        operations: Metrics, account and alerts.
    """

    settings: border.NodeSettings

    def __init__(self, *, settings: border.NodeSettings) -> None:
        super().__init__()
        self.settings = settings
        self.identity = model.NodeIdentity(
            instance=settings.instance,
            incarnation=build_incarnation(),
            data_centre=settings.data_centre,
        )
        self.tls = peer_tls.build_peer_tls(settings.tls)
        self.members = decisions.MemberTable()
        self.policy = decisions.PolicyTable()
        self.chains = decisions.ChainTable()
        self.traffic = control_traffic.ControlTraffic()
        self.background: list[asyncio.Task] = []
        self.stopped = asyncio.Event()

    # Life-cycle hooks.

    async def start(self) -> None:
        """Start all tasks; called by aiomisc."""
        self.build_tasks()
        listen = self.settings.listen
        host = str(listen.host)
        self.egress_port = await self.egress.bind(
            str(listen.egress_host), listen.egress_port
        )
        ports = {
            'peer_port': await self.peer_listener.bind(host, listen.peer_port),
            'caller_port': await self.callers.bind(host, listen.caller_port),
            'operator_port': await self.operators.bind(
                str(listen.operator_host), listen.operator_port
            ),
        }
        own = model.Member(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            version=1,
            state=model.MemberState.JOINING,
            data_centre=self.identity.data_centre,
            host=str(listen.advertised_host or host),
            **ports,
        )
        if listen.advertised_peer_port:
            own = dataclasses.replace(
                own, peer_port=listen.advertised_peer_port
            )
        self.membership = membership.Membership(
            table=self.members,
            own=own,
            pool=self.pool,
            count=self.operations.metrics.count,
        )
        self.operations.metrics.gauges.update(
            {
                'runner.running': lambda: self.runner.running,
                'callers.active': lambda: self.callers.active,
                'peer.connections': lambda: len(self.pool.connections),
            }
        )
        self.background.extend(self.operations.start())
        self.start_membership()
        self.start_tickets()
        # All parts are in place before the first message arrives.
        for listener in (
            self.peer_listener,
            self.egress,
            self.callers,
            self.operators,
        ):
            await listener.start()
        if self.settings.upstream is not None:
            await self.announce(self.settings.upstream)
        logging.info('node %s started: %s', self.identity.instance, ports)

    async def stop(self, error: Exception | None = None) -> None:
        """Drain and stop all tasks; called by aiomisc.

        The last report is written also when a part fails to stop.
        """
        try:
            await self.stop_serving()
        finally:
            await self.operations.close()
        for table in (self.table, self.ticket_table):
            if table is not None:
                await table.close()
        logging.info('node %s stopped', self.identity.instance)

    async def stop_serving(self) -> None:
        """Drain and end all connections."""
        await self.drain()
        self.membership.change_own(state=model.MemberState.LEFT)
        self.peer_listener.close()
        await self.pool.say_goodbye(GOODBYE_S)
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for listener in (self.callers, self.egress, self.operators):
            await listener.close()
        self.tickets.close()
        self.pool.close()
        await self.orders.close()
        await self.runner.close()

    def build_tasks(self) -> None:
        """Build the tasks and connect them by their message functions."""
        self.table = self.build_table_client()
        self.ticket_table = self.build_table_client(
            platform.ticket_filing.TIMEOUT_S
        )
        self.operations = operations.Operations(
            settings=self.settings,
            table=self.table,
            identity=self.identity,
            members=self.members,
            policy=self.policy,
        )
        controlled = self.settings.control
        self.runner = runner.Runner(
            chains=self.chains,
            build_admission=admission.Admission
            if controlled
            else open_admission.OpenAdmission,
        )
        self.leaving = leaving.Leaving(on_change=self.change_leaving)
        handlers = peer_handlers.PeerHandlers(
            run=self.operations.tracing.wrap(self.runner.run),
            query=lambda key, wait_s: self.orders.describe(key, wait_s),
            gossip=self.take_gossip,
            policy=lambda peer, item: self.tickets.handle(peer, item),
            opened=self.greet,
            closed=self.part,
            count=self.operations.metrics.count,
            parting=lambda peer: self.pool.part(peer),
            traffic=self.traffic,
        )
        host = self.settings.listen.host
        self.pool = peer_pool.PeerPool(
            identity=self.identity,
            handlers=handlers,
            local_host=None if host.is_unspecified else str(host),
            tls=self.tls.outgoing,
        )
        self.tickets = ticket_sync.TicketSync(
            identity=self.identity,
            policy=self.policy,
            members=self.members,
            pool=self.pool,
            count=self.operations.metrics.count,
            rng=random.Random(),
        )
        self.runner.gate = work_gate.build_gate(
            self.policy, self.identity.instance
        )
        self.peer_listener = peer_listener.PeerListener(
            identity=self.identity,
            handlers=handlers,
            tls=self.tls.incoming,
        )
        build = (
            dispatcher.Dispatcher
            if controlled
            else plain_dispatcher.PlainDispatcher
        )
        self.dispatcher = build(
            identity=self.identity,
            members=self.members,
            policy=self.policy,
            runner=self.runner,
            pool=self.pool,
            record=self.operations.recorder.record,
            begin=self.operations.tracing.begin,
        )
        self.runner.deeper.find_service_level = (
            self.dispatcher.chooser.find_service_level
        )
        self.orders = order_assembly.build_orders(
            table_client=self.table,
            runner=self.runner,
            dispatcher=self.dispatcher,
            count=self.operations.metrics.count,
        )
        self.callers = http_listener.HttpListener(
            handle=ingress.build_handler(self.dispatcher, self.policy)
        )
        self.egress = http_listener.HttpListener(
            handle=egress.build_handler(
                self.dispatcher,
                self.policy,
                self.chains,
                self.announce,
                self.leave,
            )
        )
        self.operators = http_listener.HttpListener(
            handle=operator_listener.build_handler(
                self.describe,
                token=self.settings.operator_token,
                count=self.operations.metrics.count,
            )
        )

    def start_membership(self) -> None:
        """Start to look for other nodes and to watch them."""
        rng = random.Random()
        self.prober = prober.Prober(
            members=self.membership,
            pool=self.pool,
            rng=rng,
            build_policy=self.tickets.build_digest,
        )
        finder = first_peers.FirstPeers(
            members=self.membership,
            pool=self.pool,
            table=self.table,
            seeds=self.settings.seeds,
            rng=rng,
        )
        for task in (self.prober, finder, self.pool):
            self.background.append(asyncio.create_task(task.run()))

    def build_table_client(
        self, timeout_s: float = 0.0
    ) -> platform.TableClient | None:
        """Build a client of the table service, if settings name one.

        Args:
            timeout_s: Least timeout in seconds, whatever the settings say.
        """
        settings = self.settings.platform
        host = self.settings.listen.host
        if not settings.table_url:
            return None
        return platform.TableClient(
            url=settings.table_url,
            timeout_s=max(timeout_s, settings.timeout_ms / 1000),
            local_host=None if host.is_unspecified else str(host),
        )

    def start_tickets(self) -> None:
        """Start to poll the table for tickets."""
        if self.ticket_table is None:
            return
        poll = ticket_poll.TicketPoll(
            loader=ticket_loader.TicketLoader(
                table=self.ticket_table, count=self.count
            ),
            policy=self.policy,
            count_nodes=self.tickets.count_nodes,
            on_news=self.tickets.spread,
            rng=random.Random(),
        )
        self.background.append(asyncio.create_task(poll.run()))

    async def announce(self, upstream: border.UpstreamSettings) -> None:
        """Take the upstream's announcement and tell the other nodes."""
        await self.runner.attach(
            service=upstream.service,
            host=str(upstream.host),
            port=upstream.port,
            slots=upstream.slots,
            warm=upstream.warm,
        )
        self.membership.change_own(
            service=upstream.service,
            slots=upstream.slots,
            state=model.MemberState.LEAVING
            if self.runner.leaving
            else model.MemberState.TAKING,
        )
        self.leaving.set(leaving.LeavingReason.UPSTREAM, False)
        logging.info('upstream of %s announced', upstream.service)

    def leave(self) -> None:
        """Take no new work until the upstream announces itself again."""
        self.leaving.set(leaving.LeavingReason.UPSTREAM, True)

    def change_leaving(self, leaves: bool) -> None:
        """Take new work or none, and tell the other nodes at once."""
        self.runner.leaving = leaves
        if leaves:
            state = model.MemberState.LEAVING
        elif self.runner.service:
            state = model.MemberState.TAKING
        else:
            state = model.MemberState.JOINING
        self.membership.change_own(state=state)

    async def drain(self) -> None:
        """Leave and wait until no request is in flight."""
        self.leaving.set(leaving.LeavingReason.STOP, True)
        await drain.drain(
            callers=self.callers,
            egress=self.egress,
            runs=self.runner,
            orders=self.orders.table,
            timeout_s=self.settings.drain_timeout_s,
        )

    def take_gossip(
        self, connection: peer_connection.PeerConnection, message: wire.Gossip
    ) -> None:
        """Take a membership message and the digest that rides on a probe.

        Raises:
            BadFrame: The message is malformed.
        """
        self.membership.handle(connection, message)
        if message.policy is not None:
            self.tickets.take_digest(connection, message.policy)

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Take a connection whose handshake is done."""
        self.pool.add(connection)
        self.membership.greet(connection)
        self.tickets.greet(connection)

    def count(self, name: str) -> None:
        """Count an event."""
        self.operations.metrics.count(name)

    def part(self, connection: peer_connection.PeerConnection) -> None:
        """Forget a connection that has ended."""
        self.pool.remove(connection)
        self.operations.note_closed(connection)

    def describe(self) -> dict[str, object]:
        """Describe the state of the node for operators."""
        return {
            'instance': self.identity.instance,
            'incarnation': self.identity.incarnation,
            'data_centre': self.identity.data_centre,
            'service': self.runner.service,
            'leaving': self.runner.leaving,
            'running': self.runner.running,
            'orders': self.orders.describe_load(),
            'load': self.runner.admission.describe(),
            'refused_leaving': self.runner.refused_leaving,
            'egress_port': self.egress_port,
            'caller_port': self.membership.own.caller_port,
            'members': [
                {
                    'instance': member.instance,
                    'incarnation': member.incarnation,
                    'version': member.version,
                    'state': member.state.name.lower(),
                    'service': member.service,
                    'data_centre': member.data_centre,
                    'host': member.host,
                    'caller_port': member.caller_port,
                    'operator_port': member.operator_port,
                }
                for member in self.members.members.values()
            ],
            'policy': self.tickets.describe(),
            'connections': sorted(self.pool.connections),
            **self.operations.describe(),
            'control': {
                'sent_bytes': self.traffic.sent,
                'received_bytes': self.traffic.received,
            },
        }
