"""Fair shares of organisations: measured here, reported, and applied."""

import collections.abc
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model

# Shortest time between two log lines about the same change.
LOG_INTERVAL_S = 1.0


class ShareReports:
    """Owns what this node knows of the shares of organisations.

    Attributes:
        own: Shares in the calls of the local upstream.
        count: Counts an event by name.
        view: Reported excess at other upstreams.
        counted: Whether a call of an organisation has arrived.
        logged: Organisations in excess that the log names.
        logged_at: Monotonic time in seconds of the last log line.
    """

    def __init__(self) -> None:
        self.own = decisions.OrganisationShares(now=time.monotonic())
        self.view = decisions.ExcessView()
        self.count: collections.abc.Callable[[str], None] = lambda name: None
        self.counted = False
        self.logged: frozenset[str] = frozenset()
        self.logged_at = 0.0

    def count_arrival(self, call: model.Call, bonus: float) -> None:
        """Count a call that arrives for the local upstream.

        Args:
            call: The call.
            bonus: Amount by which its class is lowered.
        """
        if call.organisation:
            self.counted = True
            self.own.count(call, lower_class(call, bonus))

    def count_refusal(self, call: model.Call, bonus: float) -> None:
        """Count that a call did not run after its arrival was counted."""
        if call.organisation:
            self.own.count_refusal(lower_class(call, bonus))

    def build(
        self,
        level: float,
        dependencies: collections.abc.Iterable[tuple[str, str]],
    ) -> dict[str, float] | None:
        """Return the excess to report for a route; None for none.

        Args:
            level: Admission level of the local upstream.
            dependencies: Services and routes that the route depends on.
        """
        if not self.counted:
            return None
        now = time.monotonic()
        own = self.own.refresh(level, now)
        if own.keys() != self.logged and now - self.logged_at > LOG_INTERVAL_S:
            self.log(own, level, now)
        if not own and not self.view.factors:
            return None
        return decisions.merge_excess(
            (own, *(self.view.find(*item, now) for item in dependencies))
        )

    def find(self, call: model.Call) -> float:
        """Return the factor that worsens the number of a root request."""
        if not self.view.factors:
            return 1.0
        factors = self.view.find(call.service, call.route, time.monotonic())
        factor = factors.get(call.organisation, 1.0)
        if factor > 1:
            self.count('shares.worsened')
        return factor

    def log(
        self,
        own: collections.abc.Mapping[str, float],
        level: float,
        now: float,
    ) -> None:
        """Log which organisations exceed their share of the upstream."""
        self.logged = frozenset(own)
        self.logged_at = now
        logging.info(
            '%d organisations exceed their fair share of the upstream',
            len(own),
            extra={
                'call_fields': {
                    'event': 'organisations_in_excess',
                    'organisations': dict(own),
                    'upstream_level': round(level, 3),
                }
            },
        )


def lower_class(call: model.Call, bonus: float) -> int:
    """Return the class by which a call is admitted."""
    return max(0, call.request_class - int(bonus))
