"""Kinds of events reported to operators."""

import enum


class EventKind(enum.Enum):
    """Kind of an event; the values appear in the account."""

    NODE_STARTED = 'node_started'
    NODE_STOPPED = 'node_stopped'
    UPSTREAM_TAKING = 'upstream_taking'
    UPSTREAM_LEAVING = 'upstream_leaving'
    UPSTREAM_SUSPECT = 'upstream_suspect'
    UPSTREAM_DEAD = 'upstream_dead'
    CONNECTION_SILENT = 'connection_silent'
    TABLE_OUT = 'table_out'
    TABLE_BACK = 'table_back'
    OBJECTS_OUT = 'objects_out'
    OBJECTS_BACK = 'objects_back'
    TICKET_IN_FORCE = 'ticket_in_force'
