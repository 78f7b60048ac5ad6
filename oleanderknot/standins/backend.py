"""Stand-in for a platform back end, with fault injection."""

import argparse
import asyncio
import contextlib
import json
import signal
import time
import urllib.parse
import weakref

import aiohttp

HEARTBEAT_INTERVAL_S = 0.3

# Path of the status check in the policies of the tests.
HEALTH_PATH = '/health'

# Bytes sent instead of a valid response, by fault; the connection is closed
# after them.
CLOSING_RESPONSES = {
    'lost': b'',
    'garbage': b'this is no answer\r\n\r\n',
    'short': b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n'
    b'Content-Length: 100\r\n\r\nshort',
}

SIGNED_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n'

# Start of a response, and bytes that follow it without end until the
# connection closes, by fault.
ENDLESS_RESPONSES = {
    'endless_bytes': (b'', b'z' * 4096),
    'endless_status': (b'HTTP/1.1 200 ', b'O' * 4096),
    'endless_header': (SIGNED_HEAD + b'X-Long: ', b'x' * 4096),
    'endless_headers': (SIGNED_HEAD, b'X-Many: 1\r\n' * 400),
    'endless_chunk_size': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n5;x=',
        b'y' * 4096,
    ),
    'endless_chunks': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1000\r\n' + b'b' * 4096 + b'\r\n',
    ),
    'endless_trailers': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Many: 1\r\n' * 400,
    ),
    'endless_length': (
        SIGNED_HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'b' * 4096,
    ),
    'endless_unframed': (SIGNED_HEAD + b'\r\n', b'b' * 4096),
    'endless_interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'endless_foreign': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: another\r\n'
        b'Content-Length: 0\r\n\r\n' * 50,
    ),
}


# Part of an answer that ends with its connection before the request body has
# been read, by fault.
EARLY_ENDS = {
    'early': b'\r\npart of a body',
    'early_close': b'Connection: close\r\n\r\npart of a body',
    'early_chunked': b'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
    'early_length': b'Content-Length: 100\r\n\r\npart of a body',
    'early_half': b'\r\npart of a body',
}
EARLY_END_DELAY_S = 0.2
HALF_CLOSED_S = 5.0


