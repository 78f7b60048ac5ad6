"""Test double of a statsd server."""

import collections
import socket


class StatsdServer:
    """Receives statsd datagrams and sums their counters.

    Attributes:
        port: UDP port.
        counts: Totals by metric name without the prefix.
    """

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(('127.0.0.1', 0))
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.counts: collections.Counter[str] = collections.Counter()

    def read(self) -> collections.Counter[str]:
        """Process all pending datagrams and return the totals."""
        while True:
            try:
                data = self.socket.recv(65536)
            except BlockingIOError:
                return self.counts
            for line in data.decode().splitlines():
                name, _, rest = line.partition(':')
                value, _, kind = rest.partition('|')
                if kind == 'c':
                    self.counts[name.partition('.')[2]] += int(value)
