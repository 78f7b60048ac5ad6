"""Computes the digest of a request body while it is forwarded."""

import hashlib

from oleanderknot import model


class DigestBody:
    """Forwards a body and computes its digest.

    Attributes:
        body: The body.
        hash: Digest of the bytes read so far.
        remaining_bytes: Bytes not yet read; -1 when not known.
        complete: Whether the body has been read to its end.
    """

    def __init__(self, *, body: model.Body, first: bytes, length: int) -> None:
        self.body = body
        self.remaining_bytes = length - len(first) if length >= 0 else -1
        self.hash = hashlib.blake2b(first, digest_size=16)
        self.complete = False

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end.

        Raises:
            IncompleteBodyError: The body ended before it was whole.
        """
        data = await self.body.read()
        self.hash.update(data)
        if self.remaining_bytes >= 0:
            self.remaining_bytes -= len(data)
        # An upstream may answer before the end of the body is read.
        self.complete = self.complete or not data or self.remaining_bytes == 0
        return data

    def cancel(self) -> None:
        """Tell the sender that the rest of the body will not be read."""
        self.body.cancel()

    def digest(self) -> bytes:
        """Return the digest of the whole body; empty if it is incomplete."""
        return self.hash.digest() if self.complete else b''


def find_content_length(call: model.Call) -> int:
    """Return the size of a call's body in bytes, or -1."""
    for name, value in call.headers:
        if name.lower() == b'content-length' and value.isdigit():
            return int(value)
    return -1


def digest_request(call: model.Call, content: bytes) -> bytes:
    """Return the digest that tells two requests of one key apart.

    Args:
        call: The call.
        content: The body when it is short; a long one is digested while
            it is forwarded.

    Returns:
        16 bytes.
    """
    head = '%s\n%s\n%s\n' % (call.service, call.method, call.path)
    return hashlib.blake2b(head.encode() + content, digest_size=16).digest()
