"""Handles the messages and events of the peers of a sidecar node."""

import dataclasses
import typing

from oleanderknot.node import peer_events
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


def build_handlers(
    node: 'sidecar_application.SidecarApplication',
) -> peer_handlers.PeerHandlers:
    """Build the callbacks that handle messages of peers."""

    def add_connection(connection: peer_connection.PeerConnection) -> None:
        node.call_sessions.add(connection)
        peer_events.register_connection(
            node.pool, node.membership, node.policies, connection
        )

    def remove_connection(connection: peer_connection.PeerConnection) -> None:
        node.pool.remove(connection)
        node.call_sessions.expire(connection)
        if not node.stopping:
            node.reconnector.note_closed(connection)

    return peer_handlers.PeerHandlers(
        handle_call=node.local_upstream.run_call,
        answer_key_query=node.call_sessions.answer,
        handle_gossip=lambda peer, message: peer_events.handle_gossip(
            node.membership, node.policies, peer, message
        ),
        handle_policy_sync=lambda peer, item: node.policies.handle(peer, item),
        on_opened=add_connection,
        on_closed=remove_connection,
        count_event=node.recorder.count,
        on_closing=lambda peer: node.pool.retire(peer),
        control_bytes=control_traffic.ControlTraffic(),
        on_overdue=lambda peer: node.recovery.start(peer),
        handle_quota_request=lambda peer, message: node.quota.handle_request(
            peer, message
        ),
        handle_quota_grant=lambda peer, message: node.quota.handle_grant(
            peer, message
        ),
        may_cancel=lambda call: call.idempotent or not call.started,
    )


def change_incarnation(
    node: 'sidecar_application.SidecarApplication', incarnation: int
) -> None:
    """Take a higher incarnation in the handshakes from now on."""
    node.identity = dataclasses.replace(node.identity, incarnation=incarnation)
    node.pool.identity = node.peers.identity = node.identity
