"""Tells other nodes which of their calls this node has not received."""

import asyncio

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import incoming_calls
from oleanderknot.tasks import peer_connection

# Time for which a closed connection can still be asked about. Calls end by
# their deadlines long before.
RETENTION_S = 30.0


class CallSessions:
    """Owns the calls received on each connection, by session number.

    A node that believes a connection to be silent asks over a new one whether
    its calls have arrived. A call that has not is revoked: it does not run
    either if it arrives later.

    Attributes:
        sessions: Received calls by the session of their connection.
    """

    def __init__(self) -> None:
        self.sessions: dict[int, incoming_calls.IncomingCalls] = {}

    def add(self, connection: peer_connection.PeerConnection) -> None:
        """Add a connection whose handshake is complete."""
        self.sessions[connection.session] = connection.incoming

    def expire(self, connection: peer_connection.PeerConnection) -> None:
        """Remove a closed connection after a while."""
        if connection.session in self.sessions:
            asyncio.get_running_loop().call_later(
                RETENTION_S, self.sessions.pop, connection.session, None
            )

    async def answer(self, key: str, wait_s: float) -> wire.KeyState:
        """Return the state of a call, and revoke it if it has not arrived.

        Args:
            key: Text built by ``format_key``.
            wait_s: Not used; the state is known at once.

        Returns:
            ``REFUSED`` for a call that is revoked, ``UNKNOWN`` for one that
            has arrived or is on a connection that is not known.
        """
        state = model.OrderState.UNKNOWN
        session, _, number = key.partition('/')
        if is_number(session) and is_number(number):
            calls = self.sessions.get(int(session))
            if calls is not None and calls.revoke(int(number)):
                state = model.OrderState.REFUSED
        return wire.build_key_state(state)


def format_key(session: int, number: int) -> str:
    """Return the key under which another node is asked about a call.

    Args:
        session: Session number of the connection that the call was sent on.
        number: Number of the call on that connection.
    """
    return '%d/%d' % (session, number)


def is_number(text: str) -> bool:
    """Return whether a text is a decimal number of at most 19 digits."""
    return text.isascii() and text.isdigit() and len(text) <= 19
