"""Checks the responses that clients received."""

from soak import backend_event
from soak import sent_request

# A request that is sent while its connection is being closed fails within
# this time after it was sent.
CLOSE_RACE_S = 0.5

# Statuses that a node returns when a back end fails while it runs a request.
INTERRUPTED_STATUSES = (502, 504)


def check_answers(sent: list[sent_request.SentRequest]) -> list[str]:
    """Check that each response is complete and belongs to its request."""
    return [
        '%s from %s: %s' % (item.request_id, item.instance, item.mismatch)
        for item in sent
        if item.mismatch
    ]


def check_planned(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
) -> list[str]:
    """Check that planned operations interrupted no request.

    Args:
        sent: All requests that clients sent.
        events: Events recorded by the back ends.

    Returns:
        One sentence for each interrupted request.
    """
    ran = {item.request_id for item in events if item.event == 'run'}
    findings = []
    for item in sent:
        if not item.sent_at:
            continue
        took_s = item.ended_at - item.sent_at
        broken = item.request_id in ran and item.status in (
            0,
            *INTERRUPTED_STATUSES,
        )
        if broken or (item.status == 0 and took_s > CLOSE_RACE_S):
            findings.append(
                '%s at %s ended with %d %s after %.2f s'
                % (
                    item.request_id,
                    item.instance,
                    item.status,
                    item.error,
                    took_s,
                )
            )
    return findings


def check_calm(sent: list[sent_request.SentRequest]) -> list[str]:
    """Check that no request failed in a run without faults.

    A request on an idle connection that its node closes at the same time may
    get no answer.
    """
    return [
        '%s %s at %s got %d without any fault'
        % (item.method, item.request_id, item.instance, item.status)
        for item in sent
        if item.status in INTERRUPTED_STATUSES
    ]
