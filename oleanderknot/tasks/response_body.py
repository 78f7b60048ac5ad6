"""Streamed body of an upstream's response."""

import asyncio

import aiohttp

from oleanderknot import model
from oleanderknot.tasks import body_pipe


class ResponseBody:
    """Reads the body of an HTTP response in parts.

    Attributes:
        response: The response.
        ended: Whether the complete body has been read.
    """

    def __init__(self, *, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.ended = False

    async def read_up_to(self, size: int) -> bytes:
        """Read a short body completely, or the first part of another one.

        A body with a known length of at most ``size`` is read to its end.
        For a body of unknown length the first part is enough to start the
        answer.

        Args:
            size: Maximum size of a short body in bytes.

        Returns:
            The first part of the body; empty if its known length exceeds
            ``size``.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """
        length = self.response.content_length
        if length is not None and length > size:
            return b''
        parts = []
        total = 0
        while total < size:
            data = await self.read()
            if not data:
                break
            parts.append(data)
            total += len(data)
            if length is None and not self.response.content.at_eof():
                break
        if self.response.content.at_eof() and not self.ended:
            self.release()
        return b''.join(parts)

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """
        if self.ended:
            return b''
        try:
            async with asyncio.timeout(body_pipe.PROGRESS_TIMEOUT_S):
                data = await self.response.content.readany()
        except TimeoutError as error:
            self.cancel()
            raise model.IncompleteBodyError(
                rule=model.Rule.UPSTREAM_TIMEOUT,
                detail='the upstream sent no part of the body in %d s'
                % body_pipe.PROGRESS_TIMEOUT_S,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            self.cancel()
            raise model.IncompleteBodyError(
                rule=model.Rule.UPSTREAM_CUT,
                detail='the upstream ended the answer: %s' % error,
            ) from error
        if not data:
            self.release()
        return data

    def release(self) -> None:
        """Release the connection after the complete body was read."""
        self.ended = True
        self.response.release()

    def cancel(self) -> None:
        """Close the connection, so that the upstream stops sending."""
        self.response.close()
