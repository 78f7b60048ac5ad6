"""One direction of a proxied connection."""

import asyncio
import struct

LENGTH = struct.Struct('>I')

POLL_S = 0.05
FLUSH_S = 0.3

# More than this is left in the sender's socket, as by a real network.
MAX_HELD_BYTES = 1 << 20


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
        self.held = bytearray()

    async def copy(self) -> None:
        """Copy until either side ends."""
        try:
            while True:
                data = await self.read()
                if data and self.delay_s:
                    await asyncio.sleep(self.delay_s)
                held = self.frozen
                if held:
                    data = await self.hold(data)
                if self.drop or not data:
                    return
                self.writer.write(self.reorder(data) if self.swap else data)
                await self.writer.drain()
                if held:
                    # The sender may have reset the connection; the receiver
                    # must read what was held back before it is reset too.
                    await asyncio.sleep(FLUSH_S)
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

    async def hold(self, data: bytes) -> bytes:
        """Collect what arrives while the link is frozen.

        It is read although it cannot go on, since a reset by the sender
        would drop it. The other side must not learn of an end either.
        """
        held = bytearray(data)
        reading = bool(data)
        while self.frozen:
            if not reading or len(held) >= MAX_HELD_BYTES:
                await asyncio.sleep(POLL_S)
                continue
            try:
                async with asyncio.timeout(POLL_S):
                    more = await self.read()
            except TimeoutError:
                continue
            reading = bool(more)
            held += more
        return bytes(held)

    def reorder(self, data: bytes) -> bytes:
        """Swap neighbouring frames among those that have arrived whole.

        Frames have a length of four bytes in front; incomplete ones wait.
        """
        self.held += data
        frames = []
        while len(self.held) >= LENGTH.size:
            end = LENGTH.size + LENGTH.unpack_from(self.held)[0]
            if len(self.held) < end:
                break
            frames.append(bytes(self.held[:end]))
            del self.held[:end]
        for index in range(0, len(frames) - 1, 2):
            frames[index : index + 2] = frames[index + 1], frames[index]
        return b''.join(frames)
