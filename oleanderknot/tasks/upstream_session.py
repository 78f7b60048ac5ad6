"""HTTP connections to the own upstream."""

import asyncio
import socket

import aiohttp

from oleanderknot.tasks import task_log

CONNECT_TIMEOUT_S = 2.0

# The kernel probes a connection that owes an answer, since HTTP has no
# message for it; a path that drops packets is then found in 3 s.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


def build_keepalive_socket(address: tuple) -> socket.socket:
    """Build a socket whose silence the kernel notices.

    Args:
        address: Address as ``getaddrinfo`` returns it.

    Returns:
        The socket.
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
        http: The connections.
        opened_at: Loop time in seconds of the start.
        active_requests: Requests whose answer is not whole.
        retired: Whether no more requests use it; it closes after the last.
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
        # The HTTP client repeats idempotent requests by itself when a kept
        # connection ends without an answer. It has no public switch for
        # that, and each layer would double the runs of the layers below.
        self.http._retry_connection = False
        self.opened_at = asyncio.get_running_loop().time()
        self.active_requests = 0
        self.retired = False

    def acquire(self) -> None:
        """Note that a request uses the connections."""
        self.active_requests += 1

    def release(self) -> None:
        """Note that a request has ended."""
        self.active_requests -= 1
        self.close_if_unused()

    def retire(self) -> None:
        """Take no more requests; those in flight go on."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close retired connections after their last request."""
        if self.retired and self.active_requests == 0 and not self.http.closed:
            task = asyncio.get_running_loop().create_task(self.http.close())
            task.add_done_callback(task_log.log_failure)
