"""Callbacks of a node for the messages and events of peer connections."""

import collections.abc
import dataclasses
import typing

from expression import Result

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import liveness_monitor

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
        handle_call: Runs a call at this node's upstream.
        answer_key_query: Returns the state of a key; may wait for the given
            number of seconds.
        handle_gossip: Handles a membership message.
        handle_policy_sync: Handles a policy message.
        on_opened: Called when the handshake is complete.
        on_closed: Called when the connection is closed.
        count_event: Counts an event by name, for metrics.
        on_closing: Called when this node opens no more calls on a connection.
        control_bytes: Counts the bytes of control messages.
        on_overdue: Called when a connection does not respond to a probe.
        handle_quota_request: Handles a request about rate limits.
        handle_quota_grant: Handles the answer to one.
        may_cancel: Returns whether a call may be cancelled once the peer no
            longer waits for it.
        unanswered_probes: Monitors of connections with an unanswered probe.
    """

    handle_call: RunFunction
    answer_key_query: collections.abc.Callable[
        [str, float], collections.abc.Awaitable[wire.KeyState]
    ]
    handle_gossip: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.Gossip], None
    ]
    handle_policy_sync: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.PolicySync], None
    ]
    on_opened: collections.abc.Callable[
        ['peer_connection.PeerConnection'], None
    ]
    on_closed: collections.abc.Callable[
        ['peer_connection.PeerConnection'], None
    ]
    count_event: collections.abc.Callable[[str], None]
    on_closing: collections.abc.Callable[
        ['peer_connection.PeerConnection'], None
    ]
    control_bytes: control_traffic.ControlTraffic
    on_overdue: collections.abc.Callable[
        ['peer_connection.PeerConnection'], None
    ] = lambda connection: None
    handle_quota_request: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.QuotaRequest], None
    ] = lambda connection, message: None
    handle_quota_grant: collections.abc.Callable[
        ['peer_connection.PeerConnection', wire.QuotaGrant], None
    ] = lambda connection, message: None
    may_cancel: collections.abc.Callable[[model.Call], bool] = is_idempotent
    unanswered_probes: set[liveness_monitor.LivenessMonitor] = (
        dataclasses.field(default_factory=set)
    )
