"""Splits a byte stream into frames."""

import collections.abc

from oleanderknot.wire import bad_frame
from oleanderknot.wire import codec as codecs
from oleanderknot.wire.gen.peer import ttypes

PREFIX_BYTES = codecs.LENGTH_PREFIX.size

unpack_length = codecs.LENGTH_PREFIX.unpack_from


class FrameReader:
    """Buffers received bytes and decodes complete frames.

    Attributes:
        codec: Decodes the frames.
        pending: Received bytes of a frame that is not complete yet.
        frame_bytes: Size of the last frame including its length prefix.
    """

    def __init__(self, *, codec: codecs.Codec) -> None:
        self.codec = codec
        self.pending = bytearray()
        self.frame_bytes = 0

    def feed(self, data: bytes) -> collections.abc.Iterator[ttypes.Frame]:
        """Add received bytes and decode the frames that they complete.

        Args:
            data: Bytes as received.

        Yields:
            Each complete frame, in order.

        Raises:
            BadFrame: The length or the content of a frame is invalid.
        """
        # Most reads hold whole frames, which need no copy of the buffer.
        received: bytes | bytearray = data
        if self.pending:
            self.pending += data
            received = self.pending
        start = 0
        size = len(received)
        while (begin := start + PREFIX_BYTES) <= size:
            (length,) = unpack_length(received, start)
            if length > codecs.MAX_FRAME_BYTES:
                raise bad_frame.BadFrame(
                    'frame of %d bytes exceeds the limit of %d'
                    % (length, codecs.MAX_FRAME_BYTES)
                )
            end = begin + length
            if end > size:
                break
            content = received[begin:end]
            self.frame_bytes = end - start
            start = end
            yield self.codec.decode(content)
        if received is not data:
            del self.pending[:start]
        elif start < size:
            self.pending += data[start:]
