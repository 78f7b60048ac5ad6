"""Refusal of a request that got no response from its upstream."""

import dataclasses

from oleanderknot.model import call as calls
from oleanderknot.model import load_report
from oleanderknot.model import rule as rules
from oleanderknot.model import verdict as verdicts


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Failure of a request, its reason, and whether it may have run.

    Attributes:
        verdict: Whether the request may have run.
        rule: The rule that decided.
        ticket: Number of the ticket in force; 0 for the built-in policy.
        service: Service that the decision concerns.
        detail: One English sentence for operators.
        retry_after_ms: Milliseconds after which a retry may be admitted;
            0 when unknown.
        unspent: Unused retries of the call's allowance.
        reports: Load reports of the refusing node.
    """

    verdict: verdicts.Verdict
    rule: rules.Rule
    service: str
    detail: str
    ticket: int = 0
    retry_after_ms: int = 0
    unspent: int = 0
    reports: tuple[load_report.LoadReport, ...] = ()


def build_refusal(
    call: calls.Call,
    verdict: verdicts.Verdict,
    rule: rules.Rule,
    detail: str,
) -> Refusal:
    """Build the refusal of a call, with the call's service and ticket.

    Args:
        call: The call.
        verdict: Whether the call may have run.
        rule: The rule that decided.
        detail: One English sentence for operators.

    Returns:
        The refusal; it returns no unused retries to the caller.
    """
    return Refusal(
        verdict=verdict,
        rule=rule,
        service=call.service,
        detail=detail,
        ticket=call.ticket,
    )