class Backend:
    """Serves requests as their query strings specify and records each run.

    The query string may set ``delay_ms`` of work, ``size`` of the response
    body in bytes, a ``fault``, and a ``call``: a host and path to request
    through the node, ``times`` times. The faults are those of
    ``CLOSING_RESPONSES`` and ``shed`` (503, not run), ``fail`` (500),
    ``unsigned`` (no signature header), ``extra`` (a second response follows),
    ``late`` (a response to another request is sent first), ``unframed`` (no
    content length), ``refuse_first`` (the first arrival of an id is shed, and
    the refusal is sent once more when the next request arrives on the same
    connection), ``cut`` (the connection closes after the first ``bytes`` of a
    response whose ``framing`` is ``length``, ``chunked`` or ``none``),
    ``status`` (the response has the status line's ``code``), those of
    ``EARLY_ENDS`` and those of ``ENDLESS_RESPONSES``. With ``pace_ms`` an
    endless response pauses between its parts.

    With ``--record`` each process start, arrival, run, report of a changed
    state and acknowledged state is appended to a file as one JSON line, which
    outlives the process.

    Attributes:
        runs: Id, method, target, calling service, organisation, credentials,
            deadline and expected instance of each run.
        cancelled: Request ids of runs whose connection was closed.
        finished: Request ids of runs that completed.
        refused: Ids whose first arrival was shed by ``refuse_first``.
        refusals: Refusal to send once more, by connection.
        notice: Header lines that each answer adds.
        state: State reported in heartbeats.
        deregistered: Whether it has left without saying ``draining``.
        status_delay_s: Seconds that a status check waits.
        status_ill: Whether a status check says that this back end is ill.
        acknowledged_state: Last state that the node acknowledged; empty
            while another one is being reported.
    """

    def __init__(self, *, options: argparse.Namespace) -> None:
        self.options = options
        self.runs: list[dict[str, str]] = []
        self.cancelled: list[str] = []
        self.finished: list[str] = []
        self.refused: set[str] = set()
        self.refusals: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, bytes
        ] = weakref.WeakKeyDictionary()
        self.notice = b''
        self.state = self.acknowledged_state = 'ready'
        self.deregistered = False
        self.status_delay_s = 0.0
        self.status_ill = False
        self.upstream = 'i-%s' % options.name
        self.started_ms = int((time.time() + options.clock_ahead_s) * 1000)
        self.sequence = 0
        self.session: aiohttp.ClientSession | None = None
        self.heartbeat_task: asyncio.Task | None = None
        self.record_file = options.record and open(
            options.record, 'ab', buffering=0
        )

    async def run(self) -> None:
        """Serve requests and send heartbeats until SIGTERM."""
        self.session = aiohttp.ClientSession()
        self.record('start')
        host, port = self.options.address.split(':')
        await asyncio.start_server(
            self.serve_connection, host, int(port), backlog=1024
        )
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())
        await stop.wait()
        self.heartbeat_task.cancel()
        await self.session.close()

    async def send_heartbeats(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self.sequence += 1
            with contextlib.suppress(OSError, aiohttp.ClientError):
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, **changes: object) -> int:
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
        if status == 200 and state != self.acknowledged_state:
            self.acknowledged_state = state
            self.record('state', state=state)
        return status

    async def deregister(self) -> int:
        """Deregister without a heartbeat that says so, and go on serving."""
        self.heartbeat_task.cancel()
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

    def record(self, event: str, **fields: object) -> None:
        """Append an event with its monotonic time in seconds to the record."""
        if not self.record_file:
            return
        line = {
            'at': time.monotonic(),
            'event': event,
            'service': self.options.service,
            'name': self.options.name,
            **fields,
        }
        self.record_file.write(json.dumps(line).encode() + b'\n')

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of one connection until it is closed."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.handle_request(reader, writer):
                pass
        writer.close()

    async def handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle one request; return whether to keep the connection open."""
        head = await reader.readuntil(b'\r\n\r\n')
        line, *header_lines = head.decode('latin-1').split('\r\n')
        method, target, _ = line.split(' ')
        headers = dict(
            (name.lower(), value)
            for name, _, value in (
                header_line.partition(': ') for header_line in header_lines
            )
        )
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if query.get('fault') in EARLY_ENDS:
            await self.answer_early(
                writer, headers.get('request-id', ''), query['fault']
            )
            return False
        await reader.readexactly(int(headers.get('content-length', 0)))
        if parts.path.startswith('/-/'):
            content = await self.handle_control(parts.path, query)
            writer.write(build_response(200, '', json.dumps(content).encode()))
            return True
        if parts.path == HEALTH_PATH:
            await asyncio.sleep(self.status_delay_s)
            leaving = self.deregistered or self.state != 'ready'
            writer.write(build_status(self.upstream, leaving, self.status_ill))
            return not leaving
        request_id = headers.get('request-id', '')
        self.record('arrival', id=request_id)
        writer.write(self.refusals.pop(writer, b''))
        if query.get('fault') == 'shed':
            writer.write(build_refusal(request_id))
            return True
        if (
            query.get('fault') == 'refuse_first'
            and request_id not in self.refused
        ):
            self.refused.add(request_id)
            self.refusals[writer] = build_refusal(request_id)
            writer.write(self.refusals[writer])
            return True
        run = {
            'id': request_id,
            'method': method,
            'target': target,
            'caller': headers.get('calling-service', ''),
            'organisation': headers.get('tenant-name', ''),
            'credentials': headers.get('authorization', ''),
            'deadline_ms': headers.get('deadline-milliseconds', ''),
            'expected': headers.get('expected-instance', ''),
        }
        self.runs.append(run)
        self.record('run', **run)
        work_task = asyncio.create_task(self.work(request_id, query, reader))
        if not await work_task:
            self.cancelled.append(request_id)
            return False
        self.finished.append(request_id)
        if query.get('fault', '') in ENDLESS_RESPONSES:
            await self.write_endless(writer, request_id, query)
            return False
        return self.write_response(writer, request_id, query)

    async def answer_early(
        self, writer: asyncio.StreamWriter, request_id: str, fault: str
    ) -> None:
        """Send a part of an answer while the request is still sent.

        Closing the connection with unread data resets it.
        """
        self.runs.append({'id': request_id})
        writer.write(SIGNED_HEAD % request_id.encode() + EARLY_ENDS[fault])
        await writer.drain()
        # The caller reads the part before it hears of the end.
        await asyncio.sleep(EARLY_END_DELAY_S)
        if fault == 'early_half':
            # Only the sending direction ends; the request is still not read.
            writer.write_eof()
            await asyncio.sleep(HALF_CLOSED_S)
        writer.transport.abort()

    async def write_endless(
        self, writer: asyncio.StreamWriter, request_id: str, query: dict
    ) -> None:
        """Write a response without an end until the connection closes."""
        start, part = ENDLESS_RESPONSES[query['fault']]
        if b'%b' in start:
            start %= request_id.encode()
        writer.write(start)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(int(query.get('pace_ms', 0)) / 1000)

    async def work(
        self, request_id: str, query: dict, reader: asyncio.StreamReader
    ) -> bool:
        """Run a request; return whether the caller is still connected."""
        end = time.monotonic() + int(query.get('delay_ms', 0)) / 1000
        for call_index in range(int(query.get('times', 1))):
            if 'call' not in query:
                break
            host, _, path = query['call'].partition('/')
            url = 'http://%s/%s' % (self.options.node, path)
            call_headers = {
                'Host': host,
                'Request-Id': '%s.%d' % (request_id, call_index),
                'Deadline-Milliseconds': '2000',
            }
            async with self.session.get(url, headers=call_headers) as response:
                if response.status != 200:
                    query['fault'] = 'fail'
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(0.005)
        return not reader.at_eof()

    def write_response(
        self, writer: asyncio.StreamWriter, request_id: str, query: dict
    ) -> bool:
        """Write the response or its fault; return whether to stay open."""
        fault = query.get('fault', '')
        body = b'x' * int(query.get('size', 5))
        response = build_response(200, request_id, body, self.notice)
        if fault in CLOSING_RESPONSES:
            closing_response = CLOSING_RESPONSES[fault]
            if b'%b' in closing_response:
                closing_response %= request_id.encode()
            writer.write(closing_response)
            return False
        if fault == 'cut':
            writer.write(
                build_framed(request_id, body, query['framing'])[
                    : int(query['bytes'])
                ]
            )
            return False
        if fault == 'status':
            code = query['code'].encode()
            writer.write(response.replace(b' 200 ', b' %b ' % code, 1))
            return True
        if fault == 'unframed':
            writer.write(response.replace(b'Content-Length', b'X-Length'))
            return False
        if fault == 'late':
            writer.write(build_response(200, 'another', b'of another'))
        if fault == 'fail':
            response = build_response(500, request_id, b'failed')
        if fault == 'unsigned':
            response = response.replace(b'Response-Signature', b'X-Signature')
        writer.write(response)
        if fault == 'extra':
            writer.write(build_response(200, request_id, b'again'))
        return True

    async def handle_control(self, path: str, query: dict) -> object:
        """Execute a control command and return its JSON result."""
        if path == '/-/state':
            self.state = query['value']
            self.sequence += 1
            return await self.send_heartbeat()
        if path == '/-/deregister':
            return await self.deregister()
        if path == '/-/status':
            self.status_delay_s = int(query.get('delay_ms', 0)) / 1000
            self.status_ill = 'ill' in query
            return {}
        if path == '/-/notice':
            # Headers by name, such as ``Server-Limit=10.5``.
            self.notice = b''.join(
                b'%b: %b\r\n' % (name.encode(), value.encode())
                for name, value in query.items()
            )
            self.record(
                'notice',
                limit=float(query.get('Server-Limit', 0)),
                leaving='Server-Leaving' in query,
            )
            return {}
        if path == '/-/report':
            return await self.send_heartbeat(
                **{
                    name: int(value) if value.isdigit() else value
                    for name, value in query.items()
                }
            )
        return {
            'runs': self.runs,
            'cancelled': self.cancelled,
            'finished': self.finished,
        }


def build_refusal(request_id: str) -> bytes:
    """Build the response to a request that is shed."""
    return (
        b'HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n' % request_id.encode()
    )


def build_status(upstream: str, leaving: bool, ill: bool) -> bytes:
    """Build the response to a status check."""
    return b'HTTP/1.1 %b\r\nInstance-Id: %b\r\n%bContent-Length: 0\r\n\r\n' % (
        b'503 Unavailable' if leaving or ill else b'200 OK',
        upstream.encode(),
        b'Connection: close\r\n' if leaving else b'',
    )


def build_response(
    status: int, request_id: str, body: bytes, notice: bytes = b''
) -> bytes:
    """Build a response with a signature header and a notice's headers."""
    return (
        b'HTTP/1.1 %d Any\r\nRequest-Id: %b\r\nResponse-Signature: s-%b\r\n'
        b'%bContent-Length: %d\r\n\r\n'
        % (status, request_id.encode(), request_id.encode(), notice, len(body))
        + body
    )


def build_framed(request_id: str, body: bytes, framing: str) -> bytes:
    """Build a response whose body has the given framing."""
    response = build_response(200, request_id, body)
    if framing == 'none':
        return response.replace(b'Content-Length', b'X-Length')
    if framing == 'chunked':
        head, _, _ = response.rpartition(b'Content-Length')
        return (
            head
            + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
            % (
                len(body),
                body,
            )
        )
    return response


def main() -> None:
    """Parse the command line and run the back end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--address', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument('--node', required=True)
    parser.add_argument('--slots', type=int, default=50)
    parser.add_argument('--record', default='')
    parser.add_argument('--clock-ahead-s', type=float, default=0.0)
    asyncio.run(Backend(options=parser.parse_args()).run())


if __name__ == '__main__':
    main()
