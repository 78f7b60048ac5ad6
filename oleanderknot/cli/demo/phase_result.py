"""Measurements of one phase of the demo."""

import collections
import dataclasses

from oleanderknot.cli.demo import outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class PhaseResult:
    """Request outcomes and latencies of one phase.

    Attributes:
        name: Name of the phase.
        seconds: Duration of the phase.
        outcomes: Number of requests by kind and outcome.
        times_ms: Latency of each successful customer request.
    """

    name: str
    seconds: float
    outcomes: collections.Counter[tuple[str, outcome.Outcome]] = (
        dataclasses.field(default_factory=collections.Counter)
    )
    times_ms: list[float] = dataclasses.field(default_factory=list)

    def count(self, kind: str, *wanted: outcome.Outcome) -> int:
        """Return the number of requests of a kind with the given outcomes."""
        return sum(self.outcomes[kind, item] for item in wanted)

    def find_goodput(self) -> float:
        """Return the rate of successful customer requests per second."""
        whole = self.count('page', outcome.Outcome.WHOLE)
        whole += self.count('order', outcome.Outcome.WHOLE)
        return whole / self.seconds

    def find_median_ms(self) -> float:
        """Return the median latency of successful customer requests."""
        if not self.times_ms:
            return 0.0
        return sorted(self.times_ms)[len(self.times_ms) // 2]
