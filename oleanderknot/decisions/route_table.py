"""Routes of a traffic policy."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import target_split


class RouteTable:
    """Finds the route of a request by host and longest path prefix.

    A request takes one dictionary lookup for each slash of its path, whatever
    the number of routes.

    Attributes:
        routes: Route by host and prefix.
        splits: Distribution of requests between targets, by route name.
    """

    def __init__(
        self, *, routes: collections.abc.Iterable[model.Route] = ()
    ) -> None:
        self.routes: dict[str, dict[str, model.Route]] = {}
        self.splits: dict[str, target_split.TargetSplit] = {}
        for route in routes:
            self.routes.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> model.Route | None:
        """Return the route with the longest prefix of a request's path.

        Args:
            host: Host of the request in lower case.
            target: Path and query of the request.

        Returns:
            The route, or None when none matches.
        """
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind('/') + 1
        while end:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def choose_target(self, route: model.Route) -> str:
        """Return the service that runs the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        split = self.splits.get(route.name)
        if split is None:
            split = target_split.TargetSplit(targets=route.targets)
            self.splits[route.name] = split
        return split.choose_next()
