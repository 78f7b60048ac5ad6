"""Admission levels of the services that the local upstream calls."""

import collections.abc
import time

from oleanderknot import decisions
from oleanderknot import model

# Takes a service and a route; returns the last reported level and the level
# estimated for the present.
LevelsFunction = collections.abc.Callable[[str, str], tuple[float, float]]


def assume_max_levels(service: str, route: str) -> tuple[float, float]:
    """Return the levels assumed for a service without reports."""
    return decisions.MAX_LEVEL, decisions.MAX_LEVEL


class DependencyLevels:
    """Tracks the services that the routes of the local upstream depend on.

    Attributes:
        calls: Services called by each route.
        find_service_levels: Returns the admission levels of another service
            for a route, as known to this node.
        probe_limiter: Limits the requests that probe an outdated level.
    """

    def __init__(self) -> None:
        self.calls = decisions.RouteDependencies()
        self.find_service_levels: LevelsFunction = assume_max_levels
        self.probe_limiter = decisions.ProbeLimiter()

    def count(
        self,
        call: model.Call,
        called: collections.abc.Iterable[tuple[str, str]],
    ) -> None:
        """Record a completed call and the services that it called."""
        self.calls.count(call.route, called)

    def find(self, route: str) -> tuple[float, float]:
        """Return the lowest levels of the services that a route depends on.

        Args:
            route: Path prefix of the route.

        Returns:
            The reported level and the level estimated for the present, from
            0 to 4; 4 if the route depends on no other service.
        """
        needed = self.calls.dependencies.get(route)
        if not needed:
            return decisions.MAX_LEVEL, decisions.MAX_LEVEL
        found = [self.find_service_levels(*item) for item in needed]
        return min(item[0] for item in found), min(item[1] for item in found)

    def is_leaf(self, route: str) -> bool:
        """Return whether a route is known to depend on no other service."""
        # A route without a counted request has no list.
        return self.calls.dependencies.get(route) == []

    def check(self, call: model.Call) -> model.Refusal | None:
        """Return a refusal if a dependency would refuse the call."""
        reported, estimated = self.find(call.route)
        if reported >= decisions.MAX_LEVEL:
            return None
        priority = decisions.rank_call(call)
        if priority < reported:
            return None
        if priority < estimated and self.probe_limiter.try_acquire(
            call.route, time.monotonic()
        ):
            return None
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.EARLY_REFUSAL,
            'a service that the call needs does not admit this class now'
            ' (rank %.2f, level %.2f)' % (priority, reported),
        )
        refusal.retry_after_ms = decisions.estimate_wait_ms(priority, reported)
        return refusal
