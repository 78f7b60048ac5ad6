"""Clients that send requests while faults are injected."""

import asyncio
import itertools
import time

from soak import http_attempt
from soak import pipeline_attempt
from soak import request_group
from soak import sent_request
from soak import soak_cluster

# Size of a long request body, and share of unsafe requests that have one.
LONG_BODY_BYTES = 150_000
LONG_SHARE = 0.05

# Share of the requests that reuse an idle connection, even while the node at
# its other end is stopping.
REUSE_SHARE = 0.7


class Clients:
    """Owns the client connections and the results of a group of requests.

    Attributes:
        cluster: Processes under test.
        group: How the requests are drawn.
        sent: All requests sent so far.
        idle_connections: Idle keep-alive connections by instance.
        tasks: Tasks of the requests in flight.
        stopped: Whether no more requests are started.
    """

    def __init__(
        self,
        *,
        cluster: soak_cluster.SoakCluster,
        group: request_group.RequestGroup,
    ) -> None:
        self.cluster = cluster
        self.group = group
        self.rng = group.rng
        self.sent: list[sent_request.SentRequest] = []
        self.idle_connections: dict[str, list] = {
            name: [] for name in cluster.names
        }
        self.tasks: set[asyncio.Task] = set()
        self.numbers = itertools.count()
        self.stopped = False

    async def run(self) -> None:
        """Send requests at random intervals until ``stopped``."""
        while not self.stopped:
            await asyncio.sleep(self.rng.expovariate(self.group.rate))
            requests = self.group.draw(self.rng, next(self.numbers))
            task = asyncio.create_task(self.send(requests))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def send(self, requests: list[sent_request.SentRequest]) -> None:
        """Send requests on one connection and record their outcomes.

        Requests that count as unread are sent again.
        """
        self.sent += requests
        await self.attempt(requests)
        for request in requests:
            if request.unread:
                request.resent_at = time.monotonic()
                request.sent_at = request.ended_at = 0.0
                await self.attempt([request])

    async def attempt(self, requests: list[sent_request.SentRequest]) -> None:
        """Send requests once, on one connection."""
        error = ''
        try:
            async with asyncio.timeout(http_attempt.CLIENT_TIMEOUT_S + 1):
                await self.send_on_connection(requests)
        except TimeoutError:
            error = 'no answer in time'
        except OSError as failure:
            error = 'no connection: %r' % failure
        ended_at = time.monotonic()
        for request in requests:
            if not request.ended_at:
                request.ended_at = ended_at
                request.error = request.error or error

    async def send_on_connection(
        self, requests: list[sent_request.SentRequest]
    ) -> None:
        """Send requests on an idle or a new connection.

        The connection is kept for reuse if the response allows it.
        """
        first = requests[0]
        body = b''
        if not first.idempotent and self.rng.random() < LONG_SHARE:
            body = b'y' * LONG_BODY_BYTES
        idle = self.idle_connections[first.instance]
        if idle and self.rng.random() < REUSE_SHARE:
            reader, writer = idle.pop()
        else:
            address = self.cluster.fleet.sidecars[first.instance].requests
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
        reusable = False
        try:
            if len(requests) == 1:
                reusable = await http_attempt.send(first, reader, writer, body)
            else:
                reusable = await pipeline_attempt.send(
                    requests, reader, writer
                )
        finally:
            if reusable:
                idle.append((reader, writer))
            else:
                writer.close()
