"""Streamed body of a caller's request."""

import asyncio

from aiohttp import web

from oleanderknot import model
from oleanderknot.tasks import body_pipe


class RequestBody:
    """Reads the body of an HTTP request in parts.

    Attributes:
        request: The request.
        limit: Maximum size in bytes.
        size: Number of bytes read so far.
    """

    def __init__(self, *, request: web.BaseRequest, limit: int) -> None:
        self.request = request
        self.limit = limit
        self.size = 0

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The caller disconnected, was too slow, or
                exceeded the limit.
        """
        try:
            async with asyncio.timeout(body_pipe.PROGRESS_TIMEOUT_S):
                data = await self.request.content.readany()
        except (OSError, web.HTTPException) as error:
            raise model.IncompleteBodyError(
                rule=model.Rule.BODY_CUT,
                detail='the caller ended the request: %s' % error,
            ) from error
        self.size += len(data)
        if self.size > self.limit:
            raise model.IncompleteBodyError(
                rule=model.Rule.BODY_TOO_LARGE,
                detail='the body exceeds %d bytes' % self.limit,
            )
        return data

    def cancel(self) -> None:
        """Do nothing: the response tells the caller to stop sending."""
