"""Receives the bytes of an encoded frame from the thrift protocol."""

from thrift.transport import TTransport


class FrameSink(TTransport.TTransportBase):
    """Transport that keeps what is written to it, one frame at a time.

    Attributes:
        parts: Bytes written since the last frame.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Keep bytes; called by the protocol."""
        self.parts.append(data)

    def take(self) -> bytes:
        """Return the frame that was written, and start the next one."""
        content = b''.join(self.parts)
        self.parts.clear()
        return content
