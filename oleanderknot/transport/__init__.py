"""HTTP connections to upstreams and to the platform's services."""

from oleanderknot import lazy_exports

# Public names by the module that defines them.
MODULES = {
    'body_buffer': ('BodyBuffer',),
    'connection_cut': ('ConnectionCutError',),
    'raw_answer': ('RawAnswer',),
    'receive_budget': ('ReceiveBudget',),
    'response_connection': (
        'MAX_OVERHEAD_BYTES',
        'MAX_STATUS',
        'MIN_STATUS',
        'ResponseConnection',
    ),
}

__all__, __getattr__ = lazy_exports.build_exports(__name__, MODULES)
