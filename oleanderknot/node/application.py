"""The node: puts the tasks together and runs their life cycle."""

import asyncio
import random

from absl import logging
import aiomisc

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.node import control_mode
from oleanderknot.node import incarnation
from oleanderknot.node import listeners
from oleanderknot.node import node_status
from oleanderknot.node import operations
from oleanderknot.node import order_assembly
from oleanderknot.node import peer_intake
from oleanderknot.node import platform_clients
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import drain
from oleanderknot.tasks import egress
from oleanderknot.tasks import first_peers
from oleanderknot.tasks import http_listener
from oleanderknot.tasks import ingress
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import membership
from oleanderknot.tasks import operator_listener
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_listener
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import peer_tls
from oleanderknot.tasks import prober
from oleanderknot.tasks import ticket_loader
from oleanderknot.tasks import ticket_poll
from oleanderknot.tasks import ticket_sync

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
            incarnation=incarnation.build_incarnation(),
            data_centre=settings.data_centre,
        )
        self.tls = peer_tls.build_peer_tls(settings.tls)
        self.members = decisions.MemberTable()
        self.policy = decisions.PolicyTable()
        self.chains = decisions.ChainTable()
        self.traffic = control_traffic.ControlTraffic()
        self.background: list[asyncio.Task] = []

    # Life-cycle hooks.

    async def start(self) -> None:
        """Start all tasks; called by aiomisc."""
        self.build_tasks()
        own = await self.listeners.bind(self.identity, self.settings.listen)
        self.membership = membership.Membership(
            table=self.members,
            own=own,
            pool=self.pool,
            count=self.operations.metrics.count,
        )
        self.operations.metrics.gauges.update(
            {
                'runner.running': lambda: self.runner.running,
                'callers.active': lambda: self.listeners.callers.active,
                'peer.connections': lambda: len(self.pool.connections),
            }
        )
        self.background.extend(self.operations.start())
        self.start_membership()
        self.start_tickets()
        # All parts are in place before the first message arrives.
        await self.listeners.start()
        if self.settings.upstream is not None:
            await self.announce(self.settings.upstream)
        logging.info(
            'node %s started: callers at %s:%d, other nodes at %s:%d',
            own.instance,
            self.settings.listen.host,
            own.caller_port,
            own.host,
            own.peer_port,
        )

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
        self.listeners.peers.close()
        await self.pool.close_gracefully(GOODBYE_S)
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.listeners.close()
        self.tickets.close()
        self.pool.close()
        await self.orders.close()
        await self.runner.close()

    def build_tasks(self) -> None:
        """Build the tasks and connect them by their message functions."""
        settings = self.settings
        self.table = platform_clients.build_table_client(settings)
        self.ticket_table = platform_clients.build_table_client(
            settings, platform.ticket_filing.TABLE_TIMEOUT_S
        )
        self.operations = operations.Operations(
            settings=settings,
            table=self.table,
            identity=self.identity,
            members=self.members,
            policy=self.policy,
        )
        self.runner = control_mode.build_runner(
            settings, self.chains, self.policy
        )
        self.leaving = leaving_reasons.LeavingReasons(
            on_change=self.change_leaving
        )
        handlers = self.build_peer_handlers()
        host = settings.listen.host
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
        self.dispatcher = control_mode.build_dispatcher(
            control=settings.control,
            identity=self.identity,
            members=self.members,
            policy=self.policy,
            runner=self.runner,
            pool=self.pool,
            seen=self.operations,
        )
        self.orders = order_assembly.build_orders(
            table_client=self.table,
            runner=self.runner,
            dispatcher=self.dispatcher,
            count=self.operations.metrics.count,
        )
        self.listeners = self.build_listeners(handlers)

    def build_peer_handlers(self) -> peer_handlers.PeerHandlers:
        """Build the functions that messages of peers go to."""
        return peer_handlers.PeerHandlers(
            run=self.operations.tracing.wrap(self.runner.run),
            query=lambda key, wait_s: self.orders.describe(key, wait_s),
            gossip=lambda peer, message: peer_intake.take_gossip(
                self.membership, self.tickets, peer, message
            ),
            policy=lambda peer, item: self.tickets.handle(peer, item),
            opened=lambda peer: peer_intake.greet(
                self.pool, self.membership, self.tickets, peer
            ),
            closed=self.forget_connection,
            count=self.operations.metrics.count,
            closing=lambda peer: self.pool.withdraw(peer),
            traffic=self.traffic,
        )

    def build_listeners(
        self, handlers: peer_handlers.PeerHandlers
    ) -> listeners.Listeners:
        """Build the listeners and the functions that they hand requests to."""
        return listeners.Listeners(
            peers=peer_listener.PeerListener(
                identity=self.identity,
                handlers=handlers,
                tls=self.tls.incoming,
            ),
            callers=http_listener.HttpListener(
                handle=ingress.build_handler(self.dispatcher, self.policy)
            ),
            egress=http_listener.HttpListener(
                handle=egress.build_handler(
                    self.dispatcher,
                    self.policy,
                    self.chains,
                    self.announce,
                    self.leave,
                )
            ),
            operators=http_listener.HttpListener(
                handle=operator_listener.build_handler(
                    lambda: node_status.describe_node(self),
                    token=self.settings.operator_token,
                    count=self.operations.metrics.count,
                )
            ),
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

    def start_tickets(self) -> None:
        """Start to poll the table for tickets."""
        if self.ticket_table is None:
            return
        poll = ticket_poll.TicketPoll(
            loader=ticket_loader.TicketLoader(
                table=self.ticket_table, count=self.operations.metrics.count
            ),
            policy=self.policy,
            count_nodes=self.tickets.count_nodes,
            on_news=self.tickets.spread,
            rng=random.Random(),
        )
        self.background.append(asyncio.create_task(poll.run()))

    async def announce(self, upstream: border.UpstreamSettings) -> None:
        """Take the upstream's announcement and tell the other nodes."""
        await self.runner.set_upstream(
            service=upstream.service,
            host=str(upstream.host),
            port=upstream.port,
            slots=upstream.slots,
            warm=upstream.warm,
        )
        self.membership.change_own(
            service=upstream.service,
            slots=upstream.slots,
            state=leaving_reasons.find_state(
                self.runner.leaving, upstream.service
            ),
        )
        self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, False)
        logging.info('upstream of %s announced', upstream.service)

    def leave(self) -> None:
        """Take no new work until the upstream announces itself again."""
        self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)

    def change_leaving(self, leaves: bool) -> None:
        """Take new work or none, and tell the other nodes at once."""
        self.runner.leaving = leaves
        self.membership.change_own(
            state=leaving_reasons.find_state(leaves, self.runner.service)
        )

    async def drain(self) -> None:
        """Leave and wait until no request is in flight."""
        self.leaving.set(leaving_reasons.LeavingReason.STOP, True)
        await drain.drain(
            callers=self.listeners.callers,
            egress=self.listeners.egress,
            runs=self.runner,
            orders=self.orders.table,
            timeout_s=self.settings.drain_timeout_s,
        )

    def forget_connection(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Forget a connection that has ended."""
        self.pool.remove(connection)
        self.operations.note_closed(connection)
