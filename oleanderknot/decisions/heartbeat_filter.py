"""Rejection of late and foreign heartbeats of the local upstream."""

from oleanderknot import model

# Each start of an upstream numbers its heartbeats from the beginning. The
# second heartbeat can be the first to be seen when the first is lost, or when
# it crosses the deregistration of the previous start in transit.
MAX_FIRST_SEQUENCE = 2

# Deregistrations that are kept; a node receives one for each start.
MAX_DEREGISTRATIONS = 100


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
        deregistered_start_ms: Unix time in milliseconds of the start that was
            deregistered, by id of the upstream; 0 when the deregistration
            did not contain it.
    """

    def __init__(self, *, service: str, host: str, port: int) -> None:
        self.service = service
        self.host = host
        self.port = port
        self.current: model.UpstreamHeartbeat | None = None
        self.ended = False
        self.deregistered_start_ms: dict[str, int] = {}

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
        if self.is_deregistered(report):
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

    def is_deregistered(self, report: model.UpstreamHeartbeat) -> bool:
        """Return whether a heartbeat belongs to a deregistered start.

        A node that starts between a deregistration and a late heartbeat
        cannot detect this in any other way.
        """
        ended_ms = self.deregistered_start_ms.get(report.upstream)
        if ended_ms is None:
            return False
        if not ended_ms:
            # The late heartbeat identifies the start that was deregistered.
            if report.sequence <= MAX_FIRST_SEQUENCE:
                del self.deregistered_start_ms[report.upstream]
                return False
            self.deregistered_start_ms[report.upstream] = report.started_ms
            return True
        return report.started_ms <= ended_ms

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
            self.deregistered_start_ms[upstream] = started_ms
            if len(self.deregistered_start_ms) > MAX_DEREGISTRATIONS:
                del self.deregistered_start_ms[
                    next(iter(self.deregistered_start_ms))
                ]
            return False
        if started_ms and started_ms < current.started_ms:
            return False
        self.ended = True
        return True
