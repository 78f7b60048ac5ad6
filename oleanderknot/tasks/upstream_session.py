"""HTTP client session for the local upstream."""

import asyncio
import socket

import aiohttp

from oleanderknot.tasks import task_log

CONNECT_TIMEOUT_S = 2.0

# TCP keep-alive probes a connection that waits for an answer, since HTTP has
# no such message; a path that drops packets is then detected within 3 s.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


def build_keepalive_socket(address: tuple) -> socket.socket:
    """Build a socket on which the kernel detects a silent connection.

    Args:
        address: Address as returned by ``getaddrinfo``.

    Returns:
        The non-blocking socket.
    """
    family, kind, protocol = address[:3]
    connection_socket = socket.socket(family=family, type=kind, proto=protocol)
    connection_socket.setblocking(False)
    for option in SOCKET_OPTIONS:
        connection_socket.setsockopt(*option)
    return connection_socket


class UpstreamSession:
    """One set of connections to the upstream, replaced as a whole.

    Attributes:
        http: HTTP client session that holds the connections.
        opened_at: Loop time in seconds at which the session was opened.
        active_requests: Number of requests whose answer is not complete.
        retired: Whether the session takes no new requests and closes after
            the last active one.
    """

    def __init__(self, *, slots: int) -> None:
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=slots, socket_factory=build_keepalive_socket
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=None,
            ),
        )
        # aiohttp retries idempotent requests by itself if a reused connection
        # ends without an answer. It has no public option to disable this, and
        # each layer would double the runs of the layers below.
        self.http._retry_connection = False
        self.opened_at = asyncio.get_running_loop().time()
        self.active_requests = 0
        self.retired = False

    def acquire(self) -> None:
        """Register a request that uses the session."""
        self.active_requests += 1

    def release(self) -> None:
        """Unregister a request that has ended."""
        self.active_requests -= 1
        self.close_if_unused()

    def retire(self) -> None:
        """Stop taking requests; the active ones continue."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the session if it is retired and no request is active."""
        if self.retired and self.active_requests == 0 and not self.http.closed:
            task = asyncio.get_running_loop().create_task(self.http.close())
            task.add_done_callback(task_log.log_failure)
