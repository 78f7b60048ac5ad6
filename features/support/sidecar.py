"""A node on a platform and its back end."""

import dataclasses

from features.support import process as processes


@dataclasses.dataclass(slots=True, kw_only=True)
class Sidecar:
    """Addresses and processes of one instance.

    Attributes:
        name: Name of the instance.
        service: Service of its back end.
        host: IP address of the instance, one of the loopback network.
        requests: Address for clients.
        readiness: Address for readiness.
        heartbeats: Address for heartbeats.
        peers: Address for other nodes.
        metrics: Address for metrics.
        backend_address: Address of the back end.
        record: File that the back end writes its record to; empty for none.
        process: The node.
        backend: The back end.
    """

    name: str
    service: str
    host: str
    requests: str
    readiness: str
    heartbeats: str
    peers: str
    metrics: str
    backend_address: str
    record: str = ''
    process: processes.Process | None = None
    backend: processes.Process | None = None
