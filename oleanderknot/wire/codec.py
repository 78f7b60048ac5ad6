"""Encodes and decodes length-prefixed thrift frames."""

import struct

from thrift.protocol import TCompactProtocol

from oleanderknot.wire import bad_frame
from oleanderknot.wire import frame_sink
from oleanderknot.wire import frame_source
from oleanderknot.wire.gen.peer import ttypes

# Exceeds the largest chunk, inline body and headers together.
MAX_FRAME_BYTES = 1 << 20

LENGTH_PREFIX = struct.Struct('>I')

PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=65536
)


class Codec:
    """Encodes and decodes the frames of one connection.

    The thrift protocol objects and their transports are reused, since
    creating them takes longer than the encoding itself. A codec is not
    thread-safe.

    Attributes:
        sink: Receives the bytes of an encoded frame.
        source: Provides the bytes of a received frame.
    """

    def __init__(self) -> None:
        self.sink = frame_sink.FrameSink()
        self.source = frame_source.FrameSource()
        self.writer = PROTOCOL_FACTORY.getProtocol(self.sink)
        self.reader = PROTOCOL_FACTORY.getProtocol(self.source)

    def encode(self, frame: ttypes.Frame) -> bytes:
        """Encode a frame with its length prefix.

        Args:
            frame: The frame to send.

        Returns:
            The length in four bytes, followed by the frame.

        Raises:
            BadFrame: The frame is larger than ``MAX_FRAME_BYTES``.
        """
        # A frame that could not be encoded may have left a part behind.
        self.sink.parts.clear()
        frame.write(self.writer)
        content = self.sink.take()
        size = len(content)
        if size > MAX_FRAME_BYTES:
            raise bad_frame.BadFrame(
                'frame of %d bytes exceeds the limit of %d'
                % (size, MAX_FRAME_BYTES)
            )
        return LENGTH_PREFIX.pack(size) + content

    def decode(self, content: bytes) -> ttypes.Frame:
        """Decode one frame without its length prefix.

        Args:
            content: The bytes of one frame.

        Returns:
            The frame; absent fields are None.

        Raises:
            BadFrame: The bytes are not a valid frame.
        """
        self.source.set_content(content)
        frame = ttypes.Frame()
        try:
            frame.read(self.reader)
        # The C accelerator raises many exception types for malformed input.
        except Exception as error:
            raise bad_frame.BadFrame(
                'frame could not be decoded: %r' % error
            ) from error
        if frame.session is None or frame.call is None:
            raise bad_frame.BadFrame('frame without session or call number')
        return frame


def encode(frame: ttypes.Frame) -> bytes:
    """Encode one frame with a new codec; see ``Codec.encode``."""
    return Codec().encode(frame)
