"""Sidecar node, discovered, configured and probed by its platform."""

import asyncio
import functools
import gc
import random
import time

import aiomisc

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.node import allocator
from oleanderknot.node import incarnation
from oleanderknot.node import lifecycle_log
from oleanderknot.node import local_upstream
from oleanderknot.node import memory_events
from oleanderknot.node import sidecar_confirmation
from oleanderknot.node import sidecar_dialect
from oleanderknot.node import sidecar_drain
from oleanderknot.node import sidecar_gauges
from oleanderknot.node import sidecar_listeners
from oleanderknot.node import sidecar_peers
from oleanderknot.node import sidecar_policy
from oleanderknot.node import sidecar_quota
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import call_sessions
from oleanderknot.tasks import departure_store
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import lost_call_recovery
from oleanderknot.tasks import membership
from oleanderknot.tasks import message_receipt
from oleanderknot.tasks import peer_listener
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import peer_reconnector
from oleanderknot.tasks import policy_feed
from oleanderknot.tasks import prober
from oleanderknot.tasks import routed_dispatcher
from oleanderknot.tasks import stop_schedule
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import store_discovery
from oleanderknot.tasks import store_epoch
from oleanderknot.tasks import supervisor
from oleanderknot.tasks import task_log
from oleanderknot.tasks import traffic_policies

# Collection thresholds of the garbage collector by generation. Calls leave few
# reference cycles, and the default of 700 allocations would run several
# collections for each request.
GC_THRESHOLDS = (20000, 20, 20)

# Peers that are asked whether they have received a departure. One of them is
# enough; more cover those that have just stopped responding.
MAX_ASKED_PEERS = 8


