"""Stand-in upstream that records the requests it runs."""

import asyncio
import dataclasses
import json
import signal

import aiohttp
from aiohttp import web

from oleanderknot.standins import upstream_options

BLOCK_BYTES = 64 * 1024


class Upstream:
    """HTTP service with limited concurrency, downstream calls and faults.

    The query string of a request may set ``size`` of the response body in
    bytes, ``delay_ms`` of work, an ``echo`` text, ``chunked`` encoding and
    ``cut_at``, the number of bytes after which the connection is aborted.
    ``/-/runs`` lists the recorded runs and ``/-/options`` changes the options.

    Attributes:
        options: Behaviour and faults.
        runs: Method, path, idempotency key and trace id of each request that
            started to run.
        cancelled: Number of runs cancelled because the caller disconnected.
        finished: Number of runs that completed.
    """

    def __init__(self, *, options: upstream_options.UpstreamOptions) -> None:
        self.options = options
        self.runs: list[dict[str, str]] = []
        self.cancelled = 0
        self.finished = 0
        self.busy_slots = 0
        self.slot_freed = asyncio.Condition()
        self.session: aiohttp.ClientSession | None = None
        self.server: asyncio.Server | None = None
        self.http_server: web.Server | None = None
        self.port = 0

    async def start(self) -> int:
        """Start listening, then announce the upstream to its node.

        Returns:
            The TCP port.
        """
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        self.http_server = web.Server(
            self.handle_request, access_log=None, handler_cancellation=True
        )
        self.server = await asyncio.get_running_loop().create_server(
            self.http_server,
            self.options.host,
            self.options.port,
            backlog=1024,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        if self.options.node:
            await self.announce()
        return self.port

    async def announce(self) -> None:
        """Announce the upstream to its node; retry until it can connect."""
        announcement = {
            'service': self.options.service,
            'host': self.options.host,
            'port': self.options.announce_port or self.port,
            'slots': self.options.slots,
            'warm': self.options.warm,
        }
        url = self.options.node + '/-/announce'
        while True:
            try:
                async with self.session.post(
                    url, json=announcement
                ) as response:
                    response.raise_for_status()
                    return
            except aiohttp.ClientConnectionError:
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await self.http_server.shutdown(0.1)
        await self.session.close()

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one HTTP request."""
        if request.path == '/-/runs':
            return web.json_response(
                {
                    'runs': self.runs,
                    'cancelled': self.cancelled,
                    'finished': self.finished,
                }
            )
        if request.path == '/-/options':
            changes = await request.json()
            self.options = dataclasses.replace(self.options, **changes)
            return web.Response(status=204)
        return await self.run(request)

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request in a slot and record it."""
        if self.options.refuses:
            return web.Response(
                status=503, headers={'Oleanderknot-Verdict': 'not-run'}
            )
        await self.acquire_slot()
        self.runs.append(
            {
                'method': request.method,
                'path': request.raw_path,
                'key': request.headers.get('Idempotency-Key', ''),
                'trace': request.headers.get('traceparent', '')[3:35],
            }
        )
        try:
            received_bytes = 0
            async for part in request.content.iter_any():
                received_bytes += len(part)
            response = await self.work(request, received_bytes)
            self.finished += 1
            return response
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.busy_slots -= 1
            async with self.slot_freed:
                self.slot_freed.notify()

    async def acquire_slot(self) -> None:
        """Wait for a free slot and occupy it."""
        async with self.slot_freed:
            while self.busy_slots >= self.options.slots:
                await self.slot_freed.wait()
            self.busy_slots += 1

    async def work(
        self, request: web.BaseRequest, received_bytes: int
    ) -> web.StreamResponse:
        """Do the work of a request and return its response."""
        options = self.options
        delay_ms = float(request.query.get('delay_ms', options.delay_ms))
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        statuses = await self.call_dependencies(request)
        if options.drop_answers:
            request.transport.abort()
            return web.Response()
        if options.fail_status:
            return web.Response(status=options.fail_status)
        if any(status >= 500 for status in statuses):
            return web.json_response(
                {'service': options.service, 'below': statuses}, status=502
            )
        if 'size' in request.query:
            return await self.send_pattern(request)
        content = {
            'service': options.service,
            'echo': request.query.get('echo', ''),
            'received': received_bytes,
            'below': statuses,
        }
        return web.json_response(content)

    async def call_dependencies(self, request: web.BaseRequest) -> list[int]:
        """Call the configured services and return the status codes."""
        options = self.options
        if options.parallel:
            return await asyncio.gather(
                *(self.call(request, name) for name in options.calls)
            )
        statuses = []
        for name in options.calls:
            statuses.append(await self.call(request, name))
        return statuses

    async def call(self, request: web.BaseRequest, service: str) -> int:
        """Call a service; retry server errors up to ``own_retries`` times."""
        for _ in range(self.options.own_retries):
            status = await self.call_once(request, service)
            if status < 500:
                return status
        return await self.call_once(request, service)

    async def call_once(self, request: web.BaseRequest, service: str) -> int:
        """Call a service through the node; 599 means a connection error."""
        headers = {}
        trace = request.headers.get('traceparent')
        if trace and self.options.pass_trace:
            headers['traceparent'] = trace
        url = '%s/%s%s' % (self.options.node, service, request.path)
        try:
            async with self.session.request(
                'GET', url, headers=headers
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 599

    async def send_pattern(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Send a body of the requested size that repeats the ``echo`` text."""
        text = request.query.get('echo', 'pattern').encode() + b' '
        pattern = text * (BLOCK_BYTES // len(text) + 2)
        remaining_bytes = int(request.query['size'])
        cut_at = int(request.query.get('cut_at', -1))
        sent_bytes = 0
        response = web.StreamResponse(
            headers={'Content-Length': str(remaining_bytes)}
        )
        if request.query.get('chunked'):
            response = web.StreamResponse()
            response.enable_chunked_encoding()
        await response.prepare(request)
        while remaining_bytes:
            start = sent_bytes % len(text)
            block = pattern[start : start + min(remaining_bytes, BLOCK_BYTES)]
            await response.write(block)
            remaining_bytes -= len(block)
            sent_bytes += len(block)
            if 0 <= cut_at <= sent_bytes:
                request.transport.abort()
                return response
        await response.write_eof()
        return response


async def main() -> None:
    """Parse the command line and run the upstream until SIGTERM."""
    upstream = Upstream(options=upstream_options.parse_options())
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    port = await upstream.start()
    print(json.dumps({'port': port}), flush=True)
    await stop.wait()
    await upstream.stop()


if __name__ == '__main__':
    asyncio.run(main())
