"""Record of what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Writes one JSON line for each event to ``record.txt``.

    Attributes:
        started: Monotonic time of the start.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / 'record.txt').open('w', buffering=1)

    def write(self, event: str, **fields: object) -> None:
        """Write an event with the seconds since the start."""
        at = round(time.monotonic() - self.started, 4)
        self.file.write(json.dumps({'at': at, 'event': event, **fields}))
        self.file.write('\n')
