"""Sidecar process and its back end process."""

import dataclasses

from features.support import process as processes


@dataclasses.dataclass(slots=True, kw_only=True)
class Sidecar:
    """Addresses and processes of one instance.

    Attributes:
        name: Name of the instance.
        service: Service of its back end.
        host: Loopback IP address of the instance.
        requests: Address for client requests.
        readiness: Address for readiness checks.
        heartbeats: Address for heartbeats.
        peers: Address for other nodes.
        metrics: Address of the metrics endpoint.
        backend_address: Address of the back end.
        record: File in which the back end records its runs; empty for none.
        process: Sidecar process.
        backend: Back end process.
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
