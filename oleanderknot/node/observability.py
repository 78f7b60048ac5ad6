"""Builds and runs the observability tasks of a node."""

import asyncio
import random
import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.node import platform_clients
from oleanderknot.tasks import account
from oleanderknot.tasks import alerts
from oleanderknot.tasks import condition_watch
from oleanderknot.tasks import decision_recorder
from oleanderknot.tasks import metrics
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import task_log
from oleanderknot.tasks import tracing


class Observability:
    """Owns metrics, account, alerts and tracing, and their life cycle.

    Attributes:
        identity: Identity of this node.
        metrics: Counters and gauges of the node.
        account: Writes batches of decisions to the object store.
        alerts: Raises and posts alerts.
        watch: Detects conditions that raise alerts.
        recorder: Records each decision.
        tracing: Records spans of sampled calls.
    """

    def __init__(
        self,
        *,
        settings: border.NodeSettings,
        table: platform.TableClient | None,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
    ) -> None:
        rng = random.Random()
        self.identity = identity
        statsd = settings.statsd
        self.metrics = metrics.Metrics(
            client=metrics.build_client(
                statsd.host and str(statsd.host), statsd.port, statsd.prefix
            )
        )
        self.alerts = alerts.Alerts(
            identity=identity,
            settings=settings.alerts,
            table=table,
            count=self.metrics.count,
            draw=rng.random,
        )
        self.account = account.Account(
            identity=identity,
            client=platform_clients.build_object_client(settings),
            settings=settings.account,
            hooks=account.AccountHooks(
                count=self.metrics.count,
                on_store_result=lambda answered: (
                    self.watch.record_object_store_result(answered)
                ),
                on_batches_dropped=lambda number: self.watch.raise_hourly(
                    model.AlertKind.BATCHES_DROPPED, identity.instance
                ),
            ),
        )
        self.watch = condition_watch.ConditionWatch(
            identity=identity,
            members=members,
            policy=policy,
            alerts=self.alerts,
            on_event=self.account.record_event,
            table=table,
            settings=settings.alerts,
        )
        self.tracing = tracing.build_tracing(
            settings.tracing, identity, rng.random
        )
        self.recorder = decision_recorder.DecisionRecorder(
            count=self.account.count,
            metrics=self.metrics,
            sampler=decisions.LogSampler(
                per_second=settings.log.refusals_per_s
            ),
            on_refused=self.watch.record_refusal,
            tracing=self.tracing,
        )

    def start(self) -> list[asyncio.Task]:
        """Start the tasks and return them."""
        self.metrics.gauges['account.batches_held'] = lambda: len(
            self.account.held
        )
        self.metrics.gauges['alerts.pending'] = lambda: len(
            self.alerts.pending
        )
        self.watch.record_event(
            model.EventKind.NODE_STARTED, self.identity.instance
        )
        tasks = [
            asyncio.create_task(self.metrics.run()),
            asyncio.create_task(self.account.run(random.random)),
            asyncio.create_task(self.watch.run()),
            asyncio.create_task(self.watch.probe_table()),
        ]
        for task in tasks:
            task.add_done_callback(task_log.log_failure)
        return tasks

    def note_closed(self, connection: peer_connection.PeerConnection) -> None:
        """Record the end of a connection to another node."""
        if connection.silent:
            self.watch.record_silent_connection(connection.describe_peer())

    def describe(self) -> dict[str, object]:
        """Return counters, gauges, account and alerts for operators."""
        return {
            'counters': dict(self.metrics.totals),
            'gauges': self.metrics.read_gauges(),
            'account': {
                'written': self.account.sequence - len(self.account.held),
                'held': len(self.account.held),
                'dropped': self.account.dropped,
            },
            'alerts': [
                decisions.summarise(item)
                for item in self.alerts.pending.values()
            ],
            'time': time.time(),
        }

    async def close(self) -> None:
        """Flush all buffers and stop; called after the last request."""
        self.watch.check()
        self.watch.record_event(
            model.EventKind.NODE_STOPPED, self.identity.instance
        )
        await asyncio.gather(
            self.account.close(), self.alerts.close(), self.tracing.close()
        )
        self.metrics.close()
