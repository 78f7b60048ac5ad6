"""Looks for conditions that operators have to know."""

import asyncio
import collections.abc
import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import alerts

PERIOD_S = 1.0
HOUR_S = 3600


def format_hour(epoch: float) -> str:
    """Return a mark by which a lasting condition is told once an hour."""
    return '%d' % (epoch // HOUR_S)


class ConditionWatch:
    """Turns what the node sees into events and alerts.

    Attributes:
        identity: Identity of this node.
        members: Nodes and upstreams that are known.
        policy: Policy in force.
        alerts: Takes alerts.
        note: Takes an event for the account.
        table: Client of the table service; None for none.
        probe_s: Seconds between two looks at the table service.
        orders: Follows refused orders.
        table_state: Follows the table service.
        object_state: Follows the object store.
        watch: Follows the members of the own data centre.
        ticket: Highest ticket that was told.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        alerts: alerts.Alerts,
        note: collections.abc.Callable[[model.Event], None],
        table: platform.TableClient | None,
        settings: border.AlertSettings,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = policy
        self.alerts = alerts
        self.note = note
        self.table = table
        self.probe_s = settings.probe_s
        self.orders = decisions.OrderRefusalMonitor(
            limit_s=settings.order_refusals_s
        )
        self.table_state = decisions.OutageDetector()
        self.object_state = decisions.OutageDetector()
        self.watch = decisions.MemberMonitor(data_centre=identity.data_centre)
        self.ticket = 0

    def tell(
        self, kind: model.EventKind, subject: str, service: str = ''
    ) -> None:
        """Put an event into the account."""
        self.note(
            model.Event(
                at=time.time(), kind=kind, subject=subject, service=service
            )
        )

    def raise_hourly(self, kind: model.AlertKind, subject: str) -> None:
        """Raise an alert at most once an hour for a subject."""
        self.alerts.raise_alert(kind, subject, format_hour(time.time()))

    def note_refusal(self, call: model.Call) -> None:
        """Take a request of a caller that was refused."""
        if call.request_class is model.RequestClass.ORDER:
            self.orders.note_refusal(time.monotonic())

    def note_silent(self, instance: str) -> None:
        """Take a connection that had gone silent."""
        self.tell(model.EventKind.CONNECTION_SILENT, instance)
        self.raise_hourly(model.AlertKind.CONNECTION_SILENT, instance)

    def note_objects(self, answered: bool) -> None:
        """Take whether the object store answered."""
        began, alarm = self.object_state.note_result(answered)
        if began is not None:
            kind = (
                model.EventKind.OBJECTS_OUT
                if began
                else model.EventKind.OBJECTS_BACK
            )
            self.tell(kind, self.identity.data_centre)
        if alarm and self.is_reporter():
            self.raise_hourly(
                model.AlertKind.OBJECTS_OUT, self.identity.data_centre
            )

    def note_table(self, answered: bool) -> None:
        """Take whether the table service answered."""
        began, alarm = self.table_state.note_result(answered)
        if began is not None:
            kind = (
                model.EventKind.TABLE_OUT
                if began
                else model.EventKind.TABLE_BACK
            )
            self.tell(kind, self.identity.data_centre)
        if alarm:
            self.raise_hourly(
                model.AlertKind.TABLE_OUT, self.identity.data_centre
            )

    def is_reporter(self) -> bool:
        """Return whether this node speaks for its data centre."""
        return decisions.is_reporter(
            self.members.members.values(), self.identity
        )

    def check(self) -> None:
        """Look at members, tickets and refused orders once."""
        members = list(self.members.members.values())
        for event in self.watch.compare(members, time.time()):
            self.note(event)
        if self.policy.highest > self.ticket:
            self.ticket = self.policy.highest
            self.tell(model.EventKind.TICKET_IN_FORCE, str(self.ticket))
        if self.orders.check():
            self.raise_hourly(
                model.AlertKind.ORDERS_REFUSED, self.identity.instance
            )
        if self.is_reporter():
            self.report_lost(members)

    def report_lost(self, members: list[model.Member]) -> None:
        """Raise alerts about dead members and data centres out of reach."""
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
            await asyncio.sleep(PERIOD_S)

    async def probe_table(self) -> None:
        """Ask the table service now and then until cancelled.

        Only the nodes that speak for their data centre ask, so that it
        costs a few reads a second for the whole system.
        """
        while self.table is not None:
            if self.is_reporter():
                result = await self.table.read(['ticket-head'])
                self.note_table(result.is_ok())
            await asyncio.sleep(self.probe_s)
