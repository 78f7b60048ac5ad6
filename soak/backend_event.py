"""One event in the log file of a stand-in back end."""

import dataclasses
import json
import pathlib


@dataclasses.dataclass(slots=True, kw_only=True)
class BackendEvent:
    """An event that a stand-in back end recorded.

    Attributes:
        at: Monotonic time in seconds.
        event: ``start``, ``arrival``, ``run``, ``report``, ``state`` or
            ``notice``.
        service: Service of the back end.
        name: Instance name of the back end.
        request_id: Id of the request; empty for a ``state`` event.
        method: HTTP method of the request in a ``run`` event.
        target: Path and query of the request in a ``run`` event.
        caller: Calling service of the request in a ``run`` event.
        organisation: Organisation that a ``run`` event names; empty for none.
        credentials: ``Authorization`` header of the request in a ``run``
            event; empty without one.
        state: State that the node has acknowledged, ``draining`` or
            ``ready``, in a ``state`` event; one that the back end sends in a
            ``report`` event.
        limit: Requests per second that a ``notice`` names; 0 for none.
        leaving: Whether a ``notice`` says that the back end leaves.
    """

    at: float
    event: str
    service: str
    name: str
    request_id: str = ''
    method: str = ''
    target: str = ''
    caller: str = ''
    organisation: str = ''
    credentials: str = ''
    state: str = ''
    limit: float = 0.0
    leaving: bool = False


def read_events(folder: pathlib.Path) -> list[BackendEvent]:
    """Read the events of all back ends, ordered by time."""
    events = []
    for path in folder.glob('*.record'):
        for line in path.read_text().splitlines():
            fields = json.loads(line)
            fields['request_id'] = fields.pop('id', '')
            known = {
                name: fields[name]
                for name in BackendEvent.__slots__
                if name in fields
            }
            events.append(BackendEvent(**known))
    return sorted(events, key=lambda item: item.at)
