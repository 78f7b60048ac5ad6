"""Node application that creates, connects, starts and stops the tasks."""

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
from oleanderknot.node import observability
from oleanderknot.node import order_tasks
from oleanderknot.node import peer_events
from oleanderknot.node import platform_clients
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import drain
from oleanderknot.tasks import egress
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
from oleanderknot.tasks import seed_discovery
from oleanderknot.tasks import ticket_loader
from oleanderknot.tasks import ticket_poller
from oleanderknot.tasks import ticket_sync

# Peers acknowledge a goodbye immediately; the limit keeps an unresponsive peer
# from blocking the stop.
GOODBYE_TIMEOUT_S = 2.0


class NodeApplication(aiomisc.Service):
    """Service that runs one node next to its local upstream.

    Attributes:
        settings: Settings of the node.
        identity: Identity of this incarnation of the node.
        observability: Metrics, decision account, alerts and tracing.
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
        self.background_tasks: list[asyncio.Task] = []

    # Life-cycle hooks.

    async def start(self) -> None:
        """Start all tasks; called by aiomisc."""
        self.build_tasks()
        own_member = await self.listeners.bind(
            self.identity, self.settings.listen
        )
        self.membership = membership.Membership(
            table=self.members,
            own=own_member,
            pool=self.pool,
            count_event=self.observability.metrics.count,
        )
        self.observability.metrics.gauges.update(
            {
                'runner.running': lambda: self.runner.running,
                'callers.active': lambda: self.listeners.callers.active,
                'peer.connections': lambda: len(self.pool.connections),
            }
        )
        self.background_tasks.extend(self.observability.start())
        self.start_membership()
        self.start_ticket_poll()
        # Connections are accepted only now that every message handler exists.
        await self.listeners.start()
        if self.settings.upstream is not None:
            await self.announce(self.settings.upstream)
        logging.info(
            'node %s started: callers connect to %s:%d, peers to %s:%d',
            own_member.instance,
            self.settings.listen.host,
            own_member.caller_port,
            own_member.host,
            own_member.peer_port,
        )

    async def stop(self, error: Exception | None = None) -> None:
        """Drain and stop all tasks; called by aiomisc.

        The account and the alerts are flushed even if a task fails to stop.
        """
        try:
            await self.stop_serving()
        finally:
            await self.observability.close()
        for table in (self.table, self.ticket_table):
            if table is not None:
                await table.close()
        logging.info('node %s stopped', self.identity.instance)

    async def stop_serving(self) -> None:
        """Drain the node, announce that it has left and close connections."""
        await self.drain()
        self.membership.update_own_record(state=model.MemberState.LEFT)
        self.listeners.peers.close()
        await self.pool.close_gracefully(GOODBYE_TIMEOUT_S)
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        await self.listeners.close()
        self.tickets.close()
        self.pool.close()
        await self.orders.close()
        await self.runner.close()

    def build_tasks(self) -> None:
        """Create the tasks and connect them through callbacks."""
        settings = self.settings
        self.table = platform_clients.build_table_client(settings)
        self.ticket_table = platform_clients.build_table_client(
            settings, platform.ticket_filing.TABLE_TIMEOUT_S
        )
        self.observability = observability.Observability(
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
            count=self.observability.metrics.count,
            rng=random.Random(),
        )
        self.dispatcher = control_mode.build_dispatcher(
            control=settings.control,
            identity=self.identity,
            members=self.members,
            policy=self.policy,
            runner=self.runner,
            pool=self.pool,
            telemetry=self.observability,
        )
        self.orders = order_tasks.build_order_tasks(
            table_client=self.table,
            runner=self.runner,
            dispatcher=self.dispatcher,
            count=self.observability.metrics.count,
        )
        self.listeners = self.build_listeners(handlers)

    def build_peer_handlers(self) -> peer_handlers.PeerHandlers:
        """Build the callbacks that handle messages of peers."""
        return peer_handlers.PeerHandlers(
            handle_call=self.observability.tracing.wrap(self.runner.run),
            answer_key_query=lambda key, wait_s: self.orders.describe(
                key, wait_s
            ),
            handle_gossip=lambda peer, message: peer_events.handle_gossip(
                self.membership, self.tickets, peer, message
            ),
            handle_policy_sync=lambda peer, item: self.tickets.handle(
                peer, item
            ),
            on_opened=lambda peer: peer_events.register_connection(
                self.pool, self.membership, self.tickets, peer
            ),
            on_closed=self.remove_connection,
            count_event=self.observability.metrics.count,
            on_closing=lambda peer: self.pool.retire(peer),
            control_bytes=self.traffic,
        )

    def build_listeners(
        self, handlers: peer_handlers.PeerHandlers
    ) -> listeners.Listeners:
        """Build the listeners and their request handlers."""
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
                    count=self.observability.metrics.count,
                )
            ),
        )

    def start_membership(self) -> None:
        """Start peer discovery, failure detection and the connection pool."""
        rng = random.Random()
        self.prober = prober.Prober(
            members=self.membership,
            pool=self.pool,
            rng=rng,
            build_policy_digest=self.tickets.build_digest,
        )
        peer_discovery = seed_discovery.SeedDiscovery(
            members=self.membership,
            pool=self.pool,
            table=self.table,
            seeds=self.settings.seeds,
            rng=rng,
        )
        for task in (self.prober, peer_discovery, self.pool):
            self.background_tasks.append(asyncio.create_task(task.run()))

    def start_ticket_poll(self) -> None:
        """Start polling the table service for tickets."""
        if self.ticket_table is None:
            return
        poll = ticket_poller.TicketPoller(
            loader=ticket_loader.TicketLoader(
                table=self.ticket_table, count=self.observability.metrics.count
            ),
            policy=self.policy,
            count_nodes=self.tickets.count_nodes,
            on_new_states=self.tickets.push_to_peers,
            rng=random.Random(),
        )
        self.background_tasks.append(asyncio.create_task(poll.run()))

    async def announce(self, upstream: border.UpstreamSettings) -> None:
        """Attach an announced upstream and publish it to the other nodes."""
        await self.runner.set_upstream(
            service=upstream.service,
            host=str(upstream.host),
            port=upstream.port,
            slots=upstream.slots,
            warm=upstream.warm,
        )
        self.membership.update_own_record(
            service=upstream.service,
            slots=upstream.slots,
            state=leaving_reasons.find_state(
                self.runner.leaving, upstream.service
            ),
        )
        self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, False)
        logging.info(
            'upstream of service %s announced itself', upstream.service
        )

    def leave(self) -> None:
        """Refuse new work until the upstream announces itself again."""
        self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)

    def change_leaving(self) -> None:
        """Accept or refuse new work, and publish the state to other nodes."""
        is_leaving = bool(self.leaving.reasons)
        if is_leaving != self.runner.leaving:
            self.membership.update_own_record(
                state=leaving_reasons.find_state(
                    is_leaving, self.runner.service
                )
            )
        self.runner.set_leaving(is_leaving, self.leaving.is_upstream_leaving())

    async def drain(self) -> None:
        """Refuse new work and wait until no request is in flight."""
        self.leaving.set(leaving_reasons.LeavingReason.STOP, True)
        await drain.drain(
            callers=self.listeners.callers,
            egress=self.listeners.egress,
            runs=self.runner,
            orders=self.orders.table,
            timeout_s=self.settings.drain_timeout_s,
        )

    def remove_connection(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Remove a closed connection; a silent peer raises an alert."""
        self.pool.remove(connection)
        self.observability.note_closed(connection)
