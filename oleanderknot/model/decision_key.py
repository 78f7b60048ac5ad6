"""What decisions are counted under."""

import dataclasses

from oleanderknot.model import request_class as classes
from oleanderknot.model import rule as rules
from oleanderknot.model import verdict as verdicts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecisionKey:
    """The kind of a decision; equal decisions are counted together.

    Attributes:
        ticket: Ticket in force.
        rule: Rule that decided.
        request_class: Importance of the request.
        service: Service that was asked for.
        verdict: Outcome of the request.
        root: Whether the request is the root of its chain, at its first node.
    """

    ticket: int
    rule: rules.Rule
    request_class: classes.RequestClass
    service: str
    verdict: verdicts.Verdict
    root: bool
