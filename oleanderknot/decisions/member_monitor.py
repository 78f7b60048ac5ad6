"""Events about state changes of the members of a data centre."""

import collections.abc

from oleanderknot import model

KIND_BY_STATE = {
    model.MemberState.TAKING: model.EventKind.UPSTREAM_TAKING,
    model.MemberState.SUSPECT: model.EventKind.UPSTREAM_SUSPECT,
    model.MemberState.LEAVING: model.EventKind.UPSTREAM_LEAVING,
    model.MemberState.LEFT: model.EventKind.UPSTREAM_LEAVING,
    model.MemberState.DEAD: model.EventKind.UPSTREAM_DEAD,
}


class MemberMonitor:
    """Detects state changes of the upstreams of one data centre.

    Attributes:
        data_centre: The observed data centre. Each other data centre is
            reported by its own nodes.
        last_events: Incarnation and kind of the latest event, by instance.
    """

    def __init__(self, *, data_centre: str) -> None:
        self.data_centre = data_centre
        self.last_events: dict[str, tuple[int, model.EventKind]] = {}

    def compare(
        self, members: collections.abc.Iterable[model.Member], now: float
    ) -> list[model.Event]:
        """Return events for the changes since the previous call.

        Args:
            members: Current membership records.
            now: Wall-clock time in seconds since 1970 (UTC).

        Returns:
            One event for each upstream whose state has changed.
        """
        events = []
        for member in members:
            kind = KIND_BY_STATE.get(member.state)
            if kind is None or member.data_centre != self.data_centre:
                continue
            event_key = (member.incarnation, kind)
            if self.last_events.get(member.instance) == event_key:
                continue
            self.last_events[member.instance] = event_key
            events.append(
                model.Event(
                    at=now,
                    kind=kind,
                    subject=member.instance,
                    service=member.service,
                )
            )
        return events
