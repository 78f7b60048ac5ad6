"""Distributes the requests of a route between services."""

import collections.abc

from oleanderknot import model


class TargetSplit:
    """Smooth weighted round robin.

    Each target gets its share also within short spans of requests, which
    independent draws would not give.

    Attributes:
        targets: Services with their weights.
        credits: What each service is owed, in units of the weights.
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
