"""Clients that send requests while faults are injected."""

import asyncio
import itertools
import random
import time

from soak import http_attempt
from soak import sent_request
from soak import world

# Size of a long request body, and share of unsafe requests that have one.
LONG_BODY = 150_000
LONG_SHARE = 0.05

# Share of the catalogue requests whose back end makes nested calls.
TREE_SHARE = 0.3
LONGEST_WORK_MS = 250
LARGEST_ANSWER = 20_000

# Share of the requests that reuse an idle connection, even while the node at
# its other end is stopping.
KEPT_SHARE = 0.7


class Clients:
    """Owns the client connections and the results of all requests.

    Attributes:
        place: Processes under test.
        sent: All requests sent so far.
        kept: Idle keep-alive connections by instance.
        tasks: Tasks of the requests in flight.
        stopped: Whether no more requests are started.
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
        """Send requests at random intervals until ``stopped``.

        Args:
            rate: Mean requests per second.
        """
        while not self.stopped:
            await asyncio.sleep(self.rng.expovariate(rate))
            task = asyncio.create_task(self.send(self.draw()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)

    def draw(self) -> sent_request.SentRequest:
        """Draw a random request."""
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
        """Send a request and record its outcome."""
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
        """Send a request on an idle or a new connection.

        The connection is kept for reuse if the response allows it.
        """
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
