"""Expected service time of calls, by method and route."""

# Weight of one call in the moving average.
CALL_WEIGHT = 0.1

# Half-life of the expected time without calls. Otherwise, a route whose calls
# are all refused as too slow would never be tried again.
HALF_LIFE_S = 2.0

# Routes come from tickets; the bound limits the memory for a huge policy.
MAX_ROUTES = 1000


class ServiceTimes:
    """Keeps a moving average of the time until the head of the answer.

    Attributes:
        routes: Average and monotonic time of the last call, both in seconds,
            by method and path prefix.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], tuple[float, float]] = {}

    def count(
        self, method: str, route: str, elapsed_s: float, now: float
    ) -> None:
        """Add an answered call to the average of its route.

        Args:
            method: HTTP method.
            route: Path prefix of the route.
            elapsed_s: Seconds from the start to the head of the answer.
            now: Monotonic time in seconds.
        """
        key = (method, route)
        known = self.routes.get(key)
        if known is None:
            if len(self.routes) < MAX_ROUTES:
                self.routes[key] = (elapsed_s, now)
            return
        mean = known[0] + CALL_WEIGHT * (elapsed_s - known[0])
        self.routes[key] = (mean, now)

    def expect(self, method: str, route: str, now: float) -> float:
        """Return the expected service time of a call in seconds."""
        known = self.routes.get((method, route))
        if known is None:
            return 0.0
        mean, counted_at = known
        return mean * 0.5 ** ((now - counted_at) / HALF_LIFE_S)
