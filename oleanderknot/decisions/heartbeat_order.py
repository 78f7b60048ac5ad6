"""Tells new heartbeats of the own upstream from late and foreign ones."""

from oleanderknot import model

# A start begins to count its heartbeats anew; one that is lost or crosses the
# departure of the start before it may make the second the first that is seen.
FIRST_SEQUENCES = 2

# Departures that are remembered; a node sees one for each start.
MOST_DEPARTED = 100


class HeartbeatOrder:
    """Follows the starts of the upstream at one address.

    Heartbeats of an earlier start may arrive late, and an upstream may start
    again under its old id with its sequence at the beginning.

    Attributes:
        service: Service of the upstream on this instance.
        host: IP address of the upstream on this instance.
        port: TCP port of the upstream on this instance.
        current: Newest heartbeat; None before the first.
        gone: Whether the newest start has ended.
        departed: Start in Unix milliseconds that has ended, by id of the
            upstream; 0 when the departure did not say.
    """

    def __init__(self, *, service: str, host: str, port: int) -> None:
        self.service = service
        self.host = host
        self.port = port
        self.current: model.UpstreamHeartbeat | None = None
        self.gone = False
        self.departed: dict[str, int] = {}

    def take(self, report: model.UpstreamHeartbeat) -> bool:
        """Take a heartbeat.

        Args:
            report: The heartbeat.

        Returns:
            Whether it tells something new about the upstream here.
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
                if self.gone or report.sequence <= current.sequence:
                    return False
        self.current = report
        self.gone = False
        return True

    def has_departed(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether a heartbeat is of a start that has ended.

        A node that starts between a departure and a late heartbeat has no
        other way to tell.
        """
        ended_ms = self.departed.get(report.upstream)
        if ended_ms is None:
            return False
        if not ended_ms:
            # Which start has ended is learned from its late heartbeat.
            if report.sequence <= FIRST_SEQUENCES:
                del self.departed[report.upstream]
                return False
            self.departed[report.upstream] = report.started_ms
            return True
        return report.started_ms <= ended_ms

    def end(self, upstream: str, started_ms: int) -> bool:
        """Take the deregistration of an upstream.

        Args:
            upstream: Its id.
            started_ms: Unix time in milliseconds of its start; 0 when it
                does not say.

        Returns:
            Whether it is the newest start of the upstream here.
        """
        current = self.current
        if current is None or upstream != current.upstream:
            self.departed[upstream] = started_ms
            if len(self.departed) > MOST_DEPARTED:
                del self.departed[next(iter(self.departed))]
            return False
        if started_ms and started_ms < current.started_ms:
            return False
        self.gone = True
        return True
