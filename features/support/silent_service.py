"""HTTP service whose open connections can go silent."""

import asyncio
import contextlib
import re

SLOW_S = 0.1


class SilentService:
    """Answers requests, ``/slow`` late and ``/never`` not at all.

    Attributes:
        accepted: Number of connections so far.
        silent: Connections that carry nothing any more.
        open: Connections that have been accepted.
    """

    def __init__(self) -> None:
        self.accepted = 0
        self.silent: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start the service and return its TCP port."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    async def silence(self) -> None:
        """Stop answering on the connections that are open."""
        self.silent |= self.open

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.accepted += 1
        self.open.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self.answer(reader, writer)
        finally:
            writer.close()

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one request and answer it unless the connection is silent."""
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'GET /slow'):
            await asyncio.sleep(SLOW_S)
        if head.startswith(b'GET /never') or writer in self.silent:
            return
        request_id = re.search(b'Request-Id: (.*)\r', head)
        writer.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n'
            b'Response-Signature: s\r\nContent-Length: 0\r\n\r\n'
            % (request_id[1] if request_id else b'')
        )
