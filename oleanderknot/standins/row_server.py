"""Stand-in for the platform's row store."""

import argparse
import asyncio
import json
import signal
import time

from aiohttp import web

from oleanderknot.standins import row_table


class RowServer:
    """Serves a table of rows over HTTP.

    ``POST /-/faults`` sets faults: ``down`` aborts connections, ``busy``
    responds with 503, ``silent`` sends no response for an hour, ``endless``
    sends a body without end, ``delay_ms`` delays responses, ``drop_commits``
    aborts that many connections after a transaction has taken effect,
    ``forget`` discards the change history, ``copied_at`` discards the
    transactions since that time and aborts the other connections, as after a
    return from a copy that ``rewrites`` transactions of other writers follow,
    and ``lose_polls`` leaves the long polls in progress without a response.
    ``POST /-/put`` writes a row as an operator would. ``GET /-/counts``
    returns the number of calls by path.

    Attributes:
        table: Rows and their change history.
        faults: Faults in force, by name.
        calls: Number of calls by path.
        lost_polls: Number of times that the polls in progress were lost.
        http_server: Handles the connections.
    """

    def __init__(self) -> None:
        self.table = row_table.RowTable()
        self.faults: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.lost_polls = 0
        self.http_server = web.Server(self.handle_request, access_log=None)
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.server = await asyncio.get_running_loop().create_server(
            self.http_server,
            host,
            port,
            backlog=1024,
        )

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one request and inject the faults in force."""
        if request.path.startswith('/-/'):
            return await self.handle_control(request)
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        faults = self.faults
        if faults.get('silent'):
            await asyncio.sleep(3600)
        if faults.get('down'):
            request.transport.abort()
            return web.Response()
        if faults.get('endless'):
            return await send_endless(request)
        if faults.get('busy'):
            return web.Response(status=503)
        response = await self.serve(request)
        if faults.get('delay_ms'):
            await asyncio.sleep(faults['delay_ms'] / 1000)
        if request.path == '/v1/rows-tx' and faults.get('drop_commits', 0) > 0:
            faults['drop_commits'] -= 1
            request.transport.abort()
        return response

    async def handle_control(self, request: web.BaseRequest) -> web.Response:
        """Execute a control command."""
        if request.path == '/-/counts':
            return web.json_response(self.calls)
        content = json.loads(await request.read())
        if request.path == '/-/put':
            address = (content['table'], '', content['key'])
            await self.table.commit({}, {address: content['value']}, ())
        elif content.pop('forget', False):
            self.table.drop_history()
        elif content.pop('lose_polls', False):
            self.lost_polls += 1
        elif 'copied_at' in content:
            self.table.return_from_copy(
                content.pop('copied_at'), content.pop('rewrites', 0)
            )
            self.abort_connections(request)
        self.faults.update(content)
        return web.json_response({})

    def abort_connections(self, request: web.BaseRequest) -> None:
        """Abort all connections but that of a request."""
        for handler in self.http_server.connections:
            if handler.transport not in (None, request.transport):
                handler.transport.abort()

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Execute one call of the store API."""
        if request.path == '/v1/rows-tx':
            return await self.commit(json.loads(await request.read()))
        query = request.query
        if request.path == '/v1/rows-get':
            limit = int(query.get('limit', 500))
            rows = self.table.read(
                query['table'], query['part'], query.get('from', ''), limit + 1
            )
            has_more = len(rows) > limit
            return self.build_response(
                200, rows=rows[:limit], hasMore=has_more
            )
        if request.path == '/v1/rows-feed':
            lost_polls = self.lost_polls
            rows = await self.table.wait_for_changes(
                query['table'],
                int(query['after']),
                int(query['waitMs']) / 1000,
            )
            if lost_polls != self.lost_polls:
                await asyncio.sleep(3600)
            if rows is None:
                return self.build_response(410)
            return self.build_response(200, rows=rows)
        return web.Response(status=404)

    async def commit(self, content: dict) -> web.Response:
        """Execute a transaction; respond with 412 if a version differs."""
        committed = await self.table.commit(
            {
                parse_address(row): row['rowVersion']
                for row in content['expected']
            },
            {parse_address(row): row['value'] for row in content['put']},
            [parse_address(row) for row in content['remove']],
        )
        return self.build_response(200 if committed else 412)

    def build_response(self, status: int, **fields: object) -> web.Response:
        """Build a response with version, epoch and clock of the store."""
        return web.json_response(
            {
                **fields,
                'rowVersion': self.table.version,
                'now': '%dms' % (time.monotonic() * 1000),
            },
            status=status,
            headers={'Store-Era': str(self.table.epoch)},
        )


async def send_endless(request: web.BaseRequest) -> web.StreamResponse:
    """Send a response whose body does not end until the caller closes."""
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(b' ' * 65536)


def parse_address(row: dict) -> row_table.Address:
    """Return the address of a row as given in a transaction."""
    return row['table'], row['part'], row['key']


async def run(port: int) -> None:
    """Serve rows on a port until SIGTERM."""
    server = RowServer()
    await server.start('127.0.0.1', port)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def main() -> None:
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    asyncio.run(run(parser.parse_args().port))


if __name__ == '__main__':
    main()
