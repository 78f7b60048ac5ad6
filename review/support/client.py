"""Stand-in client of a node."""

import asyncio
import dataclasses
import time

from review.support import record as records

CONNECT_TIMEOUT_S = 1.0

# Part of a body that is sent at once at a limited rate.
PART_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """End of one request.

    Attributes:
        status: Status of the answer; 0 when the connection ended without
            a complete one, -1 when no connection was made, -2 when the time
            of the client was over.
        signed: Whether the answer has a back end's receipt.
        sent_at: Monotonic time at which the last byte was handed over.
        ended_at: Monotonic time of the end.
    """

    status: int
    signed: bool
    sent_at: float
    ended_at: float


class Client:
    """One client with a kept connection to the node of its machine."""

    def __init__(self, *, address: str, record: records.Record) -> None:
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection unless it is open."""
        if self.writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port
                )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        request_id: str,
        method: str,
        target: str,
        *,
        body: bytes = b'',
        deadline_ms: int = 5000,
        bytes_per_s: float | None = None,
    ) -> Outcome:
        """Send a request and wait for its end, at most for its deadline.

        The body is sent at a limited rate if one is given.
        """
        sent_at = time.monotonic()
        try:
            await self.connect()
        except (OSError, TimeoutError):
            self.record.write('no-connection', id=request_id)
            return Outcome(
                status=-1,
                signed=False,
                sent_at=sent_at,
                ended_at=time.monotonic(),
            )
        head = (
            '%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n'
            'Deadline-Milliseconds: %d\r\n'
            % (method, target, request_id, deadline_ms)
        )
        if body or method != 'GET':
            head += 'Content-Length: %d\r\n' % len(body)
        self.record.write(
            'send', id=request_id, method=method, target=target, size=len(body)
        )
        status, signed, keep = 0, False, False
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                self.writer.write(head.encode() + b'\r\n')
                if bytes_per_s is None:
                    self.writer.write(body)
                else:
                    await self.send_slowly(body, bytes_per_s)
                await self.writer.drain()
                sent_at = time.monotonic()
                status, signed, keep = await self.read_answer()
        except TimeoutError:
            status = -2
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        if not keep:
            self.close()
        self.record.write('end', id=request_id, status=status, signed=signed)
        return Outcome(
            status=status,
            signed=signed,
            sent_at=sent_at,
            ended_at=time.monotonic(),
        )

    async def send_slowly(self, body: bytes, bytes_per_s: float) -> None:
        """Send a body at a limited rate."""
        began = time.monotonic()
        for start in range(0, len(body), PART_BYTES):
            self.writer.write(body[start : start + PART_BYTES])
            await self.writer.drain()
            due = began + (start + PART_BYTES) / bytes_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def read_answer(self) -> tuple[int, bool, bool]:
        """Read an answer: its status, receipt and whether to go on."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        line, *lines = head.decode('latin-1').lower().split('\r\n')
        headers = {
            name: value.strip()
            for name, _, value in (item.partition(':') for item in lines)
        }
        await self.reader.readexactly(int(headers.get('content-length', 0)))
        return (
            int(line.split(' ')[1]),
            'response-signature' in headers,
            headers.get('connection', '') != 'close',
        )
