"""Counts what was played in a run."""

from soak import limit_checks
from soak import organisation_plan
from soak import run_record


def count_outcomes(record: run_record.RunRecord) -> dict[str, int]:
    """Count requests and responses.

    Returns:
        The number of requests, of responses by status, of requests that were
        sent again behind a closing response, of requests that were refused
        with a withdrawn key, also at the node that restarted without the
        store, and the most requests of the limited organisation that ran in
        a window.
    """
    counts = {'sent': len(record.sent)}
    for item in record.sent:
        name = 'status_%d' % item.status
        counts[name] = counts.get(name, 0) + 1
    counts['resent'] = sum(item.unread for item in record.sent)
    withdrawn = [
        item
        for item in record.sent
        if item.status == 401 and item.key == organisation_plan.WITHDRAWN_KEY
    ]
    counts['withdrawn_401'] = len(withdrawn)
    counts['stranded_401'] = sum(
        span.fault.kind == 'strand_node'
        and span.fault.instance == item.instance
        and span.began_at < item.sent_at < span.ended_at
        for span in record.spans
        for item in withdrawn
    )
    limited = organisation_plan.ORGANISATIONS_BY_KEY[
        organisation_plan.LIMITED_KEY
    ]
    counts['limited_most'] = limit_checks.count_most(
        record.sent, record.events, limited
    )
    return counts
