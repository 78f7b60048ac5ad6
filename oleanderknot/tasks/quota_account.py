"""State of one organisation at a first node."""

import collections
import dataclasses

from oleanderknot import decisions
from oleanderknot.tasks import quota_waiter


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaAccount:
    """Tokens of an organisation at this node, and requests without one.

    Attributes:
        name: Name of the organisation.
        client: Decides how many tokens to request.
        waiters: Requests that wait for a token, oldest first.
        requesting: Whether a request to the home has no answer yet.
        home: Node that was last asked.
        replied_at: Monotonic time in seconds of its latest answer; None
            before the first.
        wait_s: Seconds until a token, by the latest answer.
    """

    name: str
    client: decisions.QuotaClient = dataclasses.field(
        default_factory=decisions.QuotaClient
    )
    waiters: collections.deque[quota_waiter.QuotaWaiter] = dataclasses.field(
        default_factory=collections.deque
    )
    requesting: bool = False
    home: str = ''
    replied_at: float | None = None
    wait_s: float = 0.0

    def serve_waiters(self, now: float) -> None:
        """Give the tokens of this node to the requests that wait."""
        while self.waiters:
            future = self.waiters[0].future
            if not future.done():
                if not self.client.held.take(now):
                    return
                future.set_result(True)
            self.waiters.popleft()

    def describe(self, now: float) -> str:
        """Return why a request was refused, for the log."""
        return '%s is over its limit; %s' % (
            self.name,
            self.describe_tokens(now),
        )

    def describe_tokens(self, now: float) -> str:
        """Return what is known of the tokens at this node and its home."""
        if self.replied_at is None:
            reply = 'which has not answered yet'
        else:
            reply = 'whose last answer is %.2f s old' % (now - self.replied_at)
        return '%d tokens left here, home %s, %s' % (
            self.client.held.size,
            self.home,
            reply,
        )
