"""One sidecar process of a benchmark."""

import dataclasses
import os
import pathlib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarProcess:
    """A running sidecar.

    Attributes:
        name: Name of the instance.
        requests: Address ``ip:port`` for requests of clients.
        pid: Process id.
    """

    name: str
    requests: str
    pid: int

    def read_cpu_seconds(self) -> float:
        """Return the processor time of the process, user and system."""
        stat = pathlib.Path('/proc/%d/stat' % self.pid).read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
