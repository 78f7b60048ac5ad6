"""Record of a node and its upstream."""

import dataclasses

from oleanderknot.model import member_state as states


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """What the system knows about one node and its upstream.

    Attributes:
        instance: Name of the instance.
        incarnation: Life of the node; the higher one wins.
        version: Change within one life; the higher one wins.
        state: State of the node and its upstream.
        data_centre: Data centre of the instance.
        host: IP address at which the node listens.
        peer_port: TCP port for other nodes.
        caller_port: TCP port for callers.
        operator_port: TCP port for operators.
        service: Service of the upstream; empty before it has announced one.
        slots: Calls that the upstream can run at once.
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
