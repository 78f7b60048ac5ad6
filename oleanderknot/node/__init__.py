"""The node application."""

from oleanderknot.node.application import NodeApplication

__all__ = ['NodeApplication']
