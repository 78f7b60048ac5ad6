"""Key under which decisions are counted."""

import dataclasses

from oleanderknot.model import request_class as classes
from oleanderknot.model import rule as rules
from oleanderknot.model import verdict as verdicts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecisionKey:
    """Aggregation key of a decision; equal keys are counted together.

    Attributes:
        ticket: Ticket in force.
        rule: Rule that decided.
        request_class: Priority class of the request.
        service: Requested service.
        verdict: Outcome of the request.
        root: Whether the request is the root of its call chain and was decided
            at the node where it entered.
    """

    ticket: int
    rule: rules.Rule
    request_class: classes.RequestClass
    service: str
    verdict: verdicts.Verdict
    root: bool
