"""Tells new heartbeats of the own upstream from late and foreign ones."""

from oleanderknot import model


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
    """

    def __init__(self, *, service: str, host: str, port: int) -> None:
        self.service = service
        self.host = host
        self.port = port
        self.current: model.UpstreamReport | None = None
        self.gone = False

    def take(self, report: model.UpstreamReport) -> bool:
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
            return False
        if started_ms and started_ms < current.started_ms:
            return False
        self.gone = True
        return True
