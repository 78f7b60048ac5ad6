"""Clients that send requests while faults are injected."""

import asyncio
import itertools
import random
import time

from soak import http_attempt
from soak import sent_request
from soak import soak_cluster

# Size of a long request body, and share of unsafe requests that have one.
LONG_BODY_BYTES = 150_000
LONG_SHARE = 0.05

# Share of the catalogue requests whose back end makes nested calls.
NESTED_CALL_SHARE = 0.3
MAX_WORK_MS = 250
MAX_ANSWER_BYTES = 20_000

# Share of the requests that reuse an idle connection, even while the node at
# its other end is stopping.
REUSE_SHARE = 0.7


class Clients:
    """Owns the client connections and the results of all requests.

    Attributes:
        cluster: Processes under test.
        sent: All requests sent so far.
        idle_connections: Idle keep-alive connections by instance.
        tasks: Tasks of the requests in flight.
        stopped: Whether no more requests are started.
    """

    def __init__(
        self, *, cluster: soak_cluster.SoakCluster, seed: int
    ) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.sent: list[sent_request.SentRequest] = []
        self.idle_connections: dict[str, list] = {
            name: [] for name in cluster.names
        }
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
            task = asyncio.create_task(self.send(self.draw_request()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)

    def draw_request(self) -> sent_request.SentRequest:
        """Draw a random request."""
        rng = self.rng
        number = next(self.numbers)
        name, route = rng.choice(tuple(soak_cluster.ROUTES.items()))
        size = rng.randrange(1, MAX_ANSWER_BYTES)
        target = '%s%d?size=%d&delay_ms=%d' % (
            route['prefix'],
            number,
            size,
            rng.randrange(MAX_WORK_MS),
        )
        if (
            route['service'] == 'catalogue'
            and rng.random() < NESTED_CALL_SHARE
        ):
            target += '&call=shop.example/look/%d&times=%d' % (
                number,
                rng.randint(1, 3),
            )
        return sent_request.SentRequest(
            request_id='%08x%08x' % (rng.getrandbits(32), number),
            instance=rng.choice(self.cluster.names),
            method='POST' if name == 'order' else 'GET',
            target=target,
            service=route['service'],
            size=size,
        )

    async def send(self, request: sent_request.SentRequest) -> None:
        """Send a request and record its outcome."""
        self.sent.append(request)
        body = b''
        if not request.idempotent and self.rng.random() < LONG_SHARE:
            body = b'y' * LONG_BODY_BYTES
        try:
            async with asyncio.timeout(http_attempt.CLIENT_TIMEOUT_S + 1):
                await self.send_on_connection(request, body)
        except TimeoutError:
            request.error = 'no answer in time'
        except OSError as error:
            request.error = 'no connection: %r' % error
        request.ended_at = time.monotonic()

    async def send_on_connection(
        self, request: sent_request.SentRequest, body: bytes
    ) -> None:
        """Send a request on an idle or a new connection.

        The connection is kept for reuse if the response allows it.
        """
        idle = self.idle_connections[request.instance]
        if idle and self.rng.random() < REUSE_SHARE:
            reader, writer = idle.pop()
        else:
            address = self.cluster.fleet.sidecars[request.instance].requests
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
        reusable = False
        try:
            reusable = await http_attempt.send(request, reader, writer, body)
        finally:
            if reusable:
                idle.append((reader, writer))
            else:
                writer.close()
