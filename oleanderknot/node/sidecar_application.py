"""A node on a platform that finds, configures and probes it."""

import asyncio
import gc
import random
import time

import aiomisc

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot import wire
from oleanderknot.node import incarnation
from oleanderknot.node import life_log
from oleanderknot.node import own_upstream
from oleanderknot.node import peer_intake
from oleanderknot.node import platform_pages
from oleanderknot.node import sidecar_drain
from oleanderknot.node import sidecar_gauges
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import heartbeat_ingress
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import lost_peers
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_listener
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import policy_feed
from oleanderknot.tasks import prober
from oleanderknot.tasks import routed_dispatcher
from oleanderknot.tasks import routed_ingress
from oleanderknot.tasks import store_peers
from oleanderknot.tasks import store_watch
from oleanderknot.tasks import task_log
from oleanderknot.tasks import traffic_policies

# Part of the time until SIGKILL that is left for closing connections.
CLOSE_S = 0.7

# Allocations before each generation is searched for cycles. Calls leave few
# cycles, and the default of 700 searches several times for each request.
COLLECT_AFTER = (20000, 20, 20)

DIALECT = http_dialect.HttpDialect(
    parse_request_headers=platform.message_headers.parse_request_headers,
    parse_response_headers=platform.message_headers.parse_response_headers,
    add_calling_service=platform.message_headers.add_calling_service,
    add_upstream_headers=platform.message_headers.add_upstream_headers,
    build_refusal_response=platform.message_headers.build_refusal_response,
)


