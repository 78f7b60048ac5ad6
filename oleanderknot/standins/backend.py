"""Stand-in back end of the platform, with faults on demand."""

import argparse
import asyncio
import contextlib
import json
import signal
import time
import urllib.parse

import aiohttp

HEARTBEAT_S = 0.3

# Faults that end the connection in place of an answer.
ENDINGS = {
    'lost': b'',
    'garbage': b'this is no answer\r\n\r\n',
    'short': b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n'
    b'Content-Length: 100\r\n\r\nshort',
}


class Backend:
    """Runs requests as their queries ask and records each run.

    The query of a request may name ``delay_ms`` of work, ``size`` bytes of
    answer, a ``fault`` and a ``call``, which is a host and a path that is
    called through the node ``times`` times. The faults are those of
    ``ENDINGS``, and ``shed`` (not run), ``fail`` (500), ``unsigned``,
    ``extra`` (a second answer follows), ``late`` (an answer to another
    request comes first) and ``unframed`` (no length).

    With ``--record`` each arrival, run and acknowledged state is appended to
    a file as one JSON line, which outlives the process.

    Attributes:
        runs: Id, method, target, calling service and deadline of each run.
        cancelled: Ids of runs whose connection closed.
        finished: Ids of runs that came to their end.
        state: What heartbeats say.
        told: State that the node acknowledged last.
    """

    def __init__(self, *, options: argparse.Namespace) -> None:
        self.options = options
        self.runs: list[dict[str, str]] = []
        self.cancelled: list[str] = []
        self.finished: list[str] = []
        self.state = self.told = 'ready'
        self.upstream = 'i-%s' % options.name
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.session: aiohttp.ClientSession | None = None
        self.file = options.record and open(options.record, 'ab', buffering=0)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        self.session = aiohttp.ClientSession()
        self.record('start')
        host, port = self.options.address.split(':')
        await asyncio.start_server(self.serve, host, int(port), backlog=1024)
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        beats = asyncio.create_task(self.beat())
        await stop.wait()
        beats.cancel()
        await self.session.close()

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.sequence += 1
            with contextlib.suppress(OSError, aiohttp.ClientError):
                await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self, **changes: object) -> int:
        """Send one heartbeat and return the status of its answer."""
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
        url = 'http://%s/v1/instances/%s/heartbeat' % (
            self.options.control,
            self.upstream,
        )
        async with self.session.post(url, json=content) as answer:
            if answer.status == 200 and state != self.told:
                self.told = state
                self.record('state', state=state)
            return answer.status

    def record(self, event: str, **fields: object) -> None:
        """Append a line to the record, with the monotonic time in seconds."""
        if not self.file:
            return
        line = {
            'at': time.monotonic(),
            'event': event,
            'service': self.options.service,
            'name': self.options.name,
            **fields,
        }
        self.file.write(json.dumps(line).encode() + b'\n')

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.answer(reader, writer):
                pass
        writer.close()

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        head = await reader.readuntil(b'\r\n\r\n')
        line, *rest = head.decode('latin-1').split('\r\n')
        method, target, _ = line.split(' ')
        headers = dict(
            (name.lower(), value)
            for name, _, value in (item.partition(': ') for item in rest)
        )
        await reader.readexactly(int(headers.get('content-length', 0)))
        path = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(path.query))
        if path.path.startswith('/-/'):
            content = await self.control(path.path, query)
            writer.write(build_answer(200, '', json.dumps(content).encode()))
            return True
        request_id = headers.get('request-id', '')
        self.record('arrival', id=request_id)
        if query.get('fault') == 'shed':
            writer.write(
                b'HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n' % request_id.encode()
            )
            return True
        run = {
            'id': request_id,
            'method': method,
            'target': target,
            'caller': headers.get('calling-service', ''),
            'deadline_ms': headers.get('deadline-milliseconds', ''),
            'expected': headers.get('expected-instance', ''),
        }
        self.runs.append(run)
        self.record('run', **run)
        work = asyncio.create_task(self.work(request_id, query, reader))
        if not await work:
            self.cancelled.append(request_id)
            return False
        self.finished.append(request_id)
        return self.finish(writer, request_id, query)

    async def work(
        self, request_id: str, query: dict, reader: asyncio.StreamReader
    ) -> bool:
        """Work on a request; return whether the caller stays."""
        end = time.monotonic() + int(query.get('delay_ms', 0)) / 1000
        for number in range(int(query.get('times', 1))):
            if 'call' not in query:
                break
            host, _, rest = query['call'].partition('/')
            url = 'http://%s/%s' % (self.options.node, rest)
            call_headers = {
                'Host': host,
                'Request-Id': '%s.%d' % (request_id, number),
                'Deadline-Milliseconds': '2000',
            }
            async with self.session.get(url, headers=call_headers) as answer:
                if answer.status != 200:
                    query['fault'] = 'fail'
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(0.005)
        return not reader.at_eof()

    def finish(
        self, writer: asyncio.StreamWriter, request_id: str, query: dict
    ) -> bool:
        """Write the answer or the fault that stands for it."""
        fault = query.get('fault', '')
        body = b'x' * int(query.get('size', 5))
        whole = build_answer(200, request_id, body)
        if fault in ENDINGS:
            ending = ENDINGS[fault]
            if b'%b' in ending:
                ending %= request_id.encode()
            writer.write(ending)
            return False
        if fault == 'unframed':
            writer.write(whole.replace(b'Content-Length', b'X-Length'))
            return False
        if fault == 'late':
            writer.write(build_answer(200, 'another', b'of another'))
        if fault == 'fail':
            whole = build_answer(500, request_id, b'failed')
        if fault == 'unsigned':
            whole = whole.replace(b'Response-Signature', b'X-Signature')
        writer.write(whole)
        if fault == 'extra':
            writer.write(build_answer(200, request_id, b'again'))
        return True

    async def control(self, path: str, query: dict) -> object:
        """Carry out a command of a test."""
        if path == '/-/state':
            self.state = query['value']
            self.sequence += 1
            return await self.report()
        if path == '/-/report':
            return await self.report(
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


def build_answer(status: int, request_id: str, body: bytes) -> bytes:
    """Build a signed answer."""
    return (
        b'HTTP/1.1 %d Any\r\nRequest-Id: %b\r\nResponse-Signature: s-%b\r\n'
        b'Content-Length: %d\r\n\r\n'
        % (status, request_id.encode(), request_id.encode(), len(body))
        + body
    )


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--address', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument('--node', required=True)
    parser.add_argument('--slots', type=int, default=50)
    parser.add_argument('--record', default='')
    asyncio.run(Backend(options=parser.parse_args()).run())


if __name__ == '__main__':
    main()
