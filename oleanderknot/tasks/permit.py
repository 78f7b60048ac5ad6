"""Permit for a call to run at the upstream."""

import dataclasses

from oleanderknot import decisions


@dataclasses.dataclass(slots=True, kw_only=True)
class Permit:
    """Permit for one call to run at the upstream.

    Attributes:
        cohort: Window in which the call started.
        started_at: Event loop time in seconds at which the call started.
        outcome_recorded: Whether the limit has received the outcome.
    """

    cohort: decisions.CallCohort
    started_at: float
    outcome_recorded: bool = False
