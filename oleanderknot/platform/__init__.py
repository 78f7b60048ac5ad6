"""Clients, message formats and header names of the users' platform."""

from oleanderknot.platform import heartbeat
from oleanderknot.platform import message_headers
from oleanderknot.platform import policy_document
from oleanderknot.platform import ticket_filing
from oleanderknot.platform.object_client import ObjectClient
from oleanderknot.platform.row_store_client import RowStoreClient
from oleanderknot.platform.table_client import TableClient

__all__ = [
    'heartbeat',
    'message_headers',
    'policy_document',
    'ticket_filing',
    'ObjectClient',
    'RowStoreClient',
    'TableClient',
]
