"""Membership record of a node and its upstream."""

import dataclasses

from oleanderknot.model import departure as departures
from oleanderknot.model import member_state as states


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Membership record of one node and its upstream.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the node; the record with the higher one
            takes precedence.
        version: Version within one incarnation; the record with the higher one
            takes precedence.
        state: State of the node and its upstream.
        data_centre: Data centre of the instance.
        host: IP address on which the node listens.
        peer_port: TCP port for other nodes.
        caller_port: TCP port for callers.
        operator_port: TCP port for operators.
        service: Service of the upstream; empty before it has announced one.
        slots: Calls that the upstream can run concurrently.
        departure: Latest acknowledged departure of an upstream of this
            instance; None before the first.
    """

    instance: str
    incarnation: int
    version: int
    state: states.MemberState
    data_centre: str
    host: str
    peer_port: int
    caller_port: int = 0
    operator_port: int = 0
    service: str = ''
    slots: int = 0
    departure: departures.Departure | None = None
