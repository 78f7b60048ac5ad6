"""Checks the requests that back ends ran against those that clients sent."""

import collections

from soak import backend_event
from soak import sent_request
from soak import soak_cluster

# Time after an acknowledged departure within which requests may still start.
DRAIN_BOUND_S = 2.0

# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = (429, 503)


def check_runs(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    services: dict[str, str],
) -> list[str]:
    """Check each run and the number of runs per request.

    Args:
        sent: All requests that clients sent.
        events: Events recorded by the back ends, ordered by time.
        services: Service by instance.

    Returns:
        One sentence for each violated guarantee.
    """
    findings = []
    known = {item.request_id: item for item in sent}
    runs = collections.Counter()
    for event in events:
        if event.event != 'run' or event.target.endswith('/ready'):
            continue
        runs[event.request_id] += 1
        root = event.request_id.partition('.')[0]
        request = known.get(root)
        if request is None:
            findings.append('%s ran and no client sent it' % event.request_id)
        elif root == event.request_id:
            findings += check_run(request, event, services)
    for item in sent:
        count = runs[item.request_id]
        if count > 1 and not item.idempotent:
            findings.append('%s ran %d times' % (item.request_id, count))
        if count and item.status in NOT_RUN_STATUSES and not item.idempotent:
            findings.append(
                '%s was told %d and ran' % (item.request_id, item.status)
            )
    return findings


def check_run(
    request: sent_request.SentRequest,
    event: backend_event.BackendEvent,
    services: dict[str, str],
) -> list[str]:
    """Check that a request ran unchanged and at the service of its route."""
    found = (event.service, event.method, event.target, event.caller)
    right = (
        request.service,
        request.method,
        request.target,
        services[request.instance],
    )
    if found == right:
        return []
    return ['%s ran as %s, sent as %s' % (event.request_id, found, right)]


def check_drains(events: list[backend_event.BackendEvent]) -> list[str]:
    """Check that no request starts at a back end that has left.

    A departure ends with the report that the back end is ready again. Its
    node may send requests before the back end has read the acknowledgement.
    """
    findings = []
    departed_at: dict[str, float] = {}
    for event in events:
        if event.event == 'start':
            departed_at.pop(event.name, None)
        elif event.event == 'state' and event.state == 'draining':
            departed_at.setdefault(event.name, event.at)
        elif event.event == 'report' and event.state == 'ready':
            departed_at.pop(event.name, None)
        elif event.event == 'run' and event.name in departed_at:
            late_s = event.at - departed_at[event.name]
            if late_s > DRAIN_BOUND_S:
                findings.append(
                    '%s ran at %s %.2f s after its departure was acknowledged'
                    % (event.request_id, event.name, late_s)
                )
    return findings


def check_budget(events: list[backend_event.BackendEvent]) -> list[str]:
    """Check the retry budget of each service in every window.

    The budget is computed from the first attempts in the window that ends at
    the retry, the window before it or the one half a window earlier, whichever
    has the most.
    """
    findings = []
    for service in soak_cluster.SERVICES:
        first_times: list[float] = []
        retry_times: list[float] = []
        seen = set()
        for event in events:
            if event.event == 'arrival' and event.service == service:
                times = (
                    retry_times if event.request_id in seen else first_times
                )
                times.append(event.at)
                seen.add(event.request_id)
        for end in retry_times:
            repeats = count_between(retry_times, end)
            requests = max(
                count_between(first_times, end - offset_s)
                for offset_s in (
                    0.0,
                    soak_cluster.REPEAT_WINDOW_S / 2,
                    soak_cluster.REPEAT_WINDOW_S,
                )
            )
            bound = (
                soak_cluster.REPEAT_RATIO * requests
                + soak_cluster.REPEAT_SLACK
            )
            if repeats > bound:
                findings.append(
                    '%s got %d repeats in a window, allowed are %.0f'
                    % (service, repeats, bound)
                )
                break
    return findings


def count_between(times: list[float], end: float) -> int:
    """Count the times within the window that ends at ``end``."""
    return sum(end - soak_cluster.REPEAT_WINDOW_S < at <= end for at in times)
