"""HTTP clients of the table service and the object store."""

from oleanderknot.platform import ticket_filing
from oleanderknot.platform.object_client import ObjectClient
from oleanderknot.platform.table_client import TableClient

__all__ = [
    'ticket_filing',
    'ObjectClient',
    'TableClient',
]
