"""Expected time of calls, by route."""

# Weight of a new call in the mean.
CALL_WEIGHT = 0.1

# The expectation halves in this time without a call. Otherwise a route whose
# calls were all refused as too slow would never be tried again.
HALF_LIFE_S = 2.0

# Routes come from tickets; the bound guards against a policy without end.
MAX_ROUTES = 1000


class ServiceTimes:
    """Keeps a moving mean of the time until the answer's head.

    Attributes:
        routes: Mean and time of the last call, both in seconds, by method
            and path prefix.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], tuple[float, float]] = {}

    def count(
        self, method: str, route: str, elapsed_s: float, now: float
    ) -> None:
        """Count an answered call.

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
        """Return the seconds that a call is expected to take."""
        known = self.routes.get((method, route))
        if known is None:
            return 0.0
        mean, counted_at = known
        return mean * 0.5 ** ((now - counted_at) / HALF_LIFE_S)
