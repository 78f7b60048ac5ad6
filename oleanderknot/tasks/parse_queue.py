"""Turns of the connections that have more to parse."""

import asyncio
import collections
import typing

# Headers and parts of bodies that one connection parses in a turn of the
# event loop, at about 1 µs each; checked after each piece of bytes.
MAX_TURN_COST = 1000


class Parsing(typing.Protocol):
    """Connection that parses in turns."""

    def parse_turn(self) -> bool:
        """Parse for one turn; return whether there is more to parse now."""


class ParseQueue:
    """Lets one connection parse in each turn of the event loop.

    Between two turns the loop handles all other events, so that clients whose
    bytes are costly to parse delay only each other.

    Attributes:
        waiting: Connections that have more to parse, the next one first.
        scheduled: Whether the next turn is scheduled.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: collections.deque[Parsing] = collections.deque()
        self.scheduled = False

    def add(self, connection: Parsing) -> None:
        """Give a connection a turn unless it already waits for one."""
        if connection not in self.waiting:
            self.waiting.append(connection)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Let the next connection parse."""
        self.scheduled = False
        connection = self.waiting.popleft()
        try:
            if connection.parse_turn():
                self.waiting.append(connection)
        finally:
            if self.waiting and not self.scheduled:
                self.scheduled = True
                self.loop.call_soon(self.run_turn)
