"""Checks that nodes follow the notices in the answers of back ends."""

import collections.abc

from soak import backend_event
from soak import sent_request

# Time after the first notice from which a limit is checked, and the span and
# slack of the check.
STABLE_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5

# Time after an answer from which its node counts as told.
TOLD_AFTER_S = 0.5

# Time after an answer that says that the back end leaves, within which
# requests may still reach it.
DRAIN_BOUND_S = 2.0


class NoticeHistory:
    """What nodes were told by one back end, and what it got from them.

    Attributes:
        name: Instance of the back end.
        rate: Requests per second that it names; 0 without a limit.
        leaving: Whether it says that it leaves.
        begun_at: Monotonic time in seconds of the notice.
        ended_at: Monotonic time in seconds at which the notice ended.
    """

    def __init__(
        self,
        *,
        name: str,
        rate: float,
        leaving: bool,
        begun_at: float,
        ended_at: float,
    ) -> None:
        self.name = name
        self.rate = rate
        self.leaving = leaving
        self.begun_at = begun_at
        self.ended_at = ended_at

    def list_counted(
        self,
        sent: dict[str, sent_request.SentRequest],
        events: list[backend_event.BackendEvent],
        disturbed: dict[str, list[float]],
        told_after_s: float,
    ) -> list[backend_event.BackendEvent]:
        """Return the arrivals from nodes that had passed on the notice.

        Args:
            sent: Requests by id.
            events: Events of all back ends, ordered by time.
            disturbed: Monotonic times in seconds at which a node was stopped,
                killed, paused or cut off, by instance.
            told_after_s: Seconds from the end of an answer until its node
                counts as told.
        """
        own = [
            event
            for event in events
            if event.name == self.name
            and self.begun_at <= event.at <= self.ended_at
            and event.request_id in sent
        ]
        told: dict[str, list[float]] = {}
        for event in own:
            request = sent[event.request_id]
            if event.event == 'run' and request.status == 200:
                told.setdefault(request.instance, []).append(request.ended_at)
        counted = []
        for event in own:
            instance = sent[event.request_id].instance
            last = max(
                (at for at in disturbed.get(instance, ()) if at < event.at),
                default=self.begun_at,
            )
            if event.event == 'arrival' and any(
                last < at <= event.at - told_after_s
                for at in told.get(instance, ())
            ):
                counted.append(event)
        return counted


def list_notices(
    events: list[backend_event.BackendEvent],
) -> list[NoticeHistory]:
    """Return the notices; each ends with the next or a restart."""
    open_notices: dict[str, NoticeHistory] = {}
    found = []
    for event in events:
        if event.event in ('start', 'notice'):
            before = open_notices.pop(event.name, None)
            if before is not None:
                before.ended_at = event.at
        if event.event == 'notice' and (event.limit or event.leaving):
            notice = NoticeHistory(
                name=event.name,
                rate=event.limit,
                leaving=event.leaving,
                begun_at=event.at,
                ended_at=float('inf'),
            )
            open_notices[event.name] = notice
            found.append(notice)
    return found


def check_notices(
    sent: collections.abc.Iterable[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    disturbed: dict[str, list[float]],
) -> list[str]:
    """Check that limits and departures were respected.

    Args:
        sent: All requests that clients sent.
        events: Events recorded by the back ends, ordered by time.
        disturbed: Times at which nodes were disturbed, by instance.

    Returns:
        One sentence for each violated guarantee.
    """
    by_id = {item.request_id: item for item in sent}
    findings = []
    for notice in list_notices(events):
        if notice.rate:
            findings += check_limit(notice, by_id, events, disturbed)
        if notice.leaving:
            findings += check_leaving(notice, by_id, events, disturbed)
    return findings


def check_limit(
    notice: NoticeHistory,
    sent: dict[str, sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    disturbed: dict[str, list[float]],
) -> list[str]:
    """Check the arrivals in each span of ``WINDOW_S``."""
    counted = notice.list_counted(sent, events, disturbed, TOLD_AFTER_S)
    bound = LIMIT_FACTOR * WINDOW_S * notice.rate + LIMIT_SLACK
    for last in counted:
        if last.at < notice.begun_at + STABLE_S:
            continue
        number = sum(
            last.at - WINDOW_S < event.at <= last.at for event in counted
        )
        if number > bound:
            return [
                '%s named %g requests a second and got %d in %g s'
                % (notice.name, notice.rate, number, WINDOW_S)
            ]
    return []


def check_leaving(
    notice: NoticeHistory,
    sent: dict[str, sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    disturbed: dict[str, list[float]],
) -> list[str]:
    """Check that no request was sent long after the notice was passed on."""
    return [
        '%s reached %s although its node had passed on that it leaves'
        % (event.request_id, notice.name)
        for event in notice.list_counted(
            sent, events, disturbed, DRAIN_BOUND_S
        )
        if sent[event.request_id].sent_at > notice.begun_at + DRAIN_BOUND_S
    ]
