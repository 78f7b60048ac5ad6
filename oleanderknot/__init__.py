"""Overload control layer for service call graphs.

A caller may embed a node::

    settings = oleanderknot.load_settings(pathlib.Path('node.yaml'))
    async with oleanderknot.open_node(settings) as node:
        result = await node.request('GET', '/catalogue/page')
"""

from oleanderknot.border.settings_file import load_settings
from oleanderknot.model.answer import Answer
from oleanderknot.model.refusal import Refusal
from oleanderknot.model.verdict import Verdict
from oleanderknot.node.embedded_node import EmbeddedNode
from oleanderknot.node.embedded_node import open_node

__all__ = [
    'Answer',
    'EmbeddedNode',
    'Refusal',
    'Verdict',
    'load_settings',
    'open_node',
]
