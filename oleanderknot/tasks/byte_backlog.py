"""Received bytes that are not parsed yet."""

# Bytes parsed at once. The smallest chunks take six bytes each, so a piece
# holds at most about 1,400 of them, which take 1 to 2 ms.
PIECE_BYTES = 8192


class ByteBacklog:
    """Hands out received bytes in small pieces.

    Attributes:
        data: The bytes of the latest read.
        offset: Number of these bytes that were taken.
    """

    def __init__(self) -> None:
        self.data = b''
        self.offset = 0

    def __len__(self) -> int:
        """Return the number of bytes that are held."""
        return len(self.data)

    def put(self, data: bytes) -> None:
        """Add the bytes of a read."""
        self.data = self.data[self.offset :] + data if self.data else data
        self.offset = 0

    def take(self) -> bytes:
        """Take the next piece; empty bytes mark the end."""
        piece = self.data[self.offset : self.offset + PIECE_BYTES]
        self.offset += len(piece)
        if self.offset >= len(self.data):
            self.clear()
        return piece

    def clear(self) -> None:
        """Drop the bytes that are left."""
        self.data = b''
        self.offset = 0
