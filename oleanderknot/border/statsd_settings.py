"""Settings of metrics."""

from oleanderknot.border import base


class StatsdSettings(base.Model):
    """Where metrics go.

    Attributes:
        host: IP address of the statsd server; none sends no metrics.
        port: UDP port of the statsd server.
        prefix: Text in front of all names.
    """

    host: base.Host | None = None
    port: base.Port = 8125
    prefix: str = 'oleanderknot'
