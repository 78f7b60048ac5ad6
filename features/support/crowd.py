"""Clients that do not read or do not finish sending."""

import collections.abc
import contextlib
import re
import socket
import threading
import time

# Time for which the clients act before they are left alone.
ACTION_S = 4.0
TRICKLE_S = 0.2
SLOW_READ_BYTES = 2048

# Small receive buffers, so that what a client does not read stays at the node
# and not in the kernel.
RECEIVE_BUFFER_BYTES = 16384

GET_HEAD = (
    'GET /page/1?size=%d HTTP/1.1\r\nHost: shop.example\r\n'
    'Request-Id: c%d\r\nDeadline-Milliseconds: 20000\r\n\r\n'
)
POST_HEAD = (
    b'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


class Crowd:
    """Owns the sockets of a number of clients that do the same.

    Attributes:
        address: Host and port of the node.
        count: Number of clients.
        sockets: Their sockets.
        ended: Whether the clients have been told to end.
    """

    def __init__(self, *, address: tuple[str, int], count: int) -> None:
        self.address = address
        self.count = count
        self.sockets: list[socket.socket] = []
        self.threads: list[threading.Thread] = []
        self.ended = False

    def start(self, do: str) -> None:
        """Connect all clients, and let each of them act in a thread."""
        act, numbers = find_action(do)
        for number in range(self.count):
            client = socket.socket()
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            client.settimeout(10)
            try:
                client.connect(self.address)
            except OSError:
                # The node may refuse a connection at its bound.
                client.close()
                continue
            self.sockets.append(client)
            thread = threading.Thread(
                target=self.run, args=(act, client, number, numbers)
            )
            self.threads.append(thread)
            thread.start()

    def run(
        self,
        act: collections.abc.Callable,
        client: socket.socket,
        number: int,
        numbers: list[int],
    ) -> None:
        """Let one client act until its end or that of the connection."""
        with contextlib.suppress(OSError):
            act(self, client, number, *numbers)

    def repeat(self, step: collections.abc.Callable[[], object]) -> None:
        """Repeat a step slowly for the time of the action."""
        end = time.monotonic() + ACTION_S
        while time.monotonic() < end and not self.ended:
            step()
            time.sleep(TRICKLE_S)

    def close(self) -> None:
        """Close all sockets."""
        self.ended = True
        for client in self.sockets:
            client.close()
        for thread in self.threads:
            thread.join()


def read_slowly(crowd, client, number, size):
    """Read a long response at some kB/s."""
    client.sendall((GET_HEAD % (size, number)).encode())
    crowd.repeat(lambda: client.recv(SLOW_READ_BYTES))


def never_read(crowd, client, number, size):
    """Read nothing of a long response."""
    client.sendall((GET_HEAD % (size, number)).encode())


def send_chunks(crowd, client, number, size, chunk):
    """Send chunks of one size, and stop before the last one."""
    client.sendall(POST_HEAD)
    part = b'%x\r\n%b\r\n' % (chunk, b'x' * chunk)
    for _ in range(max(1, size // chunk // 1000)):
        client.sendall(part * min(1000, size // chunk))


def trickle_chunks(crowd, client, number):
    """Send one small chunk after the other, and stop before the end."""
    client.sendall(POST_HEAD)
    crowd.repeat(lambda: client.sendall(b'1\r\nx\r\n'))


def pipeline(crowd, client, number, count, size):
    """Send many requests for long responses, and read none."""
    client.sendall((GET_HEAD % (size, number)).encode() * count)


def trickle_head(crowd, client, number):
    """Send a head byte by byte without an end."""
    client.sendall(b'GET /page/1 HTTP/1.1\r\nHost: shop.example\r\nX: ')
    crowd.repeat(lambda: client.sendall(b'x'))


def only_open(crowd, client, number):
    """Send nothing."""


ACTIONS = (
    (r'read responses of (\d+) bytes slowly', read_slowly),
    (r'never read responses of (\d+) bytes', never_read),
    (r'send (\d+) bytes in chunks of (\d+) and stop .*', send_chunks),
    (r'trickle chunks and stop .*', trickle_chunks),
    (r'pipeline (\d+) requests for (\d+) bytes and never read', pipeline),
    (r'trickle heads', trickle_head),
    (r'only open connections', only_open),
)


def find_action(
    do: str,
) -> tuple[collections.abc.Callable, list[int]]:
    """Return the action that a text describes, and its numbers."""
    for pattern, act in ACTIONS:
        match = re.fullmatch(pattern, do)
        if match:
            return act, [int(text) for text in match.groups()]
    raise ValueError(do)
