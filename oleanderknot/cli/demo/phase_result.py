"""Measurements of one phase of the demo."""

import collections
import dataclasses

from oleanderknot.cli.demo import outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class PhaseResult:
    """Request outcomes and latencies of one phase.

    Attributes:
        name: Name of the phase.
        duration_s: Duration of the phase.
        outcomes: Number of requests by kind and outcome.
        latencies_ms: Latency of each successful customer request.
    """

    name: str
    duration_s: float
    outcomes: collections.Counter[tuple[str, outcome.Outcome]] = (
        dataclasses.field(default_factory=collections.Counter)
    )
    latencies_ms: list[float] = dataclasses.field(default_factory=list)

    def count(self, kind: str, *wanted: outcome.Outcome) -> int:
        """Return the number of requests of a kind with the given outcomes."""
        return sum(self.outcomes[kind, item] for item in wanted)

    def compute_goodput(self) -> float:
        """Return the rate of successful customer requests per second."""
        whole = self.count('page', outcome.Outcome.WHOLE)
        whole += self.count('order', outcome.Outcome.WHOLE)
        return whole / self.duration_s

    def compute_median_ms(self) -> float:
        """Return the median latency of successful customer requests."""
        if not self.latencies_ms:
            return 0.0
        return sorted(self.latencies_ms)[len(self.latencies_ms) // 2]
