"""Services that the routes of an upstream depend on."""

import collections.abc

# Counts are halved at this number, so that they follow a changed upstream.
MAX_REQUESTS = 200

# A route depends on a service that at least this share of its requests call.
DEPENDENCY_SHARE = 0.5


class RouteDependencies:
    """Counts for each route the services and routes that it calls.

    Attributes:
        requests: Number of counted requests, by route.
        called: Number of requests that called a service and its route, by
            route.
        dependencies: Services and routes that a route depends on, by route.
    """

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}
        self.called: dict[str, dict[tuple[str, str], float]] = {}
        self.dependencies: dict[str, list[tuple[str, str]]] = {}

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