class SidecarApplication(aiomisc.Service):
    """One node beside one upstream.

    Attributes:
        settings: Settings of the node.
        identity: Identity of this life of the node.
    """

    settings: border.SidecarSettings

    def __init__(self, *, settings: border.SidecarSettings) -> None:
        super().__init__()
        self.settings = settings
        self.identity = model.NodeIdentity(
            instance=settings.instance,
            incarnation=incarnation.build_incarnation(),
            data_centre=settings.data_centre,
        )
        self.members = decisions.MemberTable()
        self.chains = decisions.ChainTable()
        self.background: list[asyncio.Task] = []
        self.rng = random.Random()
        self.stopping = False
        self.recorder = sidecar_recorder.SidecarRecorder(settings=settings.log)

    # Life-cycle hooks.

    async def start(self) -> None:
        """Start all tasks; called by aiomisc."""
        self.build_tasks()
        addresses = self.settings.addresses
        await self.peers.bind(*split_address(addresses.peers))
        host, port = split_address(
            addresses.advertised_peers or addresses.peers
        )
        self.membership = membership.Membership(
            table=self.members,
            own=model.Member(
                instance=self.identity.instance,
                incarnation=self.identity.incarnation,
                version=1,
                state=model.MemberState.JOINING,
                data_centre=self.identity.data_centre,
                host=host,
                peer_port=port,
            ),
            pool=self.pool,
            count=self.recorder.count,
        )
        self.own.membership = self.membership
        self.start_background()
        await self.peers.start()
        for listener, address in (
            (self.heartbeats, addresses.heartbeats),
            (self.requests, addresses.requests),
            (self.readiness, addresses.readiness),
        ):
            await listener.start(*split_address(address))
        if addresses.metrics is not None:
            await self.metrics.start(*split_address(addresses.metrics))
        self.recorder.gauges.update(sidecar_gauges.build_gauges(self))
        # What lives as long as the process need not be looked at again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT_AFTER)
        life_log.log_event(
            'started',
            'node %s started' % self.identity.instance,
            incarnation=self.identity.incarnation,
            service=self.settings.upstream.service,
            data_centre=self.identity.data_centre,
        )

    async def stop(self, error: Exception | None = None) -> None:
        """Finish the requests in flight and stop; called by aiomisc."""
        started = time.monotonic()
        self.stopping = True
        life_log.log_event(
            'stopping',
            'node %s stops' % self.identity.instance,
            requests=self.requests.active,
            runs=self.own.runner.running,
        )
        self.own.leaving.set(leaving_reasons.LeavingReason.STOP, True)
        self.requests.close_after_requests()
        withdrawal = asyncio.create_task(self.finder.withdraw())
        withdrawal.add_done_callback(task_log.log_failure)
        await sidecar_drain.drain(
            requests=self.requests,
            runs=self.own.runner,
            until=started + self.settings.grace - CLOSE_S,
        )
        self.membership.change_own(state=model.MemberState.LEFT)
        for task in (*self.background, withdrawal):
            task.cancel()
        await asyncio.gather(
            *self.background, withdrawal, return_exceptions=True
        )
        for listener in (
            self.requests,
            self.heartbeats,
            self.readiness,
            self.metrics,
        ):
            listener.close()
        self.lost_peers.stop()
        self.peers.close()
        self.pool.close()
        await self.own.runner.close()
        await self.store.close()
        life_log.log_event(
            'stopped',
            'node %s stopped' % self.identity.instance,
            after_s=round(time.monotonic() - started, 3),
        )

    def reload(self, settings: border.SidecarSettings) -> None:
        """Put changed bounds in force; addresses hold until a restart.

        Args:
            settings: The settings as they are now.
        """
        for budget in (self.own.repeats, self.dispatcher.repeats):
            budget.reconfigure(
                ratio=settings.retries.ratio,
                slack=settings.retries.slack,
                window_s=settings.retries.window,
            )
        self.recorder.refusals.per_second = settings.log.refusals_per_s
        self.recorder.answers.per_second = settings.log.answers_per_s
        fixed = (settings.addresses, settings.upstream, settings.store)
        same = fixed == (
            self.settings.addresses,
            self.settings.upstream,
            self.settings.store,
        )
        self.settings = settings
        life_log.log_event(
            'reloaded',
            'settings reloaded',
            repeat_ratio=settings.retries.ratio,
            repeat_slack=settings.retries.slack,
            repeat_window_s=settings.retries.window,
            needs_restart=not same,
        )

    def build_tasks(self) -> None:
        """Build the tasks and connect them by their message functions."""
        settings = self.settings
        self.store = platform.RowStoreClient(
            url='http://' + settings.store.address,
            timeout_s=settings.store.timeout,
            measure=self.recorder.measure_store,
        )
        self.watch = store_watch.StoreWatch()
        self.own = own_upstream.OwnUpstream(
            settings=settings,
            chains=self.chains,
            members=self.members,
            recorder=self.recorder,
            dialect=DIALECT,
        )
        handlers = self.build_peer_handlers()
        self.pool = peer_pool.PeerPool(
            identity=self.identity, handlers=handlers
        )
        self.peers = peer_listener.PeerListener(
            identity=self.identity, handlers=handlers
        )
        self.policies = traffic_policies.TrafficPolicies(
            list_peers=lambda: self.pool.open, rng=self.rng
        )
        self.dispatcher = routed_dispatcher.RoutedDispatcher(
            identity=self.identity,
            members=self.members,
            runner=self.own.runner,
            pool=self.pool,
            repeats=decisions.RepeatBudget(
                ratio=settings.retries.ratio,
                slack=settings.retries.slack,
                share=decisions.ORIGIN_SHARE,
                window_s=settings.retries.window,
            ),
            record=self.recorder.record,
            run=self.own.run,
            rng=self.rng,
        )
        self.own.runner.downstream_level.find_service_levels = (
            self.dispatcher.chooser.find_service_levels
        )
        self.build_listeners()

    def build_listeners(self) -> None:
        """Build the listeners and the functions that they hand requests to."""
        self.requests = self.build_listener(
            routed_ingress.build_handler(
                service=self.settings.upstream.service,
                policies=self.policies,
                calls=self.dispatcher,
                chains=self.chains,
                dialect=DIALECT,
                rng=self.rng,
                measure=self.recorder.requests.observe,
            )
        )
        self.heartbeats = self.build_listener(
            heartbeat_ingress.build_handler(
                order=self.own.order,
                take=self.own.take_heartbeat,
                end=self.own.end,
            )
        )
        self.readiness = self.build_listener(
            platform_pages.build_readiness_page(self.is_ready)
        )
        self.metrics = self.build_listener(
            platform_pages.build_metrics_page(self.recorder)
        )

    def build_listener(
        self, handle: client_listener.HandleFunction
    ) -> client_listener.ClientListener:
        """Build one listener."""
        return client_listener.ClientListener(
            handle=handle,
            limits=lambda: self.policies.limits,
            count=self.recorder.count,
        )

    def build_peer_handlers(self) -> peer_handlers.PeerHandlers:
        """Build the functions that messages of peers go to."""
        return peer_handlers.PeerHandlers(
            run=self.own.run_call,
            query=refuse_query,
            gossip=lambda peer, message: peer_intake.take_gossip(
                self.membership, self.policies, peer, message
            ),
            policy=lambda peer, item: self.policies.handle(peer, item),
            opened=lambda peer: peer_intake.greet(
                self.pool, self.membership, self.policies, peer
            ),
            closed=self.forget_connection,
            count=self.recorder.count,
            closing=lambda peer: self.pool.withdraw(peer),
            traffic=control_traffic.ControlTraffic(),
            may_cancel=lambda call: call.idempotent or not call.started,
        )

    def start_background(self) -> None:
        """Start the tasks that look for news on their own."""
        self.prober = prober.Prober(
            members=self.membership,
            pool=self.pool,
            rng=self.rng,
            build_policy=self.policies.build_digest,
        )
        self.finder = store_peers.StorePeers(
            members=self.membership,
            pool=self.pool,
            store=self.store,
            watch=self.watch,
            rng=self.rng,
        )
        self.lost_peers = lost_peers.LostPeers(
            members=self.membership, pool=self.pool, rng=self.rng
        )
        feed = policy_feed.PolicyFeed(
            store=self.store,
            take=self.policies.take,
            watch=self.watch,
            rng=self.rng,
        )
        for task in (self.prober, self.finder, self.pool, feed):
            running = asyncio.create_task(task.run())
            running.add_done_callback(task_log.log_failure)
            self.background.append(running)

    def is_ready(self) -> bool:
        """Return whether clients may send requests to this node."""
        return not self.stopping and self.policies.policy is not None

    def forget_connection(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Take a connection that has ended."""
        self.pool.remove(connection)
        if not self.stopping:
            self.lost_peers.note_closed(connection)


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def refuse_query(key: str, wait_s: float) -> wire.KeyState:
    """Answer that nothing is known of a key; this platform has none."""
    return wire.build_key_state(model.OrderState.UNKNOWN)
