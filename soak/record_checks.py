"""Checks what clients and back ends saw in a run."""

from soak import answer_checks
from soak import key_checks
from soak import limit_checks
from soak import notice_checks
from soak import organisation_plan
from soak import pipeline_checks
from soak import run_checks
from soak import run_record
from soak import withdrawal_checks


def check_record(record: run_record.RunRecord) -> list[str]:
    """Return one sentence for each guarantee that a run violated."""
    sent, events = record.sent, record.events
    findings = [
        *answer_checks.check_answers(sent),
        *run_checks.check_runs(sent, events, record.services),
        *run_checks.check_drains(events),
        *run_checks.check_budget(events),
        *notice_checks.check_notices(sent, events, record.disturbed),
        *key_checks.check_keys(
            sent, events, {item.key for item in record.withdrawals}
        ),
        *key_checks.check_identities(sent, events),
        *pipeline_checks.check_unread(sent, events),
        *limit_checks.check_limits(
            sent, events, organisation_plan.ORGANISATIONS
        ),
    ]
    for change in record.withdrawals:
        findings += withdrawal_checks.check_withdrawal(
            change, sent, events, record.spans
        )
    return findings
