"""Refuses calls before they are sent, when no upstream would admit them."""

from oleanderknot import decisions
from oleanderknot import model


def build_early_refusal(
    call: model.Call,
    members: decisions.MemberTable,
    policy: decisions.PolicyTable,
    level: float,
) -> model.Refusal:
    """Build the refusal of a call for which no upstream was found.

    Args:
        call: The call.
        members: Nodes and upstreams that are known.
        policy: Policy in force.
        level: Admission level of the call's service and route.

    Returns:
        The refusal; the call was sent nowhere.
    """
    admitting = [
        member
        for member in members.list_service(call.service)
        if member.state in decisions.ADMITTING_STATES
    ]
    stop_tickets = [
        policy.find_blocking_ticket(item.instance) for item in admitting
    ]
    wait_ms = 0
    if admitting and None not in stop_tickets:
        rule = model.Rule.NOT_TAKING_WORK
        detail = 'tickets take all upstreams of %s out' % call.service
        call.ticket = max(stop_tickets)
    elif admitting:
        rule = model.Rule.EARLY_REFUSAL
        priority = decisions.rank_call(call)
        detail = (
            'no upstream of %s admits this class now (rank %.2f, level %.2f)'
            % (call.service, priority, level)
        )
        wait_ms = decisions.estimate_wait_ms(priority, level)
    else:
        rule = model.Rule.NO_UPSTREAM
        detail = 'no upstream of %s is known' % call.service
    refusal = model.build_refusal(call, model.Verdict.NOT_RUN, rule, detail)
    refusal.retry_after_ms = wait_ms
    return refusal
