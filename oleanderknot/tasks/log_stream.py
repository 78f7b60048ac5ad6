"""Writes log lines to a descriptor without ever waiting for its reader."""

import collections
import os

# Bytes kept for a reader that does not read.
MAX_PENDING_BYTES = 256 * 1024


class LogStream:
    """A text stream for one log handler.

    A pipe whose reader has stopped would otherwise block the event loop, and
    with it every request. Lines that find no room are counted and left out.

    Attributes:
        descriptor: The file descriptor.
        pending: Bytes that the descriptor has not taken, oldest first.
        size: Sum of their lengths.
        dropped: Lines left out since the start.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it until the next call."""
        data = text.encode(errors='backslashreplace')
        if self.size + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self.pending.append(data)
            self.size += len(data)
        self.flush()

    def close(self) -> None:
        """Write what can be written; called when the process ends."""
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more; requests go on.
                self.dropped += len(self.pending)
                self.pending.clear()
                self.size = 0
                return
            self.size -= written
            if written < len(data):
                self.pending[0] = data[written:]
            else:
                self.pending.popleft()
