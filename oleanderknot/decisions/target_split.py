"""Weighted distribution of the requests of a route between services."""

import collections.abc

from oleanderknot import model


class TargetSplit:
    """Distributes requests by smooth weighted round robin.

    Each target gets its share even over a few requests, unlike with
    independent random choices.

    Attributes:
        targets: Services with their weights.
        credits: Accumulated weight of each service; the largest is next.
        total: Sum of the weights.
    """

    def __init__(
        self, *, targets: collections.abc.Iterable[model.RouteTarget]
    ) -> None:
        self.targets = [item for item in targets if item.weight > 0]
        self.credits = [0.0] * len(self.targets)
        self.total = sum(item.weight for item in self.targets)

    def choose_next(self) -> str:
        """Return the service of the next request."""
        best = 0
        for index, target in enumerate(self.targets):
            self.credits[index] += target.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total
        return self.targets[best].service
