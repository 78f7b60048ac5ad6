"""HTTP clients of the table service and the object store."""

from oleanderknot.platform.object_client import ObjectClient
from oleanderknot.platform.table_client import TableClient

__all__ = [
    'ObjectClient',
    'TableClient',
]
