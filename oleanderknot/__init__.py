"""Overload control layer for service call graphs.

A caller can run a node in its own process::

    settings = oleanderknot.load_settings(pathlib.Path('node.yaml'))
    async with oleanderknot.open_node(settings) as node:
        result = await node.request('GET', '/catalogue/page')
"""

import importlib

# Maps each public name to the module that defines it. Modules are imported on
# first access, so that node processes do not load what only embedding callers
# need.
PUBLIC_MODULES = {
    'Answer': 'oleanderknot.model.answer',
    'EmbeddedNode': 'oleanderknot.node.embedded_node',
    'Refusal': 'oleanderknot.model.refusal',
    'Verdict': 'oleanderknot.model.verdict',
    'load_settings': 'oleanderknot.border.settings_file',
    'open_node': 'oleanderknot.node.embedded_node',
}

__all__ = [
    'Answer',
    'EmbeddedNode',
    'Refusal',
    'Verdict',
    'load_settings',
    'open_node',
]


def __getattr__(name: str) -> object:
    """Import a public name on first access (PEP 562)."""
    if name not in PUBLIC_MODULES:
        raise AttributeError(
            'module %r has no attribute %r' % (__name__, name)
        )
    return getattr(importlib.import_module(PUBLIC_MODULES[name]), name)
