"""Time of the decisions about competing callers."""

import collections.abc
import functools
import itertools
import random

from oleanderknot import decisions
from oleanderknot import model

ORGANISATION_COUNTS = (10, 1000, 100000)

# Takes a function of the index of a call; returns microseconds a call.
TimeFunction = collections.abc.Callable[
    [collections.abc.Callable[[int], object]], float
]

# Refusals that a node remembers by the settings of the platform.
REMEMBERED_REFUSALS = 8192

TRACE_ID = '0123456789abcdef0123456789abcdef'


def time_return(time_calls: TimeFunction, count: int) -> float:
    """Time the match of a request when other clients were refused.

    Args:
        time_calls: Times a function.
        count: Number of organisations whose clients were refused.
    """
    memory = decisions.RefusalMemory(capacity=REMEMBERED_REFUSALS)
    digest = functools.partial(
        decisions.digest_request,
        method='GET',
        host='shop.example',
        path='/page/1',
        content=b'',
    )
    names = ['organisation-%d' % number for number in range(count)]
    for name in names:
        memory.add(
            digest(organisation=name),
            decisions.RememberedRefusal(
                refused_at=0.0, return_at=0.5, client_deadline=9.0
            ),
            0.0,
        )

    def match(number: int) -> None:
        entry = memory.match(
            digest(organisation=names[number % count]), 9.0, 0.3
        )
        if entry is not None:
            decisions.assign_fraction(TRACE_ID, earlier=entry)

    return time_calls(match)


def time_refusal(time_calls: TimeFunction, count: int) -> float:
    """Time the assignment of a return time, and its entry in the memory.

    Args:
        time_calls: Times a function.
        count: Number of organisations whose clients are refused.
    """
    memory = decisions.RefusalMemory(capacity=REMEMBERED_REFUSALS)
    schedule = decisions.ReturnSchedule(now=0.0)
    names = ['organisation-%d' % number for number in range(count)]

    def refuse(number: int) -> None:
        now = number / 1000
        wait_s = schedule.assign(
            now=now, earliest_s=0.25, latest_s=2.0, draw=lambda: 0.5
        )
        digest = decisions.digest_request(
            organisation=names[number % count],
            method='GET',
            host='shop.example',
            path='/page/1',
            content=b'',
        )
        entry = decisions.RememberedRefusal(
            refused_at=now, return_at=now + wait_s, client_deadline=now + 6.0
        )
        memory.add(digest, entry, now)

    return time_calls(refuse)


def build_calls(names: list[str]) -> list[model.Call]:
    """Build one call of each organisation."""
    rng = random.Random(1)
    return [
        model.Call(
            service='short',
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass.BROWSING,
            deadline=9.0,
            trace_id='%032x' % rng.getrandbits(128),
            span_id='r1',
            route='/',
            organisation=name,
        )
        for name in names
    ]


def time_share_count(time_calls: TimeFunction, count: int) -> float:
    """Time the count of an arrival at a full upstream, 600 of them a second.

    Args:
        time_calls: Times a function.
        count: Number of organisations that send calls.
    """
    shares = decisions.OrganisationShares(now=0.0)
    calls = build_calls(['organisation-%d' % item for item in range(count)])
    clock = (number / 600 for number in itertools.count())

    def arrive(number: int) -> None:
        shares.count(calls[number % count], 1)
        shares.refresh(1.5, next(clock))

    return time_calls(arrive)


def time_share_rank(time_calls: TimeFunction, count: int) -> float:
    """Time the rank of a request while organisations are in excess.

    Args:
        time_calls: Times a function.
        count: Number of organisations that send requests.
    """
    view = decisions.ExcessView()
    calls = build_calls(['organisation-%d' % item for item in range(count)])
    report = model.LoadReport(
        service='short',
        route='/',
        level=1.5,
        in_flight=1,
        limit=25,
        excess={call.organisation: 2.0 for call in calls[:8]},
    )

    def rank(number: int) -> None:
        view.apply([report], 0.0)
        call = calls[number % count]
        factors = view.find(call.service, call.route, 0.0)
        excess = factors.get(call.organisation, 1.0)
        decisions.assign_fraction(call.trace_id, excess=excess)

    return time_calls(rank)


TIMERS = {
    'return': time_return,
    'return_refusal': time_refusal,
    'share_count': time_share_count,
    'share_rank': time_share_rank,
}
