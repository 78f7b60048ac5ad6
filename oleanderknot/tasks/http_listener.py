"""HTTP server for callers, the local upstream and operators."""

import asyncio
import collections.abc

from aiohttp import web

from oleanderknot import border

# At shutdown the HTTP server waits this long for each connection, idle ones
# included. Requests in flight have been awaited before.
SHUTDOWN_TIMEOUT_S = 0.1

HandleFunction = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class HttpListener:
    """Owns one listening socket and the HTTP connections accepted on it.

    Attributes:
        handle: Answers one request.
        server: HTTP protocol factory of the connections.
        tcp_server: The TCP server; None before ``bind``.
        active: Number of requests in progress.
        closing: Whether connections close after their current request.
    """

    def __init__(self, *, handle: HandleFunction) -> None:
        self.handle = handle
        self.server = web.Server(
            self.answer,
            access_log=None,
            # Cancels idempotent work when the caller disconnects; work that
            # must not be cancelled runs in separate tasks.
            handler_cancellation=True,
            max_field_size=border.headers.MAX_HEADER_BYTES,
            max_line_size=border.headers.MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        self.tcp_server: asyncio.Server | None = None
        self.active = 0
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def bind(self, host: str, port: int) -> int:
        """Bind an address; connections are refused until ``start``.

        Args:
            host: IP address.
            port: TCP port; 0 selects a free one.

        Returns:
            The TCP port.

        Raises:
            OSError: The address cannot be used.
        """
        self.tcp_server = await asyncio.get_running_loop().create_server(
            self.server, host, port, backlog=1024, start_serving=False
        )
        return self.tcp_server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start accepting connections."""
        await self.tcp_server.start_serving()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request; called by the HTTP server."""
        self.active += 1
        self.idle.clear()
        try:
            response = await self.handle(request)
            if self.closing:
                self.close_after_response(request, response)
            return response
        finally:
            self.active -= 1
            if self.active == 0:
                self.idle.set()

    def close_after_response(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Close a connection after the response to its current request.

        Idle connections stay open until the listener closes: a request that
        the caller is sending at this moment is still answered.
        """
        if not response.prepared:
            response.force_close()
        elif request.protocol is not None:
            request.protocol.close()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        self.closing = True
        if self.tcp_server is not None:
            self.tcp_server.close()

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_accepting()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
