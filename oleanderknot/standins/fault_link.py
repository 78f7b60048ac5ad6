"""One direction of a proxied connection, with fault injection."""

import asyncio
import struct

LENGTH_PREFIX = struct.Struct('>I')

POLL_INTERVAL_S = 0.05
FLUSH_DELAY_S = 0.3

# Beyond this the data stays in the sender's socket, as back pressure on a
# real network.
MAX_BUFFERED_BYTES = 1 << 20


class FaultLink:
    """Copies bytes in one direction and injects faults.

    Attributes:
        reader: Source of the bytes.
        writer: Destination of the bytes.
        frozen: Whether data and end of stream are held back.
        delay_s: Delay in seconds before each chunk is forwarded.
        swap: Whether neighbouring frames are forwarded in swapped order.
        drop: Whether the next chunk is discarded and the connection closed.
        source_closed: Whether the source has closed the connection.
    """

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.frozen = False
        self.delay_s = 0.0
        self.swap = False
        self.drop = False
        self.source_closed = False
        self.frame_buffer = bytearray()

    async def copy(self) -> None:
        """Copy until either side closes the connection."""
        try:
            while True:
                data = await self.read()
                if data and self.delay_s:
                    await asyncio.sleep(self.delay_s)
                was_frozen = self.frozen
                if was_frozen:
                    data = await self.buffer_while_frozen(data)
                if self.drop or not data:
                    return
                self.writer.write(
                    self.swap_frames(data) if self.swap else data
                )
                await self.writer.drain()
                if was_frozen:
                    # The sender may have reset the connection; the receiver
                    # must read the buffered data before it is reset too.
                    await asyncio.sleep(FLUSH_DELAY_S)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writer.close()

    async def read(self) -> bytes:
        """Return the next chunk; empty bytes mean end of stream or error."""
        try:
            data = await self.reader.read(65536)
        except OSError:
            data = b''
        self.source_closed = not data
        return data

    async def buffer_while_frozen(self, data: bytes) -> bytes:
        """Buffer incoming data until the link is no longer frozen.

        The data is read although it cannot be forwarded yet, since a reset by
        the sender would discard what is still in the socket. End of stream is
        held back as well, so that the receiver does not notice it.
        """
        buffer = bytearray(data)
        sender_open = bool(data)
        while self.frozen:
            if not sender_open or len(buffer) >= MAX_BUFFERED_BYTES:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    chunk = await self.read()
            except TimeoutError:
                continue
            sender_open = bool(chunk)
            buffer += chunk
        return bytes(buffer)

    def swap_frames(self, data: bytes) -> bytes:
        """Return the complete frames with each pair of neighbours swapped.

        Frames have a length prefix of four bytes; an incomplete frame stays
        in the buffer.
        """
        self.frame_buffer += data
        frames = []
        while len(self.frame_buffer) >= LENGTH_PREFIX.size:
            end = (
                LENGTH_PREFIX.size
                + LENGTH_PREFIX.unpack_from(self.frame_buffer)[0]
            )
            if len(self.frame_buffer) < end:
                break
            frames.append(bytes(self.frame_buffer[:end]))
            del self.frame_buffer[:end]
        for index in range(0, len(frames) - 1, 2):
            frames[index : index + 2] = frames[index + 1], frames[index]
        return b''.join(frames)