class SidecarApplication(aiomisc.Service):
    """Service that runs one sidecar node next to its local upstream.

    Attributes:
        settings: Settings of the node.
        identity: Identity of this incarnation of the node.
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
        self.background_tasks: list[asyncio.Task] = []
        self.rng = random.Random()
        self.stopping = False
        self.schedule = stop_schedule.StopSchedule()
        self.recorder = sidecar_recorder.SidecarRecorder(settings=settings.log)

    # Life-cycle hooks.

    async def start(self) -> None:
        """Start all tasks; called by aiomisc."""
        allocator.limit_fragmentation()
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
            count_event=self.recorder.count,
        )
        heartbeats = self.local_upstream.heartbeats
        heartbeats.membership = self.membership
        self.membership.on_own_departure = heartbeats.adopt_departure
        self.membership.on_incarnation = functools.partial(
            sidecar_peers.change_incarnation, self
        )
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
        # Objects created so far live as long as the process. Freezing them
        # keeps later collections from scanning them again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        gc.enable()
        lifecycle_log.log_event(
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
        self.schedule.begin(started, self.settings.grace)
        lifecycle_log.log_event(
            'stopping',
            'node %s is stopping' % self.identity.instance,
            requests=self.requests.active,
            runs=self.local_upstream.runner.running,
        )
        self.local_upstream.heartbeats.leaving.set(
            leaving_reasons.LeavingReason.STOP, True
        )
        self.requests.close_after_requests()
        withdrawal = asyncio.create_task(self.withdraw_row())
        withdrawal.add_done_callback(task_log.log_failure)
        await sidecar_drain.drain(
            requests=self.requests,
            runs=self.local_upstream.runner,
            schedule=self.schedule,
        )
        self.membership.update_own_record(state=model.MemberState.LEFT)
        for task in (*self.background_tasks, withdrawal):
            task.cancel()
        await asyncio.gather(
            *self.background_tasks, withdrawal, return_exceptions=True
        )
        for listener in (
            self.requests,
            self.heartbeats,
            self.readiness,
            self.metrics,
        ):
            listener.close()
        self.reconnector.stop()
        self.recovery.close()
        self.quota.close()
        self.local_upstream.heartbeats.confirmation.close()
        self.peers.close()
        self.pool.close()
        await self.local_upstream.runner.close()
        await self.store.close()
        lifecycle_log.log_event(
            'stopped',
            'node %s stopped' % self.identity.instance,
            after_s=round(time.monotonic() - started, 3),
        )

    async def withdraw_row(self) -> None:
        """Remove the row of this node unless it only restarts.

        The instance goes away once its upstream has left. If the node alone
        is stopped, it starts again at the same address.
        """
        leaving = self.local_upstream.heartbeats.leaving
        if leaving.holds(
            leaving_reasons.LeavingReason.UPSTREAM
        ) or leaving.holds(leaving_reasons.LeavingReason.ANSWER):
            await self.peer_discovery.withdraw_row()

    def reload(self, settings: border.SidecarSettings) -> None:
        """Apply changed limits; changed addresses need a restart.

        Args:
            settings: The new settings.
        """
        self.local_upstream.repeat_budget.reconfigure(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_s=settings.retries.window,
        )
        self.memory.max_bytes = settings.memory.max_bytes
        self.recorder.refusal_sampler.per_second = settings.log.refusals_per_s
        self.recorder.answer_sampler.per_second = settings.log.answers_per_s
        fixed = (settings.addresses, settings.upstream, settings.store)
        same = fixed == (
            self.settings.addresses,
            self.settings.upstream,
            self.settings.store,
        )
        self.settings = settings
        lifecycle_log.log_event(
            'reloaded',
            'settings reloaded',
            repeat_ratio=settings.retries.ratio,
            repeat_slack=settings.retries.slack,
            repeat_window_s=settings.retries.window,
            needs_restart=not same,
        )

    def build_tasks(self) -> None:
        """Create the tasks and connect them through callbacks."""
        settings = self.settings
        self.store = platform.RowStoreClient(
            url='http://' + settings.store.address,
            timeout_s=settings.store.timeout,
            measure=self.recorder.measure_store,
        )
        self.store_availability = store_availability.StoreAvailability()
        self.store_epoch = store_epoch.StoreEpoch()
        self.memory = decisions.NodeMemory(
            max_bytes=settings.memory.max_bytes,
            on_give_way=memory_events.build_give_way_handler(
                self.recorder.count
            ),
            on_refused=lambda: self.recorder.count('memory.refused'),
        )
        self.local_upstream = local_upstream.LocalUpstream(
            settings=settings,
            memory=self.memory,
            chains=self.chains,
            members=self.members,
            recorder=self.recorder,
            dialect=sidecar_dialect.DIALECT,
        )
        self.call_sessions = call_sessions.CallSessions(memory=self.memory)
        handlers = sidecar_peers.build_handlers(self)
        self.pool = peer_pool.PeerPool(
            identity=self.identity, handlers=handlers
        )
        self.recovery = lost_call_recovery.LostCallRecovery(
            members=self.members,
            pool=self.pool,
            count=self.recorder.count,
        )
        self.peers = peer_listener.PeerListener(
            identity=self.identity, handlers=handlers
        )
        self.policies = traffic_policies.TrafficPolicies(
            list_connections=lambda: self.pool.open_connections,
            rng=self.rng,
            find_confirmed_age=lambda: self.feed.find_confirmed_age(),
            count=self.recorder.count,
        )
        self.quota = sidecar_quota.build_quota(self)
        self.policies.on_change = sidecar_policy.build_change_handler(self)
        self.feed = policy_feed.PolicyFeed(
            store=self.store,
            on_policy=self.policies.apply,
            availability=self.store_availability,
            epoch=self.store_epoch,
            rng=self.rng,
            find_wait_s=self.find_poll_wait_s,
        )
        self.dispatcher = routed_dispatcher.RoutedDispatcher(
            identity=self.identity,
            members=self.members,
            runner=self.local_upstream.runner,
            pool=self.pool,
            record=self.recorder.record,
            run_local=self.local_upstream.run,
            rng=self.rng,
            count=self.recorder.count,
            memory=self.memory,
        )
        self.local_upstream.runner.downstream_level.find_service_levels = (
            self.dispatcher.chooser.find_service_levels
        )
        listeners = sidecar_listeners.build_listeners(self)
        self.requests = listeners.requests
        self.heartbeats = listeners.heartbeats
        self.readiness = listeners.readiness
        self.metrics = listeners.metrics

    def start_background(self) -> None:
        """Start probing, peer discovery, connections and policy updates."""
        self.prober = prober.Prober(
            members=self.membership,
            pool=self.pool,
            rng=self.rng,
            build_policy_digest=self.policies.build_digest,
        )
        self.peer_discovery = store_discovery.StoreDiscovery(
            members=self.membership,
            pool=self.pool,
            store=self.store,
            watch=self.store_availability,
            epoch=self.store_epoch,
            rng=self.rng,
            first_start=self.settings.first_start,
        )
        self.departures = departure_store.DepartureStore(
            instance=self.identity.instance,
            store=self.store,
            availability=self.store_availability,
            rng=self.rng,
            on_loaded=self.local_upstream.heartbeats.adopt_departure,
            wait_for_peer=lambda wait_s: message_receipt.wait_until_received(
                list(self.pool.open_connections)[:MAX_ASKED_PEERS], wait_s
            ),
            first_start=self.settings.first_start,
        )
        heartbeats = self.local_upstream.heartbeats
        heartbeats.departures = self.departures
        heartbeats.confirmation = sidecar_confirmation.build_confirmation(self)
        self.store_epoch.on_change.append(self.departures.save_again)
        self.reconnector = peer_reconnector.PeerReconnector(
            members=self.membership, pool=self.pool, rng=self.rng
        )
        for name, task in (
            ('prober', self.prober),
            ('discovery', self.peer_discovery),
            ('pool', self.pool),
            ('feed', self.feed),
            ('departures', self.departures),
            ('quota', self.quota),
        ):
            self.background_tasks.append(
                asyncio.create_task(
                    supervisor.supervise(name, task.run, self.recorder.count)
                )
            )

    def find_poll_wait_s(self, clock_s: float) -> float:
        """Return how long the next long poll of the store waits."""
        return decisions.find_poll_wait_s(
            self.identity.instance,
            (member.instance for member in self.members.list_live()),
            clock_s,
        )

    def is_ready(self) -> bool:
        """Return whether clients may send requests to this node."""
        return not self.stopping and self.policies.policy is not None


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``ip:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)
