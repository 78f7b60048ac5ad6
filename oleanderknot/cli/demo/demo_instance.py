"""One instance of the demo: an upstream and its node."""

import dataclasses

from oleanderknot.node import application
from oleanderknot.standins import upstream


@dataclasses.dataclass(slots=True, kw_only=True)
class DemoInstance:
    """An upstream and the node beside it.

    Attributes:
        name: Name of the instance.
        service: Service of the upstream.
        node: The node.
        upstream: The upstream.
    """

    name: str
    service: str
    node: application.NodeApplication
    upstream: upstream.Upstream

    def find_caller_port(self) -> int:
        """Return the TCP port for callers."""
        return self.node.membership.own.caller_port
