"""Limits the repeated requests of one node to each service."""

from oleanderknot.decisions import retry_budget

# Parts of the shared bound for repeats by the node that dispatches a request
# (origin) and by the node beside the upstream (gateway). The rest is a margin:
# nodes count whole seconds while the bound holds for any window of its length,
# and calls made by repeated requests count as well.
ORIGIN_SHARE = 0.25
GATEWAY_SHARE = 0.5


class RepeatBudget:
    """Counts requests and repeats by service.

    Unlike a ``RetryBudget``, which counts in a single sliding window, this
    keeps a budget for each service, and its bound covers all nodes.

    All nodes together keep the bound without coordination: each one applies
    the ratio to its own requests and uses an equal share of the slack.

    Attributes:
        ratio: Repeats allowed as a share of the requests.
        slack: Repeats allowed in addition to the ratio, for all nodes
            together.
        share: Part of the shared bound that this budget may use.
        window_s: Window of the bound in seconds.
        budgets: Counts by service.
    """

    def __init__(
        self, *, ratio: float, slack: int, share: float, window_s: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.share = share
        self.window_s = window_s
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def reconfigure(
        self, *, ratio: float, slack: int, window_s: float
    ) -> None:
        """Change the bounds and keep the counts."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        for budget in self.budgets.values():
            budget.window_s = window_s

    def find_budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of a service, created if new."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retry_budget.RetryBudget(
                window_s=self.window_s
            )
        return budget

    def count_request(self, service: str, now: float) -> None:
        """Count a request that is sent for the first time.

        Args:
            service: Service that it goes to.
            now: Monotonic time in seconds.
        """
        self.find_budget(service).count_base(now)

    def take(self, service: str, now: float, nodes: int) -> bool:
        """Spend one repeat if the budget allows it.

        Args:
            service: Service that it goes to.
            now: Monotonic time in seconds.
            nodes: Nodes that share the slack.

        Returns:
            Whether the repeat may be sent.
        """
        return self.find_budget(service).take(
            now, self.share * self.ratio, self.find_slack_share(nodes)
        )

    def find_remaining(self, service: str, now: float, nodes: int) -> int:
        """Return the number of repeats left; arguments as in ``take``."""
        return self.find_budget(service).find_remaining(
            now, self.share * self.ratio, self.find_slack_share(nodes)
        )

    def find_slack_share(self, nodes: int) -> int:
        """Return this node's share of the slack."""
        return int(self.share * self.slack / max(1, nodes))
