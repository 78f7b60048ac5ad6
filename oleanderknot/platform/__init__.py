"""Clients, message formats and header names of the users' platform."""

from oleanderknot import lazy_exports

# Public names by the module that defines them.
MODULES = {
    'heartbeat': (),
    'message_headers': (),
    'object_client': ('ObjectClient',),
    'policy_document': (),
    'row_store_client': ('RowStoreClient',),
    'table_client': ('TableClient',),
    'ticket_filing': (),
}

__all__, __getattr__ = lazy_exports.build_exports(__name__, MODULES)
