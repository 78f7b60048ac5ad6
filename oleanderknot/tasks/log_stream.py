"""Non-blocking stream for log lines."""

import collections
import os

# Maximum size of the buffer for a reader that is slow or stopped.
MAX_PENDING_BYTES = 256 * 1024


class LogStream:
    """Text stream of a log handler that never blocks.

    A blocking write to a pipe whose reader has stopped would block the event
    loop, and with it every request. Lines that exceed the buffer are dropped
    and counted.

    Attributes:
        descriptor: The file descriptor.
        pending: Data not yet written to the descriptor, oldest first.
        size: Total size of the pending data in bytes.
        dropped: Number of lines dropped since the start.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or buffer it until the next call."""
        data = text.encode(errors='backslashreplace')
        if self.size + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self.pending.append(data)
            self.size += len(data)
        self.flush()

    def close(self) -> None:
        """Flush without blocking; called when the process ends."""
        self.flush()

    def flush(self) -> None:
        """Write as much pending data as possible without blocking."""
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log; requests must continue.
                self.dropped += len(self.pending)
                self.pending.clear()
                self.size = 0
                return
            self.size -= written
            if written < len(data):
                self.pending[0] = data[written:]
            else:
                self.pending.popleft()
