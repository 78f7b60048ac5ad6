"""Callbacks of a node for the messages and events of peer connections."""

import collections.abc
import dataclasses
import typing

from expression import Result

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import control_traffic

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import peer_connection

RunFunction = collections.abc.Callable[
    [model.Call, bytes, model.Body | None],
    collections.abc.Awaitable[Result[model.Answer, model.Refusal]],
]


def is_idempotent(call: model.Call) -> bool:
    """Return whether a call is idempotent and may be cancelled at any time."""
    return call.idempotent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHandlers:
    """Functions that handle the messages and events of a peer connection.

    Attributes:
        run: Runs a call at this node's upstream.
        query: Returns the state of a key, waiting up to the given seconds.
        gossip: Handles a membership message.
        policy: Handles a policy message.
        opened: Called when the handshake is complete.
        closed: Called when the connection is closed.
        count: Counts an event by name, for metrics.
        closing: Called when this node opens no more calls on a connection.
        traffic: Counts the bytes of control messages.
        may_cancel: Returns whether a call may be cancelled once the peer no
            longer waits for it.
    """

    run: RunFunction
    query: collections.abc.Callable[
        [str, float], collections.abc.Awaitable[wire.KeyState]
    ]
    gossip: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.Gossip], None
    ]
    policy: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.PolicySync], None
    ]
    opened: collections.abc.Callable[['peer_connection.PeerConnection'], None]
    closed: collections.abc.Callable[['peer_connection.PeerConnection'], None]
    count: collections.abc.Callable[[str], None]
    closing: collections.abc.Callable[['peer_connection.PeerConnection'], None]
    traffic: control_traffic.ControlTraffic
    may_cancel: collections.abc.Callable[[model.Call], bool] = is_idempotent
