"""Rejection of late and foreign heartbeats of the local upstream."""

import dataclasses

from oleanderknot import model

# Each start of an upstream numbers its heartbeats from the beginning. The
# second heartbeat can be the first to be seen when the first is lost, or when
# it crosses the deregistration of the previous start in transit.
MAX_FIRST_SEQUENCE = 2

# Departures that are kept; a node learns of one or two for each start.
MAX_DEPARTURES = 100


class HeartbeatFilter:
    """Filters the heartbeats of the upstream at one address.

    Heartbeats of an earlier start may arrive late, and an upstream may
    restart under the same id with its sequence reset.

    Attributes:
        service: Service of the upstream on this instance.
        host: IP address of the upstream on this instance.
        port: TCP port of the upstream on this instance.
        current: Newest accepted heartbeat; None before the first.
        ended: Whether the newest start has been deregistered.
        departures: Departures that this node or an earlier process of it has
            acknowledged, by id and start of the upstream.
    """

    def __init__(self, *, service: str, host: str, port: int) -> None:
        self.service = service
        self.host = host
        self.port = port
        self.current: model.UpstreamHeartbeat | None = None
        self.ended = False
        self.departures: dict[tuple[str, int], model.Departure] = {}

    def accept(self, report: model.UpstreamHeartbeat) -> bool:
        """Accept or reject a heartbeat.

        Args:
            report: The heartbeat.

        Returns:
            Whether it is a new heartbeat of the upstream at this address.
        """
        if (report.service, report.host, report.port) != (
            self.service,
            self.host,
            self.port,
        ):
            return False
        if self.has_departed(report):
            return False
        current = self.current
        if current is not None:
            if report.started_ms < current.started_ms:
                return False
            same_start = report.started_ms == current.started_ms
            if same_start and report.upstream == current.upstream:
                if self.ended or report.sequence <= current.sequence:
                    return False
        self.current = report
        self.ended = False
        return True

    def has_departed(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether a heartbeat precedes a known departure.

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
        departure = self.departures.get((report.upstream, report.started_ms))
        if departure is not None:
            return (
                departure.sequence is None
                or report.sequence <= departure.sequence
            )
        return any(
            report.started_ms < item.started_ms
            for item in self.departures.values()
            if item.upstream == report.upstream
        )

    def deregister(self, upstream: str, started_ms: int) -> bool:
        """Process the deregistration of an upstream.

        Args:
            upstream: Id of the upstream.
            started_ms: Unix time in milliseconds of its start; 0 when the
                deregistration does not contain it.

        Returns:
            Whether it ends the newest start of the upstream at this address.
        """
        current = self.current
        if current is None or upstream != current.upstream:
            self.note(
                model.Departure(upstream=upstream, started_ms=started_ms)
            )
            return False
        if started_ms and started_ms < current.started_ms:
            return False
        self.note(
            model.Departure(
                upstream=upstream,
                started_ms=started_ms or current.started_ms,
            )
        )
        self.ended = True
        return True

    def note(self, departure: model.Departure) -> None:
        """Note a departure; a deregistration is not revoked by a later one."""
        start = (departure.upstream, departure.started_ms)
        if not self.is_news(departure):
            return
        self.departures.pop(start, None)
        self.departures[start] = departure
        if len(self.departures) > MAX_DEPARTURES:
            del self.departures[next(iter(self.departures))]

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
            Whether the newest start has left by that departure.
        """
        self.note(departure)
        current = self.current
        if current is None or not self.has_departed(current):
            return False
        self.ended = departure.sequence is None
        return True
