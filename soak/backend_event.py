"""One line of the record of a stand-in back end."""

import dataclasses
import json
import pathlib


@dataclasses.dataclass(slots=True, kw_only=True)
class BackendEvent:
    """What a back end saw.

    Attributes:
        at: Monotonic time in seconds.
        event: ``start``, ``arrival``, ``run`` or ``state``.
        service: Service of the back end.
        name: Instance of the back end.
        request_id: Id of the request; empty for a state.
        method: HTTP method of a run.
        target: Path and query of a run.
        caller: Calling service of a run.
        state: State that the node has acknowledged, ``draining`` or
            ``ready``.
    """

    at: float
    event: str
    service: str
    name: str
    request_id: str = ''
    method: str = ''
    target: str = ''
    caller: str = ''
    state: str = ''


def read_events(folder: pathlib.Path) -> list[BackendEvent]:
    """Read the records of all back ends, in order of time."""
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
