"""Store row by which nodes discover each other."""

from oleanderknot.border import base


class NodeRow(base.Model):
    """Address at which a node accepts connections from other nodes.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: base.Host
    port: base.Port
