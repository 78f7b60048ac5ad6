"""Settings of metrics."""

from oleanderknot.border import base


class StatsdSettings(base.Model):
    """Destination and name prefix of metrics.

    Attributes:
        host: IP address of the statsd server; None disables metrics.
        port: UDP port of the statsd server.
        prefix: Prefix of all metric names.
    """

    host: base.Host | None = None
    port: base.Port = 8125
    prefix: str = 'oleanderknot'
