"""Services that the routes of an upstream depend on."""

import collections.abc

# Counts are halved at this number, so that they follow a changed upstream.
MAX_REQUESTS = 200

# A route depends on a service that at least this share of its requests call.
DEPENDENCY_SHARE = 0.5


class RouteDependencies:
    """Counts for each route the services and routes that it calls.

    A route is refused while a service that it depends on is out of reach, and
    then no request ends that could correct the counts. So what the policy
    rules out must not stay in them.

    Attributes:
        targets: Services to which the policy in force sends each route; None
            if there is no such policy.
        requests: Number of counted requests, by route.
        called: Number of requests that called a service and its route, by
            route.
        dependencies: Services and routes that a route depends on, by route.
    """

    def __init__(self) -> None:
        self.targets: dict[str, frozenset[str]] | None = None
        self.requests: dict[str, float] = {}
        self.called: dict[str, dict[tuple[str, str], float]] = {}
        self.dependencies: dict[str, list[tuple[str, str]]] = {}

    def set_targets(self, targets: dict[str, frozenset[str]]) -> None:
        """Put the targets of a policy in force.

        The counts of a route are dropped if one of its calls now goes
        elsewhere, since how often it makes the call is known of the old
        service alone.

        Args:
            targets: Services that each route goes to, by its name.
        """
        self.targets = targets
        for route, counts in list(self.called.items()):
            if not all(self.is_possible(*key) for key in counts):
                self.forget(route)

    def is_possible(self, service: str, route: str) -> bool:
        """Return whether calls on a route may go to a service now."""
        return self.targets is None or service in self.targets.get(route, ())

    def forget(self, route: str) -> None:
        """Drop the counts of a route."""
        self.requests.pop(route, None)
        self.called.pop(route, None)
        self.dependencies.pop(route, None)

    def clear(self) -> None:
        """Drop all counts, as after a restart of the upstream."""
        self.requests.clear()
        self.called.clear()
        self.dependencies.clear()

    def count(
        self,
        route: str,
        called: collections.abc.Iterable[tuple[str, str]],
    ) -> None:
        """Count a request that has ended.

        Args:
            route: Path prefix of its route.
            called: Services and routes that it has called.
        """
        called = tuple(called)
        if not all(self.is_possible(*key) for key in called):
            # The request began under an earlier policy.
            return
        requests = self.requests.get(route, 0.0)
        counts = self.called.setdefault(route, {})
        if requests >= MAX_REQUESTS:
            requests /= 2
            for key in list(counts):
                counts[key] /= 2
                if counts[key] < 1:
                    del counts[key]
        self.requests[route] = requests + 1
        for key in called:
            counts[key] = counts.get(key, 0.0) + 1
        # Computed here, since it is read several times per request.
        if not counts:
            self.dependencies[route] = []
            return
        min_count = self.requests[route] * DEPENDENCY_SHARE
        self.dependencies[route] = [
            key for key, count in counts.items() if count >= min_count
        ]

    def list_dependencies(self, route: str) -> list[tuple[str, str]]:
        """Return the services and routes that a route depends on."""
        return self.dependencies.get(route, [])
