"""The node application."""

from oleanderknot.node.application import NodeApplication
from oleanderknot.node.embedded_node import EmbeddedNode
from oleanderknot.node.embedded_node import open_node

__all__ = [
    'EmbeddedNode',
    'NodeApplication',
    'open_node',
]
