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

from oleanderknot.standins import backend_heartbeats
from oleanderknot.standins import backend_responses

# Path of the status check in the policies of the tests.
HEALTH_PATH = '/health'

EARLY_END_DELAY_S = 0.2
HALF_CLOSED_S = 5.0


class Backend:
    """Serves requests as their query strings specify and records each run.

    The query string may set ``delay_ms`` of work, ``size`` of the response
    body in bytes, a ``fault``, and a ``call``: a host and path to request
    through the node, ``times`` times. The faults are those of
    ``CLOSING_RESPONSES``, ``EARLY_ENDS`` and ``ENDLESS_RESPONSES`` in
    ``backend_responses``, and ``shed`` (503, not run), ``fail`` (500),
    ``unsigned`` (no signature header), ``extra`` (a second response follows),
    ``late`` (a response to another request is sent first), ``unframed`` (no
    content length), ``refuse_first`` (the first arrival of an id is shed, and
    the refusal is sent once more when the next request arrives on the same
    connection), ``cut`` (the connection closes after the first ``bytes`` of a
    response whose ``framing`` is ``length``, ``chunked`` or ``none``) and
    ``status`` (the response has the status line's ``code``). With ``pace_ms``
    an endless response pauses between its parts.

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
        status_delay_s: Seconds that a status check waits.
        status_ill: Whether a status check says that this back end is ill.
        heartbeats: Tells the node the state of this back end.
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
        self.status_delay_s = 0.0
        self.status_ill = False
        self.session: aiohttp.ClientSession | None = None
        self.heartbeats: backend_heartbeats.BackendHeartbeats | None = None
        self.record_file = options.record and open(
            options.record, 'ab', buffering=0
        )

    async def run(self) -> None:
        """Serve requests and send heartbeats until SIGTERM."""
        self.session = aiohttp.ClientSession()
        self.heartbeats = backend_heartbeats.BackendHeartbeats(
            options=self.options, session=self.session, record=self.record
        )
        self.record('start')
        host, port = self.options.address.split(':')
        await asyncio.start_server(
            self.serve_connection, host, int(port), backlog=1024
        )
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        self.heartbeats.start()
        await stop.wait()
        self.heartbeats.stop()
        await self.session.close()

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
        if query.get('fault') in backend_responses.EARLY_ENDS:
            await self.answer_early(
                writer, headers.get('request-id', ''), query['fault']
            )
            return False
        await reader.readexactly(int(headers.get('content-length', 0)))
        if parts.path.startswith('/-/'):
            content = await self.handle_control(parts.path, query)
            writer.write(
                backend_responses.build_response(
                    200, '', json.dumps(content).encode()
                )
            )
            return True
        if parts.path == HEALTH_PATH:
            await asyncio.sleep(self.status_delay_s)
            leaving = self.heartbeats.is_leaving
            writer.write(
                backend_responses.build_status(
                    self.heartbeats.upstream, leaving, self.status_ill
                )
            )
            return not leaving
        request_id = headers.get('request-id', '')
        self.record('arrival', id=request_id)
        writer.write(self.refusals.pop(writer, b''))
        if query.get('fault') == 'shed':
            writer.write(backend_responses.build_refusal(request_id))
            return True
        if (
            query.get('fault') == 'refuse_first'
            and request_id not in self.refused
        ):
            self.refused.add(request_id)
            self.refusals[writer] = backend_responses.build_refusal(request_id)
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
        if query.get('fault', '') in backend_responses.ENDLESS_RESPONSES:
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
        writer.write(
            backend_responses.SIGNED_HEAD % request_id.encode()
            + backend_responses.EARLY_ENDS[fault]
        )
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
        start, part = backend_responses.ENDLESS_RESPONSES[query['fault']]
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
        response = backend_responses.build_response(
            200, request_id, body, self.notice
        )
        if fault in backend_responses.CLOSING_RESPONSES:
            closing_response = backend_responses.CLOSING_RESPONSES[fault]
            if b'%b' in closing_response:
                closing_response %= request_id.encode()
            writer.write(closing_response)
            return False
        if fault == 'cut':
            writer.write(
                backend_responses.build_framed(
                    request_id, body, query['framing']
                )[: int(query['bytes'])]
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
            writer.write(
                backend_responses.build_response(200, 'another', b'of another')
            )
        if fault == 'fail':
            response = backend_responses.build_response(
                500, request_id, b'failed'
            )
        if fault == 'unsigned':
            response = response.replace(b'Response-Signature', b'X-Signature')
        writer.write(response)
        if fault == 'extra':
            writer.write(
                backend_responses.build_response(200, request_id, b'again')
            )
        return True

    async def handle_control(self, path: str, query: dict) -> object:
        """Execute a control command and return its JSON result."""
        if path == '/-/state':
            return await self.heartbeats.change_state(query['value'])
        if path == '/-/deregister':
            return await self.heartbeats.deregister()
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
            return await self.heartbeats.send(
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
