"""Kinds of alerts."""

import enum


class AlertKind(enum.Enum):
    """What is wrong; the values appear in ids of alerts."""

    TABLE_OUT = 'table-out'
    OBJECTS_OUT = 'objects-out'
    BATCHES_DROPPED = 'batches-dropped'
    MEMBER_DEAD = 'member-dead'
    DATA_CENTRE_OUT = 'data-centre-out'
    CONNECTION_SILENT = 'connection-silent'
    ORDERS_REFUSED = 'orders-refused'
