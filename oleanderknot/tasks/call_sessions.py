"""Tells other nodes what has become of their calls."""

import asyncio
import functools

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import incoming_calls
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import recent_results

# Time for which a closed connection can still be asked about. Calls end by
# their deadlines long before.
RETENTION_S = 30.0


class CallSessions:
    """Owns the calls received on each connection, by session number.

    A node that believes a connection to be silent asks over a new one about
    its calls. A call that has not arrived is revoked: it does not run either
    if it arrives later. The result of one that has is told again.

    Attributes:
        sessions: Received calls by the session of their connection.
        results: Results of the latest calls.
    """

    def __init__(self, *, memory: decisions.NodeMemory | None = None) -> None:
        self.sessions: dict[int, incoming_calls.IncomingCalls] = {}
        self.results = recent_results.RecentResults(memory=memory)

    def add(self, connection: peer_connection.PeerConnection) -> None:
        """Add a connection whose handshake is complete."""
        self.sessions[connection.session] = connection.incoming
        connection.incoming.on_result = functools.partial(
            self.results.add, connection.session
        )

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
            wait_s: Longest wait for the end of a running call, in seconds.

        Returns:
            ``REFUSED`` for a call that is revoked, ``DONE`` with the answer or
            the refusal of one that has ended, and ``UNKNOWN`` if its result is
            not kept or its connection is not known.
        """
        session, _, number = key.partition('/')
        if not is_number(session) or not is_number(number):
            return wire.build_key_state(model.OrderState.UNKNOWN)
        return await self.find_state(int(session), int(number), wait_s)

    async def find_state(
        self, session: int, number: int, wait_s: float
    ) -> wire.KeyState:
        """Return the state of a call; see ``answer``."""
        calls = self.sessions.get(session)
        if calls is None:
            return wire.build_key_state(model.OrderState.UNKNOWN)
        if calls.revoke(number):
            return wire.build_key_state(model.OrderState.REFUSED)
        running = calls.open_calls.get(number)
        if running is not None and wait_s > 0:
            await asyncio.wait((running.task,), timeout=wait_s)
        result = self.results.find(session, number)
        if result is None:
            return wire.build_key_state(
                model.OrderState.RUNNING
                if number in calls.open_calls
                else model.OrderState.UNKNOWN
            )
        return wire.build_key_state(
            model.OrderState.DONE,
            answer=result.ok if result.is_ok() else None,
            refusal=result.error if result.is_error() else None,
        )


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
