"""Time that an upstream works on the calls of each route."""

# Weight of one call in the moving average. Service times of single calls vary
# by more than the speeds of upstreams do.
CALL_WEIGHT = 0.05

# Calls of a route before its time is reported. The first calls of an upstream
# that has just started are slow.
MIN_CALLS = 5

# Routes come from the policy; the bound limits the memory for a huge one.
MAX_ROUTES = 1000


class SpeedMeter:
    """Measures the own time of calls at the upstream of this node.

    Attributes:
        start: Number that tells the starts of the upstream apart.
        routes: Number of calls and their mean own time in seconds, by path
            prefix of the route.
    """

    def __init__(self, *, start: int) -> None:
        self.start = start
        self.routes: dict[str, tuple[int, float]] = {}

    def count(self, route: str, own_time_s: float) -> None:
        """Add an answered call to the mean of its route.

        Args:
            route: Path prefix of the route.
            own_time_s: Seconds that the upstream worked on the call, without
                the wait for its nested calls.
        """
        known = self.routes.get(route)
        if known is None:
            if len(self.routes) < MAX_ROUTES:
                self.routes[route] = (1, own_time_s)
            return
        calls, mean = known
        calls += 1
        weight = max(CALL_WEIGHT, 1 / calls)
        self.routes[route] = (calls, mean + weight * (own_time_s - mean))

    def find(self, route: str) -> float | None:
        """Return the mean own time in seconds; None with too few calls."""
        calls, mean = self.routes.get(route, (0, 0.0))
        return mean if calls >= MIN_CALLS and mean > 0 else None
