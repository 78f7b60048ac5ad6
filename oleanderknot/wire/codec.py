"""Encodes frames by thrift behind a length prefix."""

import struct

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from oleanderknot.wire import bad_frame
from oleanderknot.wire.gen.peer import ttypes

# Larger than the largest chunk, inline body and headers together.
MAX_FRAME_BYTES = 1 << 20

LENGTH = struct.Struct('>I')

PROTOCOLS = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=65536
)


class Codec:
    """Encodes and decodes the frames of one connection.

    It keeps its thrift protocol objects, since making them anew took longer
    than the encoding itself. It must not be used by two threads at once.
    """

    def __init__(self) -> None:
        self.sink = TTransport.TMemoryBuffer()
        self.writer = PROTOCOLS.getProtocol(self.sink)
        self.reader = PROTOCOLS.getProtocol(self.sink)

    def encode(self, frame: ttypes.Frame) -> bytes:
        """Encode a frame with its length prefix.

        Args:
            frame: The frame to send.

        Returns:
            Four bytes of length, then the frame.

        Raises:
            BadFrame: The frame is larger than ``MAX_FRAME_BYTES``.
        """
        self.writer.trans = sink = TTransport.TMemoryBuffer()
        frame.write(self.writer)
        content = sink.getvalue()
        if len(content) > MAX_FRAME_BYTES:
            raise bad_frame.BadFrame(
                'frame of %d bytes exceeds %d'
                % (len(content), MAX_FRAME_BYTES)
            )
        return LENGTH.pack(len(content)) + content

    def decode(self, content: bytes) -> ttypes.Frame:
        """Decode one frame without its length prefix.

        Args:
            content: The bytes of one frame.

        Returns:
            The frame; fields that the sender left out are None.

        Raises:
            BadFrame: The bytes are no frame.
        """
        self.reader.trans = TTransport.TMemoryBuffer(content)
        frame = ttypes.Frame()
        try:
            frame.read(self.reader)
        # The C accelerator raises many types for wrong bytes.
        except Exception as error:
            raise bad_frame.BadFrame(
                'undecodable frame: %r' % error
            ) from error
        if frame.session is None or frame.call is None:
            raise bad_frame.BadFrame('frame without session or call number')
        return frame


def encode(frame: ttypes.Frame) -> bytes:
    """Encode one frame; see ``Codec.encode``."""
    return Codec().encode(frame)
