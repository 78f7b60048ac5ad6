"""Memory and progress of one client connection."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import client_parser

# Approximate size of a connection without a request: the objects of the
# event loop, the parser and this code.
CONNECTION_BYTES = 8192

# Approximate size of the objects of a request without headers.
REQUEST_BYTES = 1024

# Largest request with its response that is counted only with the next request
# or the next sweep, for the sake of the processor time of ordinary ones.
MAX_LATE_BYTES = 8192


class ClientMemory:
    """Counts what a connection holds, and measures the client's progress.

    Attributes:
        lease: Lease of the connection.
        received: Bytes received.
        written: Bytes passed to the transport.
        writing: Whether the progress is that of a response.
    """

    def __init__(
        self,
        *,
        memory: decisions.NodeMemory,
        give_way: collections.abc.Callable[[], None],
    ) -> None:
        self.lease = memory.lease(decisions.HolderKind.CLIENT, give_way)
        self.lease.resize(CONNECTION_BYTES)
        self.received = 0
        self.written = 0
        self.writing = False

    def observe(
        self, now: float, *, buffered: int, sending: bool, min_bytes: int
    ) -> None:
        """Measure the progress of the client.

        Args:
            now: Time in seconds.
            buffered: Bytes that the client has not read.
            sending: Whether the client sends a request and the node reads.
            min_bytes: Bytes with which a new period of progress starts.
        """
        writing = buffered > 0
        if not writing and not sending:
            self.lease.progress = None
            return
        done = self.written - buffered if writing else self.received
        progress = self.lease.progress
        if progress is None or writing is not self.writing:
            self.writing = writing
            self.lease.progress = decisions.TransferProgress(
                now=now, transferred=done
            )
            return
        progress.observe(now, done, min_bytes)

    def is_slow(self) -> bool:
        """Return whether the client transfers something slowly."""
        progress = self.lease.progress
        return progress is not None and progress.is_slow()

    def is_stalled(self, now: float, period_s: float) -> bool:
        """Return whether the client has made no progress for a period."""
        progress = self.lease.progress
        return progress is not None and progress.is_stalled(now, period_s)


def measure_request(request: model.HttpRequest) -> int:
    """Return the approximate size of a complete request in bytes."""
    return (
        REQUEST_BYTES
        + len(request.target)
        + len(request.content)
        + client_parser.HEADER_BYTES * len(request.headers)
    )
