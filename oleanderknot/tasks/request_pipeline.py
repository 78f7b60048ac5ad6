"""Runs the pipelined requests of a client connection."""

import asyncio
import collections
import collections.abc
import functools

from absl import logging

from oleanderknot import model
from oleanderknot.tasks import pipelined_request

# Maximum number of requests of one connection that run at the same time.
# While as many are not answered, the connection parses no more.
MAX_RUNNING = 8

HandleFunction = collections.abc.Callable[
    [model.HttpRequest], collections.abc.Awaitable[model.HttpResponse]
]

# Returns a check of requests against the policy in force.
CaptureFunction = collections.abc.Callable[
    [], pipelined_request.OverlapCheck | None
]


class RequestPipeline:
    """Owns the requests of one connection from their receipt to the response.

    Requests that may overlap run concurrently. Any other one starts when all
    requests before it are answered, and holds up those behind it until its
    own response. Responses are passed on in the order of arrival.

    Attributes:
        handle: Returns the response to a request.
        capture_check: Returns the check that decides whether a request may
            overlap with others.
        is_writable: Returns whether the client reads its responses. While it
            does not, no response is passed on and no request starts.
        on_response: Called with each request and its response, in order.
        on_end: Called with each request that has ended, before its response
            is due.
        on_idle: Called when all requests have ended and are answered.
        entries: Requests that are not answered, the oldest first.
        held_bytes: Size of the requests and responses in ``entries``.
        running: Number of requests that are being handled.
        busy: Whether ``on_idle`` is due.
        closed: Whether nothing more is started or passed on.
    """

    def __init__(
        self,
        *,
        handle: HandleFunction,
        capture_check: CaptureFunction,
        is_writable: collections.abc.Callable[[], bool],
        on_response: collections.abc.Callable[
            [pipelined_request.PipelinedRequest], None
        ],
        on_end: collections.abc.Callable[
            [pipelined_request.PipelinedRequest], None
        ],
        on_idle: collections.abc.Callable[[], None],
    ) -> None:
        self.handle = handle
        self.capture_check = capture_check
        self.is_writable = is_writable
        self.on_response = on_response
        self.on_end = on_end
        self.on_idle = on_idle
        self.loop = asyncio.get_running_loop()
        self.entries: collections.deque[pipelined_request.PipelinedRequest] = (
            collections.deque()
        )
        self.held_bytes = 0
        self.running = 0
        self.busy = False
        self.closed = False

    def is_full(self) -> bool:
        """Return whether the connection should parse no more requests."""
        return len(self.entries) >= MAX_RUNNING

    def add(
        self, request: model.HttpRequest, keep_alive: bool, size: int
    ) -> None:
        """Add a complete request, and start it if it may start.

        Args:
            request: The request.
            keep_alive: Whether the client keeps the connection after it.
            size: Bytes that the request takes.
        """
        self.busy = True
        self.held_bytes += size
        self.entries.append(
            pipelined_request.PipelinedRequest(
                request=request, keep_alive=keep_alive, size=size
            )
        )
        self.start_ready()

    def start_ready(self) -> None:
        """Start all requests that may run now."""
        if self.closed or not self.is_writable():
            return
        first = True
        for entry in self.entries:
            if self.running >= MAX_RUNNING:
                return
            if entry.task is None:
                entry.check = self.capture_check()
                entry.overlaps = None
                if not first and not entry.may_overlap():
                    return
                self.start(entry)
            first = False
            if entry is not self.entries[-1] and not entry.may_overlap():
                return

    def start(self, entry: pipelined_request.PipelinedRequest) -> None:
        """Start the task that handles a request."""
        self.running += 1
        entry.task = self.loop.create_task(self.run(entry))

    async def run(self, entry: pipelined_request.PipelinedRequest) -> None:
        """Handle one request, and pass on the responses that are due."""
        try:
            response = await self.handle(entry.request)
        except Exception:
            logging.exception(
                'request handler failed for %s', entry.request.target[:200]
            )
            # Without a response the client would wait until its deadline.
            response = model.HttpResponse(status=502, close=True)
        # A callback of the task would take another turn of the event loop.
        self.finish(entry, response)

    def finish(
        self,
        entry: pipelined_request.PipelinedRequest,
        response: model.HttpResponse | None,
    ) -> None:
        """Keep the response to a request, and pass on those that are due.

        Args:
            entry: The request; nothing happens if it has ended before.
            response: Its response; None if it was cancelled.
        """
        if entry.ended:
            return
        entry.ended = True
        self.running -= 1
        entry.response = response
        if response is not None and not self.closed:
            entry.size += len(response.content)
            self.held_bytes += len(response.content)
            self.on_end(entry)
        self.advance()

    def finish_cancelled(
        self, entry: pipelined_request.PipelinedRequest, task: asyncio.Task
    ) -> None:
        """Record the end of a cancelled request; called by its task."""
        self.finish(entry, None)

    def advance(self) -> None:
        """Pass on the responses that are due, and start further requests."""
        while (
            self.entries
            and self.entries[0].response is not None
            and not self.closed
            and self.is_writable()
        ):
            entry = self.entries.popleft()
            self.held_bytes -= entry.size
            self.on_response(entry)
        self.start_ready()
        if self.busy and not self.entries and not self.running:
            self.busy = False
            self.on_idle()
        if self.closed and not self.running:
            self.detach()

    def detach(self) -> None:
        """Drop the references to the connection, which refers to this.

        Without the cycle both are freed at once, and not by a collection
        that may come much later.
        """
        self.on_response = self.on_end = ignore_entry
        self.on_idle = ignore
        self.is_writable = always

    def drop_response(self, entry: pipelined_request.PipelinedRequest) -> None:
        """Replace a response for which there is no memory by an error."""
        size = len(entry.response.content)
        entry.size -= size
        self.held_bytes -= size
        entry.response = model.HttpResponse(status=502)

    def drop_waiting(self) -> None:
        """Drop the requests that have not been started."""
        while self.entries and self.entries[-1].task is None:
            self.held_bytes -= self.entries.pop().size

    def close(self) -> None:
        """Drop the requests that wait, and cancel those that run."""
        self.closed = True
        entries = list(self.entries)
        self.entries.clear()
        self.held_bytes = 0
        for entry in entries:
            if entry.task is not None and not entry.ended:
                entry.task.cancel()
                # A task that is cancelled before its first step never runs.
                entry.task.add_done_callback(
                    functools.partial(self.finish_cancelled, entry)
                )
        if not self.running:
            self.advance()


def ignore() -> None:
    """Do nothing; for a pipeline without a connection."""


def ignore_entry(entry: pipelined_request.PipelinedRequest) -> None:
    """Do nothing; for a pipeline without a connection."""


def always() -> bool:
    """Return True; for a pipeline without a connection."""
    return True
