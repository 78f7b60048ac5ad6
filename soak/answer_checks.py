"""Checks what clients were told."""

from soak import backend_event
from soak import sent_request

# A request that crosses the close of its connection ends this soon after it
# was sent, in seconds.
CROSSED_S = 0.5

# Answers of a node in place of a back end that was at work.
BROKEN_OFF = (502, 504)


def check_answers(sent: list[sent_request.SentRequest]) -> list[str]:
    """Check that each answer is the whole own one, or a failure."""
    return [
        '%s from %s: %s' % (item.request_id, item.instance, item.mistake)
        for item in sent
        if item.mistake
    ]


def check_planned(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
) -> list[str]:
    """Check that planned work broke off no request.

    Args:
        sent: All requests of clients.
        events: What the back ends recorded.

    Returns:
        The requests that were broken off, one sentence each.
    """
    ran = {item.request_id for item in events if item.event == 'run'}
    findings = []
    for item in sent:
        if not item.sent_at:
            continue
        took_s = item.ended_at - item.sent_at
        broken = item.request_id in ran and item.status in (0, *BROKEN_OFF)
        if broken or (item.status == 0 and took_s > CROSSED_S):
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
