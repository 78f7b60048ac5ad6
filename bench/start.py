"""Cost of a start of a sidecar, beside that of its libraries alone."""

import os
import pathlib
import statistics
import subprocess
import sys
import time

from bench import figure
from features.support import fleet
from features.support import memory
from features.support import system as systems

# Libraries that every sidecar needs: event loop, HTTP parser, log, encoding
# between nodes, settings and validation.
LIBRARIES = (
    'uvloop',
    'httptools',
    'absl.logging',
    'thrift',
    'yaml',
    'pydantic',
)
SIDECAR_MODULE = 'oleanderknot.node.run_sidecar'

# Starts of each program; the median counts.
STARTS = 5

# Prints processor time, resident memory and number of modules after imports.
IMPORT_PROGRAM = """
import resource, sys
import {modules}
usage = resource.getrusage(resource.RUSAGE_SELF)
cpu = usage.ru_utime + usage.ru_stime
print(cpu, usage.ru_maxrss / 1024, len(sys.modules))
"""


def measure_imports(*modules: str) -> tuple[float, float, float]:
    """Return CPU seconds, MB of memory and number of modules of imports."""
    rows = []
    for _ in range(STARTS):
        output = subprocess.run(
            [
                sys.executable,
                '-c',
                IMPORT_PROGRAM.format(modules=', '.join(modules)),
            ],
            stdout=subprocess.PIPE,
            check=True,
            text=True,
        ).stdout
        rows.append([float(value) for value in output.split()])
    return tuple(statistics.median(column) for column in zip(*rows))


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path('/proc/%d/stat' % pid).read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def measure_starts() -> tuple[float, float, float]:
    """Return CPU seconds, wall seconds and MB until a sidecar listens."""
    rows = []
    system = systems.System()
    try:
        cluster = fleet.Fleet(system=system)
        cluster.start_store()
        for index in range(STARTS):
            started = time.monotonic()
            item = cluster.start('one%d' % index, 'catalogue')
            cluster.wait_until_listening(item)
            pid = item.process.popen.pid
            rows.append(
                (
                    read_cpu_seconds(pid),
                    time.monotonic() - started,
                    memory.read_resident_bytes(pid) / 2**20,
                )
            )
    finally:
        system.stop()
    return tuple(statistics.median(column) for column in zip(*rows))


def measure() -> list[figure.Figure]:
    """Measure starts of a sidecar and the imports of its libraries."""
    libraries_cpu, libraries_mb, libraries_count = measure_imports(*LIBRARIES)
    _, _, count = measure_imports(SIDECAR_MODULE)
    cpu, wall, resident = measure_starts()
    note = 'until it listens; median of %d starts' % STARTS
    return [
        figure.Figure(
            name='start.libraries_cpu', value=libraries_cpu, unit='s'
        ),
        figure.Figure(
            name='start.libraries_memory', value=libraries_mb, unit='MB'
        ),
        figure.Figure(
            name='start.libraries_modules',
            value=libraries_count,
            unit='modules',
        ),
        figure.Figure(name='start.modules', value=count, unit='modules'),
        figure.Figure(name='start.cpu', value=cpu, unit='s', note=note),
        figure.Figure(
            name='start.wall', value=round(wall, 3), unit='s', note=note
        ),
        figure.Figure(
            name='start.memory',
            value=round(resident, 1),
            unit='MB',
            note=note,
        ),
        figure.Figure(
            name='start.cpu_ratio',
            value=round(cpu / libraries_cpu, 2),
            unit='of the libraries',
        ),
        figure.Figure(
            name='start.memory_ratio',
            value=round(resident / libraries_mb, 2),
            unit='of the libraries',
        ),
    ]
