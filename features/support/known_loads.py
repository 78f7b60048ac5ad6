"""What one node knows of the upstreams of a service, for steps."""

import collections

from oleanderknot import decisions
from oleanderknot import model

SLOTS = 10


def build_view(context, names):
    """Build the view of a node on idle upstreams of a service."""
    context.view = decisions.LoadView()
    context.starts = collections.Counter()
    context.now = 10.0
    for name in names:
        context.view.find(
            model.Member(
                instance=name,
                incarnation=1,
                version=1,
                state=model.MemberState.TAKING,
                data_centre='dc1',
                host='127.0.0.1',
                peer_port=1,
                service='s',
                slots=SLOTS,
            )
        )


def report(context, name, *, in_flight=0, own_time_s=None, route='r'):
    """Apply a report of an upstream."""
    item = model.LoadReport(
        service='s',
        route=route,
        level=decisions.MAX_LEVEL,
        in_flight=in_flight,
        limit=SLOTS,
        own_time_s=own_time_s,
        start=context.starts[name],
    )
    context.view.apply_reports(name, [item], context.now)


def choose(context, rng=None):
    """Return the name of the chosen upstream."""
    candidates = [
        decisions.build_candidate(
            load,
            context.now,
            instance=name,
            local=True,
            suspect=False,
            level=decisions.MAX_LEVEL,
        )
        for name, load in context.view.loads.items()
    ]
    draw = rng.randrange if rng else lambda count: 0
    return decisions.choose_balanced(
        candidates, priority=0.0, tried=(), draw=draw
    ).instance
