"""Counters and gauges of a node, exported to statsd."""

import asyncio
import collections
import collections.abc

import statsd

FLUSH_PERIOD_S = 1.0

GaugeFunction = collections.abc.Callable[[], float]


class Metrics:
    """Owns the counters, the gauges and the statsd client.

    Attributes:
        client: The statsd client; None without a configured server.
        totals: Counts since the start, by name.
        pending: Counts since the last flush, by name.
        gauges: Functions that return the value of a gauge, by name.
    """

    def __init__(self, *, client: statsd.StatsClient | None) -> None:
        self.client = client
        self.totals: collections.Counter[str] = collections.Counter()
        self.pending: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, GaugeFunction] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Increment a counter.

        Args:
            name: Name of a counter in ``metric_list``.
            number: Increment.
        """
        self.totals[name] += number
        self.pending[name] += number

    def read_gauges(self) -> dict[str, float]:
        """Return the present value of each gauge, by name."""
        return {name: read() for name, read in self.gauges.items()}

    def flush(self) -> None:
        """Send the counts since the last flush and the gauges to statsd."""
        pending, self.pending = self.pending, collections.Counter()
        if self.client is None:
            return
        with self.client.pipeline() as batch:
            for name, number in pending.items():
                batch.incr(name, number)
            for name, value in self.read_gauges().items():
                batch.gauge(name, value)

    async def run(self) -> None:
        """Flush every second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def close(self) -> None:
        """Send the remaining counts and close the socket."""
        self.flush()
        if self.client is not None:
            self.client.close()


def build_client(
    host: str | None, port: int, prefix: str
) -> statsd.StatsClient | None:
    """Build the statsd client.

    Args:
        host: IP address of the statsd server; None for no server.
        port: UDP port.
        prefix: Prefix of all metric names.

    Returns:
        The client, or None without a server.
    """
    if host is None:
        return None
    return statsd.StatsClient(host, port, prefix=prefix, ipv6=':' in host)
