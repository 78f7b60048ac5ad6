"""Excess of organisations at other upstreams, from their load reports."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import organisation_shares

# Weight of a new report. The upstreams of a service see different calls; the
# smoothed factor is about the mean of the last reports.
REPORT_WEIGHT = 0.2

# Time without a report after which the factors no longer hold.
MAX_AGE_S = 1.0

# Factor below which an organisation is no longer in excess.
MIN_FACTOR = 1.02


class ExcessView:
    """Keeps the reported excess by service and route.

    Attributes:
        factors: Smoothed factor by organisation, by service and route; only
            where there is one.
        reported_at: Monotonic time in seconds of the last report, by the same
            keys.
    """

    def __init__(self) -> None:
        self.factors: dict[tuple[str, str], dict[str, float]] = {}
        self.reported_at: dict[tuple[str, str], float] = {}

    def apply(
        self, reports: collections.abc.Iterable[model.LoadReport], now: float
    ) -> None:
        """Apply the load reports that an answer carries.

        Args:
            reports: The reports.
            now: Monotonic time in seconds.
        """
        for report in reports:
            key = report.service, report.route
            known = self.factors.get(key)
            if known is None and not report.excess:
                continue
            factors = smooth(known or {}, report.excess or {})
            if factors:
                self.factors[key] = factors
                self.reported_at[key] = now
            else:
                self.forget(key)

    def forget(self, key: tuple[str, str]) -> None:
        """Drop what was reported of a service and route."""
        self.factors.pop(key, None)
        self.reported_at.pop(key, None)

    def find(
        self, service: str, route: str, now: float
    ) -> collections.abc.Mapping[str, float]:
        """Return the factors by organisation; empty if there are none."""
        key = service, route
        factors = self.factors.get(key)
        if factors is None:
            return {}
        if now - self.reported_at[key] > MAX_AGE_S:
            self.forget(key)
            return {}
        return factors


def smooth(
    known: collections.abc.Mapping[str, float],
    reported: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return smoothed factors; an organisation that is missing has 1."""
    factors = {}
    for name, factor in reported.items():
        old = known.get(name, 1.0)
        factors[name] = old + REPORT_WEIGHT * (factor - old)
    for name, old in known.items():
        if name not in reported:
            factor = old + REPORT_WEIGHT * (1.0 - old)
            if factor >= MIN_FACTOR:
                factors[name] = factor
    return factors


def merge_excess(
    parts: collections.abc.Iterable[collections.abc.Mapping[str, float]],
) -> dict[str, float] | None:
    """Return the largest factors of several services; None for none."""
    merged: dict[str, float] = {}
    for part in parts:
        for name, factor in part.items():
            merged[name] = max(factor, merged.get(name, 1.0))
    if len(merged) > organisation_shares.MAX_REPORTED:
        names = sorted(merged, key=merged.__getitem__, reverse=True)
        merged = {
            name: merged[name]
            for name in names[: organisation_shares.MAX_REPORTED]
        }
    return merged or None
