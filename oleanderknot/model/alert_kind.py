"""Kinds of alerts."""

import enum


class AlertKind(enum.Enum):
    """Condition behind an alert; the values appear in alert ids."""

    TABLE_OUT = 'table-out'
    OBJECTS_OUT = 'objects-out'
    BATCHES_DROPPED = 'batches-dropped'
    MEMBER_DEAD = 'member-dead'
    DATA_CENTRE_OUT = 'data-centre-out'
    CONNECTION_SILENT = 'connection-silent'
    ORDERS_REFUSED = 'orders-refused'
