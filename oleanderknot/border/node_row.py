"""Row of the store by which nodes find each other."""

from oleanderknot.border import base


class NodeRow(base.Model):
    """Where a node listens for other nodes.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: base.Host
    port: base.Port
