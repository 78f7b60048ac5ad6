"""Clients that send requests while faults come."""

import asyncio
import itertools
import random
import time

from soak import http_attempt
from soak import sent_request
from soak import world

# Bytes of a long request body.
LONG_BODY = 150_000
LONG_SHARE = 0.05

# Share of the requests whose back end makes calls of its own.
TREE_SHARE = 0.3
LONGEST_WORK_MS = 250
LARGEST_ANSWER = 20_000

# Share of the requests that are sent on a kept connection, also while the
# node at its other end is stopping.
KEPT_SHARE = 0.7


class Clients:
    """Owns the connections of the clients and what they were told.

    Attributes:
        place: The processes.
        sent: All requests so far.
        kept: Idle connections by instance.
        tasks: Requests under way.
        stopped: Whether no more requests are begun.
    """

    def __init__(self, *, place: world.World, seed: int) -> None:
        self.place = place
        self.rng = random.Random(seed)
        self.sent: list[sent_request.SentRequest] = []
        self.kept: dict[str, list] = {name: [] for name in place.names}
        self.tasks: set[asyncio.Task] = set()
        self.numbers = itertools.count()
        self.stopped = False

    async def run(self, rate: float) -> None:
        """Send requests at random moments until ``stopped``."""
        while not self.stopped:
            await asyncio.sleep(self.rng.expovariate(rate))
            task = asyncio.create_task(self.send(self.draw()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)

    def draw(self) -> sent_request.SentRequest:
        """Draw a request."""
        rng = self.rng
        number = next(self.numbers)
        name, route = rng.choice(tuple(world.ROUTES.items()))
        size = rng.randrange(1, LARGEST_ANSWER)
        target = '%s%d?size=%d&delay_ms=%d' % (
            route['prefix'],
            number,
            size,
            rng.randrange(LONGEST_WORK_MS),
        )
        if route['service'] == 'catalogue' and rng.random() < TREE_SHARE:
            target += '&call=shop.example/look/%d&times=%d' % (
                number,
                rng.randint(1, 3),
            )
        return sent_request.SentRequest(
            request_id='%08x%08x' % (rng.getrandbits(32), number),
            instance=rng.choice(self.place.names),
            method='POST' if name == 'order' else 'GET',
            target=target,
            service=route['service'],
            size=size,
        )

    async def send(self, request: sent_request.SentRequest) -> None:
        """Send a request on a kept or a new connection."""
        self.sent.append(request)
        body = b''
        if not request.repeatable and self.rng.random() < LONG_SHARE:
            body = b'y' * LONG_BODY
        try:
            async with asyncio.timeout(http_attempt.PATIENCE_S + 1):
                await self.exchange(request, body)
        except TimeoutError:
            request.error = 'no answer in time'
        except OSError as error:
            request.error = 'no connection: %r' % error
        request.ended_at = time.monotonic()

    async def exchange(
        self, request: sent_request.SentRequest, body: bytes
    ) -> None:
        """Send a request; keep the connection if that is possible."""
        kept = self.kept[request.instance]
        if kept and self.rng.random() < KEPT_SHARE:
            reader, writer = kept.pop()
        else:
            address = self.place.fleet.sidecars[request.instance].requests
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
        whole = False
        try:
            whole = await http_attempt.send(request, reader, writer, body)
        finally:
            if whole:
                kept.append((reader, writer))
            else:
                writer.close()
