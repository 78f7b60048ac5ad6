"""Stand-in back end that follows the platform's protocol."""

import asyncio
import collections.abc
import contextlib
import json
import time
import urllib.parse

from review.support import record as records

HEARTBEAT_INTERVAL_S = 1.5
ACK_TIMEOUT_S = 1.0
READ_BYTES = 64 * 1024


class Backend:
    """Sound back end: slots, a short queue, deadlines and heartbeats.

    The query parameter ``work_ms`` sets the work of a request.

    Attributes:
        upstream: Id of this start.
        service: Service that it provides.
        slots: Requests that it runs at once.
        queue: Requests that wait beyond these.
        work_factor: Factor by which all work takes longer.
        runs: Time at which each request id began to run.
        arrivals: Time at which each request reached the back end, by id.
        ended: How the work on each request ended, by id.
        leaving: Whether answers say that the connection ends.
        acknowledged: Time of the acknowledged departure, or None.
    """

    def __init__(
        self,
        *,
        upstream: str,
        service: str,
        address: str,
        control: str,
        record: records.Record,
        slots: int = 29,
        queue: int = 10,
        read_pause_s: float = 0.0,
    ) -> None:
        self.upstream = upstream
        self.service = service
        self.address = address
        self.control = control
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.waiting = 0
        self.read_pause_s = read_pause_s
        self.work_factor = 1.0
        self.runs: dict[str, float] = {}
        self.arrivals: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.leaving = False
        self.acknowledged: float | None = None
        self.state = 'ready'
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.server: asyncio.Server | None = None
        self.heartbeats: asyncio.Task | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(
            self.serve, host, int(port), backlog=1024
        )
        self.heartbeats = asyncio.create_task(self.send_heartbeats())

    def crash(self) -> None:
        """End as an exited process does: all connections are reset."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.write('backend-exit', backend=self.upstream)

    def build_heartbeat(self) -> bytes:
        """Build the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': 'dc1',
                'version': 'v1',
                'slots': self.slot_count,
                'state': self.state,
                'coldRemaining': '0ms',
                'sequence': self.sequence,
                'born': self.born_ms,
            }
        ).encode()

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled; unanswered ones come sooner."""
        while True:
            status = await self.post('heartbeat', self.build_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if status == 200 else 0.3)

    async def drain(self) -> bool:
        """Say ``draining`` until it is acknowledged."""
        self.state = 'draining'
        return await self.leave('heartbeat', self.build_heartbeat)

    async def deregister(self) -> bool:
        """Deregister until that is acknowledged, and send no heartbeats."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        return await self.leave(
            'deregister',
            lambda: json.dumps({'born': self.born_ms}).encode(),
        )

    async def leave(
        self, action: str, build: collections.abc.Callable[[], bytes]
    ) -> bool:
        """Send a departure; return whether it was acknowledged."""
        for _ in range(5):
            if await self.post(action, build()) == 200:
                if self.acknowledged is None:
                    self.acknowledged = time.monotonic()
                self.leaving = True
                self.record.write(
                    'departure-acknowledged',
                    backend=self.upstream,
                    action=action,
                )
                return True
        return False

    async def post(self, action: str, content: bytes) -> int:
        """Send a heartbeat or a departure; return the status, 0 for none."""
        host, _, port = self.control.rpartition(':')
        writer = None
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'POST /v1/instances/%b/%b HTTP/1.1\r\nHost: %b\r\n'
                    b'Content-Type: application/json\r\n'
                    b'Content-Length: %d\r\nConnection: close\r\n\r\n'
                    % (
                        self.upstream.encode(),
                        action.encode(),
                        self.control.encode(),
                        len(content),
                    )
                    + content
                )
                line = await reader.readline()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        self.connections.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self.serve_request(reader, writer):
                    pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b'\r\n\r\n')
        request_line, *lines = head.decode('latin-1').split('\r\n')
        method, target, _ = request_line.split(' ')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        left = int(headers.get('content-length', 0))
        while left:
            left -= len(await reader.readexactly(min(left, READ_BYTES)))
            if self.read_pause_s:
                await asyncio.sleep(self.read_pause_s)
        request_id = headers.get('request-id', '')
        if request_id:
            self.arrivals.setdefault(request_id, time.monotonic())
            self.record.write(
                'arrive', backend=self.upstream, id=request_id, method=method
            )
        if headers.get('expected-instance', self.upstream) != self.upstream:
            self.answer(writer, 421, request_id, not_run=True)
            return True
        if not request_id:
            self.answer(writer, 200 if not self.leaving else 503, '')
            return True
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        work_s = int(query.get('work_ms', 10)) / 1000 * self.work_factor
        deadline = time.monotonic() + (
            int(headers.get('deadline-milliseconds', 60000)) / 1000
        )
        if self.slots.locked() and self.waiting >= self.queue:
            self.answer(writer, 503, request_id, not_run=True)
            return True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                self.answer(writer, 503, request_id, not_run=True)
                return True
            return await self.work(
                reader, writer, request_id, work_s, deadline
            )
        finally:
            self.slots.release()

    async def work(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        work_s: float,
        deadline: float,
    ) -> bool:
        """Run a request until it is done, its caller leaves or time is up."""
        now = time.monotonic()
        self.runs[request_id] = now
        self.record.write('run', backend=self.upstream, id=request_id)
        self.ended[request_id] = 'broken off'
        end = min(now + work_s, deadline)
        while (now := time.monotonic()) < end:
            if reader.at_eof():
                self.record.write(
                    'run-dropped', backend=self.upstream, id=request_id
                )
                return False
            await asyncio.sleep(min(0.01, end - now))
        status = 200 if now + 0.001 >= end and end < deadline else 504
        self.ended[request_id] = 'answered %d' % status
        self.record.write(
            'run-answered', backend=self.upstream, id=request_id, status=status
        )
        self.answer(writer, status, request_id)
        return not self.leaving

    def answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        *,
        not_run: bool = False,
    ) -> None:
        """Write an answer."""
        body = b'' if not_run else b'body of ' + request_id.encode()
        head = [b'HTTP/1.1 %d Status' % status]
        if request_id:
            head.append(b'Request-Id: ' + request_id.encode())
        if not_run:
            head.append(b'Not-Executed: 1')
        elif request_id:
            head.append(b'Response-Signature: s-' + request_id.encode())
        head.append(b'Instance-Id: ' + self.upstream.encode())
        head.append(
            b'Connection: close' if self.leaving else b'Keep-Alive: timeout=10'
        )
        head.append(b'Content-Length: %d\r\n\r\n' % len(body))
        writer.write(b'\r\n'.join(head) + body)
