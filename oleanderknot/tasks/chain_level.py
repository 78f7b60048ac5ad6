"""Admission level of the services below the own upstream."""

import collections.abc
import time

from oleanderknot import decisions
from oleanderknot import model

# Returns the level that was reported, and the one that may hold by now.
LevelsFunction = collections.abc.Callable[[str, str], tuple[float, float]]


def assume_top_levels(service: str, route: str) -> tuple[float, float]:
    """Return the levels of a service about which nothing is known."""
    return decisions.MAX_LEVEL, decisions.MAX_LEVEL


class ChainLevel:
    """Knows which services the routes of the own upstream need.

    Attributes:
        calls: Services that each route has called.
        find_service_levels: Returns the admission levels of another service
            for a route, as this node knows them.
        pace: Spaces the requests that test a level which was reported long
            ago.
    """

    def __init__(self) -> None:
        self.calls = decisions.RouteDependencies()
        self.find_service_levels: LevelsFunction = assume_top_levels
        self.pace = decisions.ProbeLimiter()

    def count(
        self,
        call: model.Call,
        called: collections.abc.Iterable[tuple[str, str]],
    ) -> None:
        """Count a call that has ended, with the services it has called."""
        self.calls.count(call.route, called)

    def find(self, route: str) -> tuple[float, float]:
        """Return the lowest levels of the services that a route needs.

        Args:
            route: Path prefix of the route.

        Returns:
            The level that was reported and the one that may hold by now, from
            0 to 4; 4 when the route needs no other service.
        """
        needed = self.calls.list_dependencies(route)
        if not needed:
            return decisions.MAX_LEVEL, decisions.MAX_LEVEL
        found = [self.find_service_levels(*item) for item in needed]
        return min(item[0] for item in found), min(item[1] for item in found)

    def is_leaf(self, route: str) -> bool:
        """Return whether a route is known to need no other service."""
        return (
            route in self.calls.requests
            and not self.calls.list_dependencies(route)
        )

    def check(self, call: model.Call) -> model.Refusal | None:
        """Return the refusal of a call that a deeper service would refuse."""
        known, risen = self.find(call.route)
        if known >= decisions.MAX_LEVEL:
            return None
        priority = decisions.compute_priority(
            call.request_class, call.trace_id
        )
        if priority < known:
            return None
        if priority < risen and self.pace.try_acquire(
            call.route, time.monotonic()
        ):
            return None
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.EARLY_REFUSAL,
            'a service that the call needs does not admit this class now'
            ' (rank %.2f, level %.2f)' % (priority, known),
        )
        refusal.retry_after_ms = decisions.estimate_wait_ms(priority, known)
        return refusal
