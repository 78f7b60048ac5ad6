"""Rejection of late and foreign heartbeats of the local upstream."""

import collections
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import heartbeat_outcome

# Each start of an upstream numbers its heartbeats from the beginning. The
# second heartbeat can be the first to be seen when the first is lost, or when
# it crosses the deregistration of the previous start in transit.
MAX_FIRST_SEQUENCE = 2

# Starts and departures that are kept; a node learns of one or two for each
# start of its upstream.
MAX_STARTS = 100

# Silence of the current start, in heartbeat intervals, after which a start
# that seems to be older takes its place. A live start sends one an interval,
# and a single one may be late.
SILENT_INTERVALS = 2

# Id of an upstream and Unix time in milliseconds of its start.
Start = tuple[str, int]

Outcome = heartbeat_outcome.HeartbeatOutcome


class HeartbeatFilter:
    """Filters the heartbeats of the upstream at one address.

    Heartbeats of an earlier start may arrive late, and an upstream may
    restart under the same id with its sequence reset. Start times identify
    starts but do not order them, since the time of day may be set back
    between two of them. A start that is unknown and later by its start time
    is current at once. Any other one must show that it is alive: it has to
    report again while the current start is silent.

    Attributes:
        service: Service of the upstream on this instance.
        host: IP address of the upstream on this instance.
        port: TCP port of the upstream on this instance.
        silence_s: Silence of the current start, in seconds, after which
            another one may take its place.
        current: Newest accepted heartbeat; None before the first.
        heard_at: Monotonic time of that heartbeat in seconds.
        ended: Whether the current start has been deregistered.
        replaced: Earlier starts.
        contender: Start that has reported but is not current yet, and the
            number of its newest heartbeat; None if there is none.
        departures: Departures that this node or an earlier process of it has
            acknowledged.
        first_process: Whether this is the first process of the node, so that
            it knows all departures that were ever acknowledged.
    """

    def __init__(
        self,
        *,
        service: str,
        host: str,
        port: int,
        heartbeat_interval_s: float,
        first_process: bool = False,
    ) -> None:
        self.first_process = first_process
        self.service = service
        self.host = host
        self.port = port
        self.silence_s = SILENT_INTERVALS * heartbeat_interval_s
        self.current: model.UpstreamHeartbeat | None = None
        self.heard_at = 0.0
        self.ended = False
        self.replaced: collections.OrderedDict[Start, None] = (
            collections.OrderedDict()
        )
        self.contender: tuple[Start, int] | None = None
        self.departures: collections.OrderedDict[Start, model.Departure] = (
            collections.OrderedDict()
        )

    def accept(self, report: model.UpstreamHeartbeat, now: float) -> Outcome:
        """Accept or reject a heartbeat.

        Args:
            report: The heartbeat.
            now: Monotonic time in seconds.

        Returns:
            Whether it is a new heartbeat of the upstream at this address.
        """
        if not self.is_local(report):
            return Outcome.IGNORED
        if self.has_departed(report):
            return Outcome.IGNORED
        start = find_start(report)
        current = self.current
        if current is not None and start == find_start(current):
            if self.ended or report.sequence <= current.sequence:
                return Outcome.IGNORED
        elif not self.is_later(start) and not self.is_confirmed(
            start, report.sequence, now
        ):
            return Outcome.UNCONFIRMED
        else:
            self.replace_current(start)
        self.current = report
        self.heard_at = now
        self.contender = None
        return Outcome.ACCEPTED

    def is_local(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether a heartbeat is of the upstream at this address."""
        return (report.service, report.host, report.port) == (
            self.service,
            self.host,
            self.port,
        )

    def needs_status_check(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether the upstream must be asked before ``accept``.

        A heartbeat that would let another start take work may have been sent
        before a departure that an earlier process acknowledged. Nothing but
        the upstream is certain to know of it.
        """
        if report.draining or not self.is_local(report):
            return False
        start = find_start(report)
        departure = self.departures.get(start)
        if departure is not None and departure.sequence is None:
            return False
        if self.current is None:
            return not self.first_process
        return start != find_start(self.current)

    def is_later(self, start: Start) -> bool:
        """Return whether a start is unknown and later by its start time."""
        upstream, started_ms = start
        if start in self.replaced:
            return False
        if self.current is not None and started_ms < self.current.started_ms:
            return False
        return all(
            started_ms >= item.started_ms
            for item in self.departures.values()
            if item.upstream == upstream
        )

    def is_confirmed(self, start: Start, sequence: int, now: float) -> bool:
        """Return whether a start has reported again, and only this one.

        Args:
            start: The start.
            sequence: Number of its heartbeat.
            now: Monotonic time in seconds.
        """
        contender = self.contender
        if contender is None or contender[0] != start:
            self.contender = (start, sequence)
            return False
        if sequence <= contender[1]:
            return False
        self.contender = (start, sequence)
        return self.current is None or now - self.heard_at >= self.silence_s

    def replace_current(self, start: Start) -> None:
        """Make another start the current one."""
        self.replaced.pop(start, None)
        if self.current is not None:
            self.replaced[find_start(self.current)] = None
            if len(self.replaced) > MAX_STARTS:
                self.replaced.popitem(last=False)
        self.ended = False

    def has_departed(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether a heartbeat precedes a departure of its start.

        A node that starts between a departure and a late heartbeat cannot
        detect this in any other way.
        """
        unknown_start = self.departures.get((report.upstream, 0))
        if unknown_start is not None:
            # The late heartbeat identifies the start that was deregistered.
            del self.departures[report.upstream, 0]
            if report.sequence > MAX_FIRST_SEQUENCE:
                self.note(
                    dataclasses.replace(
                        unknown_start, started_ms=report.started_ms
                    )
                )
        departure = self.departures.get(find_start(report))
        return departure is not None and (
            departure.sequence is None or report.sequence <= departure.sequence
        )

    def deregister(
        self, upstream: str, started_ms: int, now: float
    ) -> Outcome:
        """Process the deregistration of an upstream.

        Args:
            upstream: Id of the upstream.
            started_ms: Unix time in milliseconds of its start; 0 when the
                deregistration does not contain it.
            now: Monotonic time in seconds.

        Returns:
            Whether it ends the current start of the upstream at this address.
            Requests carry the id of the current start, so that another
            upstream would refuse them.
        """
        current = self.current
        if current is None or upstream != current.upstream:
            self.note(
                model.Departure(upstream=upstream, started_ms=started_ms)
            )
            return Outcome.IGNORED
        start = (upstream, started_ms or current.started_ms)
        if start != find_start(current) and not self.is_later(start):
            # A deregistration has no number; it follows all heartbeats.
            if not self.is_contender(start):
                self.contender = (start, 0)
                return Outcome.UNCONFIRMED
            if now - self.heard_at < self.silence_s:
                return Outcome.UNCONFIRMED
        self.note(model.Departure(upstream=upstream, started_ms=start[1]))
        self.ended = True
        return Outcome.ACCEPTED

    def is_contender(self, start: Start) -> bool:
        """Return whether a start has reported but is not current yet."""
        return self.contender is not None and self.contender[0] == start

    def note(self, departure: model.Departure) -> None:
        """Note a departure; a deregistration is not revoked by a later one."""
        start = (departure.upstream, departure.started_ms)
        if not self.is_news(departure):
            return
        self.departures.pop(start, None)
        self.departures[start] = departure
        if len(self.departures) > MAX_STARTS:
            self.departures.popitem(last=False)

    def is_news(self, departure: model.Departure) -> bool:
        """Return whether a departure says more than those that are noted."""
        known = self.departures.get((departure.upstream, departure.started_ms))
        if known is None:
            return True
        if known.sequence is None or departure.sequence is None:
            return known.sequence is not None
        return departure.sequence > known.sequence

    def adopt(self, departure: model.Departure) -> bool:
        """Note a departure that an earlier process has acknowledged.

        Returns:
            Whether the current start has left by that departure.
        """
        self.note(departure)
        current = self.current
        if current is None or not self.has_departed(current):
            return False
        self.ended = departure.sequence is None
        return True


def find_start(report: model.UpstreamHeartbeat) -> Start:
    """Return the start of the upstream that sent a heartbeat."""
    return report.upstream, report.started_ms
