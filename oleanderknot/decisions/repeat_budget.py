"""Limits the repeated calls that reach one upstream."""

from oleanderknot.decisions import admission_level
from oleanderknot.decisions import retry_budget

# Part of the shared bound that is used. The rest is a margin: whole seconds
# are counted while the bound holds for any window of its length, and nodes may
# disagree for a moment on the number of upstreams.
USED_SHARE = 0.8


class RepeatBudget:
    """Counts first calls and repeats at the node beside an upstream.

    Every call passes the node beside the upstream that it reaches, so the
    nodes of a service together keep a bound on its repeats without talking to
    each other. With F first calls at a node, N upstreams of the service, a
    ratio R and a slack S, a node lets ``USED_SHARE * (R * F + S / N)`` repeats
    through in a window, and all together ``USED_SHARE * (R * sum(F) + S)``.

    A node that was restarted knows nothing of the repeats before. It uses its
    part of the slack only after a whole window, so that processes which are
    killed again and again do not exceed the bound.

    An upstream that sheds part of its calls may ask for more repeats than the
    budget holds. A request that makes several calls completes only if all of
    them do, so the less is left, the lower the priority numbers that it is
    spent on. These are the same for all calls of a request, at all nodes.

    Attributes:
        ratio: Repeats allowed as a share of the requests.
        slack: Repeats allowed in addition to the ratio, for all upstreams of
            the service together.
        counts: First calls and repeats within the window.
        started_at: Monotonic time in seconds from which repeats are counted.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, started_at: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.counts = retry_budget.RetryBudget(window_s=window_s)
        self.started_at = started_at

    def reconfigure(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Change the bounds and keep the counts."""
        self.ratio = ratio
        self.slack = slack
        self.counts.window_s = window_s

    def count_first(self, now: float) -> None:
        """Count a call that is sent to an upstream for the first time."""
        self.counts.count_base(now)

    def count_nested(self, now: float) -> None:
        """Count a call of a run that is itself a repeat."""
        self.counts.count_retry(now)

    def take(self, now: float, upstreams: int, priority: float = 0.0) -> bool:
        """Spend one repeat if the budget allows it.

        Args:
            now: Monotonic time in seconds.
            upstreams: Upstreams of the service, which share the slack. Those
                that cannot be reached count too, since they may serve others.
            priority: Priority number of the call.

        Returns:
            Whether the repeat may be sent.
        """
        bound = self.find_bound(now, upstreams)
        remaining = int(bound) - self.counts.retries
        if remaining < 1 or priority >= find_rank_limit(remaining, bound):
            return False
        self.counts.count_retry(now)
        return True

    def find_remaining(self, now: float, upstreams: int) -> int:
        """Return the number of repeats left; arguments as in ``take``."""
        bound = self.find_bound(now, upstreams)
        return max(0, int(bound) - self.counts.retries)

    def find_bound(self, now: float, upstreams: int) -> float:
        """Return the repeats allowed in a window; arguments as in ``take``."""
        self.counts.advance(now)
        bound = self.ratio * self.counts.successes
        if now - self.started_at >= self.counts.window_s:
            bound += self.slack / max(1, upstreams)
        return USED_SHARE * bound


def find_rank_limit(remaining: int, bound: float) -> float:
    """Return the priority number from which calls are not repeated.

    Args:
        remaining: Repeats left.
        bound: Repeats allowed in the window.
    """
    return admission_level.MAX_LEVEL * remaining / bound
