"""Admission level of the services below the own upstream."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model

LevelFunction = collections.abc.Callable[[str, str], float]


def assume_top_level(service: str, route: str) -> float:
    """Return the level of a service about which nothing is known."""
    return decisions.MAX_LEVEL


class ChainLevel:
    """Knows which services the routes of the own upstream need.

    Attributes:
        calls: Services that each route has called.
        find_service_level: Returns the admission level of another service
            for a route, as this node knows it.
    """

    def __init__(self) -> None:
        self.calls = decisions.RouteCalls()
        self.find_service_level: LevelFunction = assume_top_level

    def count(
        self,
        call: model.Call,
        called: collections.abc.Iterable[tuple[str, str]],
    ) -> None:
        """Count a call that has ended, with the services it has called."""
        self.calls.count(call.route, called)

    def find(self, route: str) -> float:
        """Return the lowest level of the services that a route needs.

        Args:
            route: Path prefix of the route.

        Returns:
            A level from 0 to 4; 4 when the route needs no other service.
        """
        needed = self.calls.list_needed(route)
        if not needed:
            return decisions.MAX_LEVEL
        return min(
            self.find_service_level(service, inner)
            for service, inner in needed
        )

    def is_leaf(self, route: str) -> bool:
        """Return whether a route is known to need no other service."""
        return route in self.calls.requests and not self.calls.list_needed(
            route
        )

    def check(self, call: model.Call) -> model.Refusal | None:
        """Return the refusal of a call that a deeper service would refuse."""
        level = self.find(call.route)
        if level >= decisions.MAX_LEVEL:
            return None
        priority = decisions.rank(call.request_class, call.trace_id)
        if priority < level:
            return None
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.EARLY_REFUSAL,
            'a service that the call needs does not admit this class now',
        )
        refusal.retry_after_ms = decisions.estimate_wait_ms(priority, level)
        return refusal
