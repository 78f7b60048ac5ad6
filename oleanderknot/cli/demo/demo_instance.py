"""Upstream and node of one demo instance."""

import dataclasses

from oleanderknot.node import application
from oleanderknot.standins import upstream


@dataclasses.dataclass(slots=True, kw_only=True)
class DemoInstance:
    """An upstream together with its node.

    Attributes:
        name: Name of the instance.
        service: Name of the upstream's service.
        node: Node that serves the upstream.
        upstream: Simulated upstream.
    """

    name: str
    service: str
    node: application.NodeApplication
    upstream: upstream.Upstream

    def get_caller_port(self) -> int:
        """Return the node's TCP port for incoming requests."""
        return self.node.membership.own.caller_port
