"""One direction of a proxied connection."""

import asyncio
import struct

LENGTH_PREFIX = struct.Struct('>I')

POLL_INTERVAL_S = 0.05
FLUSH_DELAY_S = 0.3

# More than this is left in the sender's socket, as by a real network.
MAX_BUFFERED_BYTES = 1 << 20


class FaultLink:
    """Copies bytes one way, with faults.

    Attributes:
        reader: Where the bytes come from.
        writer: Where the bytes go to.
        frozen: Whether bytes, and the end of the connection, are held back
            until a thaw.
        delay_s: Seconds that each part waits.
        swap: Frames to pass on in another order: each odd one after the
            even one that follows it.
        drop: Parts to lose, after which both sides are cut.
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
        self.frame_buffer = bytearray()

    async def copy(self) -> None:
        """Copy until either side ends."""
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
                    # must read what was held back before it is reset too.
                    await asyncio.sleep(FLUSH_DELAY_S)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writer.close()

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end."""
        try:
            return await self.reader.read(65536)
        except OSError:
            return b''

    async def buffer_while_frozen(self, data: bytes) -> bytes:
        """Collect what arrives while the link is frozen.

        It is read although it cannot go on, since a reset by the sender
        would drop it. The other side must not learn of an end either.
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
        """Swap neighbouring frames among those that have arrived whole.

        Frames have a length of four bytes in front; incomplete ones wait.
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
