"""What a node does with the messages of its peers."""

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
    """Return whether a call may be stopped at any time."""
    return call.idempotent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHandlers:
    """Functions that a peer connection hands messages to.

    Attributes:
        run: Runs a call at the own upstream.
        query: Says what became of a key.
        gossip: Takes a membership message.
        policy: Takes a policy message.
        opened: Called when the handshake is done.
        closed: Called when the connection has ended.
        count: Counts an event by name, for metrics.
        closing: Called when a connection takes no more calls.
        traffic: Counts the bytes of control.
        may_cancel: Returns whether a call that nobody waits for is stopped.
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
