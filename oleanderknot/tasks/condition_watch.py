"""Detects conditions that operators have to know about."""

import asyncio
import collections.abc
import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import alerts

CHECK_PERIOD_S = 1.0
SECONDS_PER_HOUR = 3600


def format_hour(epoch: float) -> str:
    """Return the hour number that limits repeated alerts to one an hour."""
    return '%d' % (epoch // SECONDS_PER_HOUR)


class ConditionWatch:
    """Turns conditions that the node observes into events and alerts.

    Attributes:
        identity: Identity of this node.
        members: Nodes and upstreams that are known.
        policy: Policy in force.
        alerts: Raises alerts.
        on_event: Called with each event for the account.
        table: Client of the table service; None for none.
        probe_period_s: Seconds between two probes of the table service.
        refused_orders: Detects sustained refusals of orders.
        table_outage: Detects outages of the table service.
        object_store_outage: Detects outages of the object store.
        member_watch: Detects state changes of members of this data centre.
        latest_ticket: Highest ticket for which an event was recorded.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        alerts: alerts.Alerts,
        on_event: collections.abc.Callable[[model.Event], None],
        table: platform.TableClient | None,
        settings: border.AlertSettings,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = policy
        self.alerts = alerts
        self.on_event = on_event
        self.table = table
        self.probe_period_s = settings.probe_s
        self.refused_orders = decisions.OrderRefusalMonitor(
            limit_s=settings.order_refusals_s
        )
        self.table_outage = decisions.OutageDetector()
        self.object_store_outage = decisions.OutageDetector()
        self.member_watch = decisions.MemberMonitor(
            data_centre=identity.data_centre
        )
        self.latest_ticket = 0

    def record_event(
        self, kind: model.EventKind, subject: str, service: str = ''
    ) -> None:
        """Record an event in the account."""
        self.on_event(
            model.Event(
                at=time.time(), kind=kind, subject=subject, service=service
            )
        )

    def raise_hourly(self, kind: model.AlertKind, subject: str) -> None:
        """Raise an alert at most once an hour for a subject."""
        self.alerts.raise_alert(kind, subject, format_hour(time.time()))

    def record_refusal(self, call: model.Call) -> None:
        """Record the refusal of a caller's request."""
        if call.request_class is model.RequestClass.ORDER:
            self.refused_orders.note_refusal(time.monotonic())

    def record_silent_connection(self, instance: str) -> None:
        """Record a connection that stopped responding."""
        self.record_event(model.EventKind.CONNECTION_SILENT, instance)
        self.raise_hourly(model.AlertKind.CONNECTION_SILENT, instance)

    def record_object_store_result(self, answered: bool) -> None:
        """Record whether the object store responded."""
        outage_changed, alert_due = self.object_store_outage.note_result(
            answered
        )
        if outage_changed is not None:
            kind = (
                model.EventKind.OBJECTS_OUT
                if outage_changed
                else model.EventKind.OBJECTS_BACK
            )
            self.record_event(kind, self.identity.data_centre)
        if alert_due and self.is_reporter():
            self.raise_hourly(
                model.AlertKind.OBJECTS_OUT, self.identity.data_centre
            )

    def record_table_result(self, answered: bool) -> None:
        """Record whether the table service responded."""
        outage_changed, alert_due = self.table_outage.note_result(answered)
        if outage_changed is not None:
            kind = (
                model.EventKind.TABLE_OUT
                if outage_changed
                else model.EventKind.TABLE_BACK
            )
            self.record_event(kind, self.identity.data_centre)
        if alert_due:
            self.raise_hourly(
                model.AlertKind.TABLE_OUT, self.identity.data_centre
            )

    def is_reporter(self) -> bool:
        """Return whether this node reports for its data centre."""
        return decisions.is_reporter(
            self.members.members.values(), self.identity
        )

    def check(self) -> None:
        """Check members, tickets and refused orders once."""
        members = list(self.members.members.values())
        for event in self.member_watch.compare(members, time.time()):
            self.on_event(event)
        if self.policy.highest > self.latest_ticket:
            self.latest_ticket = self.policy.highest
            self.record_event(
                model.EventKind.TICKET_IN_FORCE, str(self.latest_ticket)
            )
        if self.refused_orders.check():
            self.raise_hourly(
                model.AlertKind.ORDERS_REFUSED, self.identity.instance
            )
        if self.is_reporter():
            self.raise_member_alerts(members)

    def raise_member_alerts(self, members: list[model.Member]) -> None:
        """Raise alerts about dead members and unreachable data centres."""
        for member in members:
            if (
                member.state is model.MemberState.DEAD
                and member.data_centre == self.identity.data_centre
            ):
                self.alerts.raise_alert(
                    model.AlertKind.MEMBER_DEAD,
                    member.instance,
                    str(member.incarnation),
                )
        own = self.identity.data_centre
        for name in decisions.find_dead_data_centres(members, own):
            self.raise_hourly(model.AlertKind.DATA_CENTRE_OUT, name)

    async def run(self) -> None:
        """Check every second until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    async def probe_table(self) -> None:
        """Probe the table service periodically until cancelled.

        Only the reporting node of each data centre probes, which limits the
        cost to a few reads a second for the whole system.
        """
        while self.table is not None:
            if self.is_reporter():
                result = await self.table.read(['ticket-head'])
                self.record_table_result(result.is_ok())
            await asyncio.sleep(self.probe_period_s)
