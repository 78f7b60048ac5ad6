"""Provides the bytes of a received frame to the thrift protocol."""

import io

from thrift.transport import TTransport


class FrameSource(TTransport.TTransportBase, TTransport.CReadableTransport):
    """Transport that is read from, one frame at a time.

    Attributes:
        cstringio_buf: Rest of the frame; the accelerated protocol reads it
            directly.
    """

    cstringio_buf = io.BytesIO()

    def set_content(self, content: bytes | bytearray) -> None:
        """Set the bytes of the next frame."""
        self.cstringio_buf = io.BytesIO(content)

    def read(self, size: int) -> bytes:
        """Return the next bytes; called by the protocol."""
        return self.cstringio_buf.read(size)

    def cstringio_refill(self, partial: bytes, size: int) -> None:
        """Refuse to read beyond the frame; called by the protocol.

        Raises:
            EOFError: Always, since the frame is complete from the start.
        """
        raise EOFError
