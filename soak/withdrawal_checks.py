"""Checks that a withdrawn API key becomes invalid in time."""

from soak import backend_event
from soak import fault_span
from soak import key_checks
from soak import organisation_plan
from soak import sent_request
from soak import withdrawal

# Faults of the store during which nodes cannot learn of a policy.
STORE_KINDS = ('restore_store', 'strand_node')
STORE_VARIANTS = ('silent', 'down', 'busy')


def check_withdrawal(
    change: withdrawal.Withdrawal,
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    spans: list[fault_span.FaultSpan],
) -> list[str]:
    """Check the requests with a withdrawn key.

    Args:
        change: The withdrawal.
        sent: All requests that clients sent.
        events: Events of all back ends.
        spans: Faults of the run.

    Returns:
        One sentence for each request that was served too late, or refused
        too early.
    """
    ran = {item.request_id for item in events if item.event == 'run'}
    findings = []
    for item in sent:
        if item.key != change.key:
            continue
        if item.status == 401 and item.ended_at < change.put_at:
            findings.append(
                '%s at %s got 401 before its key was withdrawn'
                % (item.request_id, item.instance)
            )
        served = (
            item.status not in key_checks.REFUSED_STATUSES
            or item.request_id in ran
        )
        if served and item.sent_at > find_due(change, item.instance, spans):
            findings.append(
                '%s at %s got %d%s %.2f s after its key was withdrawn'
                % (
                    item.request_id,
                    item.instance,
                    item.status,
                    ' and ran' if item.request_id in ran else '',
                    item.sent_at - change.acknowledged_at,
                )
            )
    return findings


def find_due(
    change: withdrawal.Withdrawal,
    instance: str,
    spans: list[fault_span.FaultSpan],
) -> float:
    """Return when a withdrawn key must be invalid at a node.

    The time starts anew when the store returns or the node continues to run,
    if one of them was away before the key had to be invalid.
    """
    due = change.acknowledged_at + organisation_plan.REVOCATION_S
    for span in sorted(spans, key=lambda item: item.began_at):
        if (
            keeps_out_of_touch(span, instance)
            and span.began_at < due
            and span.ended_at > change.acknowledged_at
        ):
            due = max(due, span.ended_at + organisation_plan.REVOCATION_S)
    return due


def keeps_out_of_touch(span: fault_span.FaultSpan, instance: str) -> bool:
    """Return whether a node could not learn of a policy during a fault."""
    fault = span.fault
    if fault.kind == 'harm_store':
        return fault.variant in STORE_VARIANTS
    if fault.kind == 'pause_node':
        return fault.instance == instance
    return fault.kind in STORE_KINDS
