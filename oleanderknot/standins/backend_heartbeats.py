"""Heartbeats of the stand-in for a back end."""

import argparse
import asyncio
import collections.abc
import contextlib
import time

import aiohttp

HEARTBEAT_INTERVAL_S = 0.3


class BackendHeartbeats:
    """Tells the node of a back end the state of that back end.

    Attributes:
        options: Options of the command line.
        session: HTTP client.
        record: Records an event with its fields.
        upstream: Id of the back end.
        started_ms: Start time of the process in Unix milliseconds.
        sequence: Number of the latest heartbeat.
        state: State reported in heartbeats.
        acknowledged_state: Last state that the node acknowledged; empty
            while another one is being reported.
        deregistered: Whether it has left without saying ``draining``.
        task: Sends heartbeats periodically.
    """

    def __init__(
        self,
        *,
        options: argparse.Namespace,
        session: aiohttp.ClientSession,
        record: collections.abc.Callable[..., None],
    ) -> None:
        self.options = options
        self.session = session
        self.record = record
        self.upstream = 'i-%s' % options.name
        self.started_ms = int((time.time() + options.clock_ahead_s) * 1000)
        self.sequence = 0
        self.state = self.acknowledged_state = 'ready'
        self.deregistered = False
        self.task: asyncio.Task | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the back end has begun to leave."""
        return self.deregistered or self.state != 'ready'

    def start(self) -> None:
        """Start to send heartbeats."""
        self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self.task.cancel()

    async def run(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self.sequence += 1
            with contextlib.suppress(OSError, aiohttp.ClientError):
                await self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send(self, **changes: object) -> int:
        """Send one heartbeat and return the status code of the response."""
        state = self.state
        content = {
            'service': self.options.service,
            'address': self.options.address,
            'zone': 'dc1',
            'version': 'v1',
            'slots': self.options.slots,
            'state': state,
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.started_ms,
            **changes,
        }
        if state != self.acknowledged_state:
            self.acknowledged_state = ''
            self.record('report', state=state)
        status = await self.post('heartbeat', content)
        # The state may have changed while the node answered.
        if status == 200 and state == self.state != self.acknowledged_state:
            self.acknowledged_state = state
            self.record('state', state=state)
        return status

    async def change_state(self, state: str) -> int:
        """Send a heartbeat with another state; return the status code."""
        self.state = state
        self.sequence += 1
        return await self.send()

    async def deregister(self) -> int:
        """Deregister without a heartbeat that says so, and go on serving."""
        self.stop()
        self.deregistered = True
        return await self.post('deregister', {'born': self.started_ms})

    async def post(self, action: str, content: dict[str, object]) -> int:
        """Send a call to the node and return the status of its response."""
        url = 'http://%s/v1/instances/%s/%s' % (
            self.options.control,
            self.upstream,
            action,
        )
        async with self.session.post(url, json=content) as response:
            return response.status
