"""Node process and its upstream process."""

import dataclasses

from features.support import process as processes


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """Addresses and processes of one instance.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre of the instance.
        host: Loopback IP address of the instance.
        caller_port: TCP port for callers.
        peer_port: TCP port for other nodes.
        egress_port: TCP port for the upstream's outgoing calls.
        operator_port: TCP port for operators.
        proxy_port: TCP port of the fault proxy in front of the node.
        control_port: TCP port that controls the fault proxy.
        upstream_port: TCP port of the upstream; 0 without one.
        process: Node process.
        upstream: Upstream process, if any.
    """

    name: str
    data_centre: str
    host: str
    caller_port: int
    peer_port: int
    egress_port: int
    operator_port: int
    proxy_port: int = 0
    control_port: int = 0
    upstream_port: int = 0
    process: processes.Process | None = None
    upstream: processes.Process | None = None

    def caller_url(self, path: str) -> str:
        """Return the URL of a path on the caller port."""
        return 'http://%s:%d%s' % (self.host, self.caller_port, path)

    def peer_address(self) -> str:
        """Return the peer address, that of the fault proxy if any."""
        if self.proxy_port:
            return '127.0.0.1:%d' % self.proxy_port
        return '%s:%d' % (self.host, self.peer_port)

    def upstream_url(self, path: str) -> str:
        """Return the URL of a path at the upstream, bypassing the node."""
        return 'http://127.0.0.1:%d%s' % (self.upstream_port, path)

    def status_url(self) -> str:
        """Return the URL of the status page on the operator port."""
        return 'http://127.0.0.1:%d/status' % self.operator_port

    def find_peer_address(self) -> str:
        """Return the peer address, that of the fault proxy if any."""
        if self.proxy_port:
            return '127.0.0.1:%d' % self.proxy_port
        return '%s:%d' % (self.host, self.peer_port)

    def fault_url(self) -> str:
        """Return the control URL of the node's fault proxy."""
        return 'http://127.0.0.1:%d/%d' % (self.control_port, self.proxy_port)
