"""Recovers calls that went into a connection that does not respond."""

import asyncio
import collections.abc

from absl import logging
from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import call_sessions
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log

CallResult = Result[model.Answer, model.Refusal]


class LostCallRecovery:
    """Asks a node over a new connection what has become of its calls.

    Only the node can tell whether a call or its answer was lost on the way. A
    lost call has not run and can be sent elsewhere, and a lost answer is told
    again; without asking, the call would be refused as one that may have run.

    Attributes:
        members: Known nodes.
        pool: Connections to other nodes; the new one replaces the old one.
        count: Counts an event by name.
        tasks: Recoveries in progress.
    """

    def __init__(
        self,
        *,
        members: decisions.MemberTable,
        pool: peer_pool.PeerPool,
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.members = members
        self.pool = pool
        self.count = count
        self.tasks: set[asyncio.Task] = set()

    def start(self, connection: peer_connection.PeerConnection) -> None:
        """Recover the calls of a connection whose probe is unanswered."""
        task = asyncio.create_task(self.recover(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    def close(self) -> None:
        """Cancel the recoveries in progress."""
        for task in list(self.tasks):
            task.cancel()

    async def recover(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Connect to the node anew and ask about the calls without answer."""
        peer = connection.peer
        member = peer and self.members.members.get(peer.instance)
        if not member or connection.closed:
            return
        try:
            # Another incarnation cannot tell what this one has received.
            fresh = await self.pool.dial(
                member.host,
                member.peer_port,
                (peer.instance, peer.incarnation),
            )
        except ConnectionError:
            # The node itself does not respond.
            return
        calls = connection.outgoing.begin_recovery()
        results = await asyncio.gather(
            *(
                self.recover_call(fresh, connection, number, call)
                for number, call in calls.items()
            )
        )
        self.count('peer.recovered')
        logging.info(
            '%s responds on a new connection and told about %d of %d calls',
            peer.instance,
            len(results) - results.count(None),
            len(results),
            extra={
                'call_fields': {
                    'event': 'calls_recovered',
                    'member': peer.instance,
                    'calls': len(results),
                    'answered': sum(
                        item is not None and item.is_ok() for item in results
                    ),
                    'not_received': sum(map(is_lost, results)),
                }
            },
        )

    async def recover_call(
        self,
        fresh: peer_connection.PeerConnection,
        connection: peer_connection.PeerConnection,
        number: int,
        call: model.Call,
    ) -> CallResult | None:
        """Complete a call with what its node tells about it, and return that.

        Args:
            fresh: Connection to ask on.
            connection: Connection that the call was sent on.
            number: Number of the call on that connection.
            call: The call.
        """
        key = call_sessions.format_key(connection.session, number)
        result = None
        try:
            result = await find_result(fresh, key, call)
        except (ConnectionError, TimeoutError) as error:
            logging.info('cannot ask about call %s: %s', key, error)
        except wire.BadFrame as error:
            logging.warning('odd state of call %s: %s', key, error)
        finally:
            connection.outgoing.end_recovery(number, result)
        return result


async def find_result(
    connection: peer_connection.PeerConnection, key: str, call: model.Call
) -> CallResult | None:
    """Ask for the result of a call, and wait for it while the call runs.

    Args:
        connection: Connection to ask on.
        key: Key of the call; see ``call_sessions.format_key``.
        call: The call; its deadline bounds the wait.

    Returns:
        The result; None if the node does not know it.

    Raises:
        BadFrame: The response is malformed.
        ConnectionError: The connection closed before the response.
        TimeoutError: No response came in time.
    """
    message = await connection.query_key(key, 0.0)
    state, answer, refusal = wire.parse_key_state(message)
    if state is model.OrderState.RUNNING:
        left_s = call.deadline - asyncio.get_running_loop().time()
        message = await connection.query_key(key, max(0.0, left_s))
        state, answer, refusal = wire.parse_key_state(message)
    if state is model.OrderState.REFUSED:
        return call_refusal.refuse(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.CALL_LOST,
            'the node has not received the call',
        )
    if answer is not None:
        return Ok(answer)
    return None if refusal is None else Error(refusal)


def is_lost(result: CallResult | None) -> bool:
    """Return whether a call is refused because it has not arrived."""
    return (
        result is not None
        and result.is_error()
        and result.error.rule is model.Rule.CALL_LOST
    )
