"""What a node knows of the upstreams of a service, for benchmarks."""

from oleanderknot import decisions
from oleanderknot import model

CALL = model.Call(
    service='catalogue',
    method='GET',
    path='/',
    headers=[],
    request_class=model.RequestClass.BROWSING,
    deadline=0.0,
    trace_id='%032x' % 1,
    span_id='s',
    route='/',
)


def list_members(count: int) -> list[model.Member]:
    """Return the records of the instances of a service."""
    return [
        model.Member(
            instance='catalogue-%d' % number,
            incarnation=1,
            version=1,
            state=model.MemberState.TAKING,
            data_centre='dc%d' % (number % 3),
            host='127.0.0.1',
            peer_port=1,
            service='catalogue',
            slots=70,
        )
        for number in range(count)
    ]


def build_view(count: int) -> decisions.LoadView:
    """Build the view of a node that knows all upstreams of a service."""
    view = decisions.LoadView()
    for member in list_members(count):
        view.find(member)
    return view


def build_list(view: decisions.LoadView, count: int) -> decisions.UpstreamList:
    """Build the list of all upstreams of a service."""
    return decisions.build_list(
        list_members(count),
        view,
        identity=model.NodeIdentity(
            instance='own', incarnation=1, data_centre='dc0'
        ),
    )


def build_report(number: int) -> model.LoadReport:
    """Build a load report that names a time."""
    return model.LoadReport(
        service='catalogue',
        route='/',
        level=4.0,
        in_flight=number % 50,
        limit=70,
        own_time_s=0.01 + number % 7 / 1000,
        start=1,
    )
