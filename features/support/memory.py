"""Resident memory of processes."""

import pathlib
import time


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    status = pathlib.Path('/proc/%d/status' % pid).read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise ValueError('process %d has no resident memory' % pid)


def is_memory_stable(pids: list[int]) -> bool:
    """Return whether resident memory is unchanged after 0.3 s."""
    before = [read_resident_bytes(pid) for pid in pids]
    time.sleep(0.3)
    return before == [read_resident_bytes(pid) for pid in pids]
