"""Times that the upstreams of a service work on calls of one route."""

# Reports older than this do not count for the mean.
RETENTION_S = 30.0

# Weight of one call in the moving average of the time of calls.
CALL_WEIGHT = 0.05

# Bounds of the ratio of an upstream's time to the mean of its service. Beyond
# them, another cause than the speed of its machine is likely.
MIN_RATIO = 0.25
MAX_RATIO = 4.0


class RouteTimes:
    """Compares the upstreams of a service by their reported times.

    Attributes:
        times: Reported time and monotonic time of the report, both in
            seconds, by instance.
        total_s: Sum of the reported times in seconds.
        call_s: Mean time in seconds from the choice to the answer of a call,
            with its wait and its nested calls; 0 without a call.
        pruned_at: Monotonic time in seconds of the last removal of old
            reports.
    """

    def __init__(self) -> None:
        self.times: dict[str, tuple[float, float]] = {}
        self.total_s = 0.0
        self.call_s = 0.0
        self.pruned_at = 0.0

    def record_call_time(self, call_s: float) -> None:
        """Add the time of an answered call, in seconds."""
        weight = CALL_WEIGHT if self.call_s else 1.0
        self.call_s += weight * (call_s - self.call_s)

    def compare(self, instance: str, own_time_s: float, now: float) -> float:
        """Add a report, and return the relative time of a call there.

        The upstreams of a service differ only in the time that they work on a
        call themselves. A call of which most is spent in nested calls takes
        nearly as long at a slow upstream as at a fast one.

        Args:
            instance: Instance of the upstream.
            own_time_s: Reported time in seconds.
            now: Monotonic time in seconds.

        Returns:
            The time of a call, relative to the mean of the service: 1 for an
            upstream of mean speed and more for slower ones.
        """
        known = self.times.get(instance)
        self.total_s += own_time_s - (known[0] if known else 0.0)
        self.times[instance] = (own_time_s, now)
        if now - self.pruned_at > RETENTION_S:
            self.prune(now)
        mean_s = self.total_s / len(self.times)
        ratio = 1.0 + (own_time_s - mean_s) / max(mean_s, self.call_s)
        return min(MAX_RATIO, max(MIN_RATIO, ratio))

    def prune(self, now: float) -> None:
        """Remove old reports, which also removes instances that have left."""
        self.pruned_at = now
        self.times = {
            instance: item
            for instance, item in self.times.items()
            if now - item[1] <= RETENTION_S
        }
        self.total_s = sum(item[0] for item in self.times.values())

    def remove(self, instance: str) -> None:
        """Remove the report of an instance, if there is one."""
        known = self.times.pop(instance, None)
        if known is not None:
            self.total_s -= known[0]
