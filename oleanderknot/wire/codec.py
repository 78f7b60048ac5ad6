"""Encodes and decodes length-prefixed thrift frames."""

import struct
import typing

from thrift.protocol import TCompactProtocol

try:
    from thrift.protocol import fastbinary
except ImportError:
    # The library was built without its C extension.
    fastbinary = None

from oleanderknot.wire import bad_frame
from oleanderknot.wire import envelope
from oleanderknot.wire import frame_sink
from oleanderknot.wire import frame_source
from oleanderknot.wire.gen.peer import ttypes

# Exceeds the largest chunk, inline body and headers together.
MAX_FRAME_BYTES = 1 << 20

LENGTH_PREFIX = struct.Struct('>I')

# Arguments of the C extension for a frame, as the generated code passes them.
FRAME_TYPE = [ttypes.Frame, ttypes.Frame.thrift_spec]

PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=65536
)


class Codec:
    """Encodes and decodes the frames of one connection.

    The thrift protocol objects and their transports are reused, since
    creating them takes longer than the encoding itself. Frames are passed to
    the C extension directly; without it, to the generated code, which encodes
    the same bytes. A codec is not thread-safe.

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
        if fastbinary is not None:
            return add_length(fastbinary.encode_compact(frame, FRAME_TYPE))
        # A frame that could not be encoded may have left a part behind.
        self.sink.parts.clear()
        frame.write(self.writer)
        return add_length(self.sink.take())

    def encode_message(
        self, session: int, call: int, name: str, message: typing.Any
    ) -> bytes:
        """Encode a frame with one message to the same bytes as ``encode``.

        Args:
            session: Session number of the connection.
            call: Number of the call; 0 for a control message.
            name: Name of the message in a frame.
            message: The message.

        Returns:
            The length in four bytes, followed by the frame.

        Raises:
            BadFrame: The frame is larger than ``MAX_FRAME_BYTES``.
        """
        if fastbinary is None:
            return self.encode(ttypes.Frame(session, call, **{name: message}))
        frame = envelope.Envelope(session=session, call=call, message=message)
        return add_length(
            fastbinary.encode_compact(frame, envelope.TYPES[name])
        )

    def decode(self, content: bytes | bytearray) -> ttypes.Frame:
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
            if fastbinary is not None:
                fastbinary.decode_compact(frame, self.reader, FRAME_TYPE)
            else:
                frame.read(self.reader)
        # The C accelerator raises many exception types for malformed input.
        except Exception as error:
            raise bad_frame.BadFrame(
                'frame could not be decoded: %r' % error
            ) from error
        if frame.session is None or frame.call is None:
            raise bad_frame.BadFrame('frame without session or call number')
        return frame


def add_length(content: bytes) -> bytes:
    """Return an encoded frame with its length prefix.

    Raises:
        BadFrame: The frame is larger than ``MAX_FRAME_BYTES``.
    """
    size = len(content)
    if size > MAX_FRAME_BYTES:
        raise bad_frame.BadFrame(
            'frame of %d bytes exceeds the limit of %d'
            % (size, MAX_FRAME_BYTES)
        )
    return LENGTH_PREFIX.pack(size) + content


def encode(frame: ttypes.Frame) -> bytes:
    """Encode one frame with a new codec; see ``Codec.encode``."""
    return Codec().encode(frame)
