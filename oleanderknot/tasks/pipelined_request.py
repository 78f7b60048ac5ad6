"""Request that waits for its turn on a client connection."""

import asyncio
import collections.abc
import dataclasses

from oleanderknot import model

OverlapCheck = collections.abc.Callable[[model.HttpRequest], bool]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PipelinedRequest:
    """A complete request of a client and its response.

    Attributes:
        request: The request.
        keep_alive: Whether the client keeps the connection after it.
        size: Bytes that the request and its response take.
        overlaps: Whether the request may run while others of the connection
            do; None until this is needed.
        check: Finds ``overlaps`` by the policy that was in force when the
            request was started.
        task: Task that handles the request; None before its start.
        ended: Whether it was handled or cancelled.
        response: The response; None before the request has ended, and for a
            cancelled one.
    """

    request: model.HttpRequest
    keep_alive: bool
    size: int
    overlaps: bool | None = None
    check: OverlapCheck | None = None
    task: asyncio.Task | None = None
    ended: bool = False
    response: model.HttpResponse | None = None

    def may_overlap(self) -> bool:
        """Return whether other requests may run at the same time."""
        if self.overlaps is None:
            self.overlaps = self.check is not None and self.check(self.request)
        return self.overlaps
