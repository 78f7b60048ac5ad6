"""Stand-in for the platform's table service and object store."""

import argparse
import asyncio
import json
import signal

from aiohttp import web

from oleanderknot.standins import table_store


class PlatformServer:
    """Serves the table service and the object store over HTTP.

    ``POST /-/faults`` sets faults: ``down`` aborts the connection of each
    request, ``delay_ms`` delays responses, ``drop_answers`` aborts that many
    connections after the request has taken effect, ``drop_commits`` does so
    for commits only, ``down_after_drop`` sets ``down`` after such a commit,
    and ``lose_commits`` aborts that many connections before a commit takes
    effect. ``GET /-/counts`` returns the numbers of reads and writes.

    Attributes:
        table: Rows of the table service.
        objects: Objects by key.
        down: Whether the connection of each request is aborted.
        delay_ms: Delay in milliseconds before each response.
        drop_answers: Number of further responses to drop.
        drop_commits: Number of further responses to commits to drop.
        lose_commits: Number of further commits to drop without effect.
        down_after_drop: Value that ``down`` takes after a response to a
            commit was dropped.
        object_writes: Number of objects written.
    """

    def __init__(self) -> None:
        self.table = table_store.TableStore()
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.delay_ms = 0.0
        self.drop_answers = 0
        self.drop_commits = 0
        self.lose_commits = 0
        self.down_after_drop = False
        self.object_writes = 0
        self.server: asyncio.Server | None = None
        self.http_server: web.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening.

        Args:
            host: IP address.
            port: TCP port; 0 selects a free one.

        Returns:
            The TCP port.
        """
        self.http_server = web.Server(self.handle_request, access_log=None)
        self.server = await asyncio.get_running_loop().create_server(
            self.http_server, host, port, backlog=1024
        )
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await self.http_server.shutdown(0.1)

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one request and inject the faults in force."""
        if request.path == '/-/faults':
            for name, value in json.loads(await request.read()).items():
                setattr(self, name, value)
            return web.Response(status=204)
        if request.path == '/-/counts':
            return web.json_response(
                {
                    'reads': self.table.reads,
                    'writes': self.table.writes,
                    'object_writes': self.object_writes,
                }
            )
        if self.down:
            request.transport.abort()
            return web.Response()
        if self.lose_commits > 0 and request.path == '/commit':
            self.lose_commits -= 1
            request.transport.abort()
            return web.Response()
        response = await self.serve(request)
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.drop_answers > 0:
            self.drop_answers -= 1
            request.transport.abort()
        if self.drop_commits > 0 and request.path == '/commit':
            self.drop_commits -= 1
            self.down = self.down_after_drop
            request.transport.abort()
        return response

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Execute one request to the table service or the object store."""
        if request.path.startswith('/objects'):
            return await self.serve_object(request)
        content = json.loads(await request.read())
        if request.path == '/read':
            rows = self.table.read(content['keys'])
            return web.json_response({'rows': rows})
        if request.path == '/scan':
            rows = self.table.scan(
                content['prefix'], content['after'], content['limit']
            )
            return web.json_response({'rows': rows})
        if request.path == '/commit':
            conflicts = self.table.commit(content['checks'], content['writes'])
            status = 409 if conflicts else 200
            return web.json_response({'conflicts': conflicts}, status=status)
        return web.Response(status=404)

    async def serve_object(self, request: web.BaseRequest) -> web.Response:
        """Execute one request to the object store."""
        key = request.path.removeprefix('/objects').removeprefix('/')
        if request.method == 'PUT':
            self.objects[key] = await request.read()
            self.object_writes += 1
            return web.Response(status=204)
        if key:
            if key not in self.objects:
                return web.Response(status=404)
            return web.Response(body=self.objects[key])
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        limit = int(request.query.get('limit', 1000))
        keys = sorted(
            key
            for key in self.objects
            if key.startswith(prefix) and key > after
        )
        return web.json_response({'keys': keys[:limit]})


async def main() -> None:
    """Parse the command line and serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    server = PlatformServer()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    port = await server.start(options.host, options.port)
    print(json.dumps({'port': port}), flush=True)
    await stop.wait()
    await server.stop()


if __name__ == '__main__':
    asyncio.run(main())
