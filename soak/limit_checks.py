"""Checks the limits of organisations over all nodes."""

import collections
import collections.abc

from soak import backend_event
from soak import http_attempt
from soak import sent_request

# The bound on the requests of an organisation that run in a window.
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20

# Share of the requests of an organisation inside its limit that the limit may
# refuse in a run without faults.
REFUSED_SHARE = 0.02

# Time after the start of all nodes in which homes may have no tokens: nodes
# support no home for 2.25 s after their start, and are asked once a second.
START_S = 3.25


def check_limits(
    sent: collections.abc.Iterable[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    organisations: dict[str, dict[str, object]],
) -> list[str]:
    """Check the number of requests that run in each window.

    A request that runs twice in a window counts once.

    Args:
        sent: All requests that clients sent.
        events: Events of all back ends, ordered by time.
        organisations: Specifications of the organisations by name.

    Returns:
        One sentence for each organisation whose limit was exceeded.
    """
    findings = []
    for name, specification in organisations.items():
        rate = specification.get('ratePerS', 0)
        if not rate:
            continue
        allowed = (rate * WINDOW_S + specification['burst']) * (
            1 + OVERSHOOT
        ) + SLACK
        most = count_most(sent, events, name)
        if most > allowed:
            findings.append(
                '%d requests of %s ran in %g s, allowed are %.0f'
                % (most, name, WINDOW_S, allowed)
            )
    return findings


def count_most(
    sent: collections.abc.Iterable[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    organisation: str,
) -> int:
    """Return the most requests of an organisation that ran in a window.

    Args:
        sent: All requests that clients sent.
        events: Events of all back ends, ordered by time.
        organisation: Name of the organisation.
    """
    own = {
        item.request_id for item in sent if item.organisation == organisation
    }
    window: collections.deque[backend_event.BackendEvent] = collections.deque()
    counts: collections.Counter[str] = collections.Counter()
    most = 0
    for event in events:
        if event.event != 'run' or event.request_id not in own:
            continue
        window.append(event)
        counts[event.request_id] += 1
        while window[0].at <= event.at - WINDOW_S:
            first = window.popleft()
            counts[first.request_id] -= 1
            if not counts[first.request_id]:
                del counts[first.request_id]
        most = max(most, len(counts))
    return most


def check_refusals(
    sent: list[sent_request.SentRequest], organisation: str, begun_at: float
) -> list[str]:
    """Check the refusals of an organisation that is inside its limit.

    Args:
        sent: All requests that clients sent.
        organisation: Name of the organisation.
        begun_at: Monotonic time in seconds at which all nodes served requests.

    Returns:
        One sentence if too many were refused.
    """
    own = [
        item
        for item in sent
        if item.organisation == organisation
        and item.sent_at > begun_at + START_S
    ]
    refused = sum(item.status == http_attempt.QUOTA_STATUS for item in own)
    if refused <= REFUSED_SHARE * len(own):
        return []
    return [
        '%d of %d requests of %s, which is inside its limit, got 429'
        % (refused, len(own), organisation)
    ]
