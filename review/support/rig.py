"""Starts the store and the nodes of a case as separate processes."""

import asyncio
import base64
import collections.abc
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review.support import record as records

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of a small deployment, as its site file gives them.
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0

# Below the ports that the system gives to outgoing connections.
PORT_RANGE = (20000, 30000)

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_UNUSABLE = 2


allocated_ports: set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def is_trouble() -> bool:
    """Return whether the case has its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def allocate_ports(count: int) -> list[int]:
    """Return free ports that no outgoing connection takes meanwhile."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port in allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        allocated_ports.add(port)
        ports.append(port)
    return ports


class Node:
    """One node; its process can be killed, stopped and started again."""

    def __init__(
        self, *, rig: 'Rig', name: str, service: str, backend: str
    ) -> None:
        self.rig = rig
        self.name = name
        self.service = service
        names = ('requests', 'readiness', 'heartbeats', 'peers', 'metrics')
        self.addresses = {
            key: '127.0.0.1:%d' % port
            for key, port in zip(names, allocate_ports(5), strict=True)
        }
        self.backend = backend
        self.store = '127.0.0.1:%d' % rig.store_port
        self.process: subprocess.Popen | None = None
        self.path = rig.folder / (name + '.yaml')

    def write_settings(self, first_start: bool) -> None:
        """Write the settings file as the template of the deploy file has it."""
        content = {
            'instance': self.name,
            'data_centre': 'dc1',
            'addresses': self.addresses,
            'upstream': {'service': self.service, 'address': self.backend},
            'store': {'address': self.store},
            'retries': {'ratio': 0.2, 'slack': 47, 'window': '10s'},
            'grace': '6s',
            'first_start': first_start,
        }
        # Each JSON document is also a YAML document.
        self.path.write_text(json.dumps(content))

    def start(self, *, first_start: bool = True) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings(first_start)
        log = (self.rig.folder / (self.name + '.log')).open('ab')
        self.process = self.rig.start_process(
            ['python3', '-m', 'oleanderknot.cli.serve_sidecar'],
            log,
            OLEANDERKNOT_BOOT=str(self.path),
        )
        self.rig.record.write('node-start', node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.rig.record.write('signal', node=self.name, signal=number.name)

    def find_memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        try:
            status = pathlib.Path('/proc/%d/status' % self.process.pid)
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def is_ready(self) -> bool:
        """Return whether the readiness probe gets 200."""
        host, _, port = self.addresses['readiness'].rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request('GET', '/v1/readiness')
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Rig:
    """Owns the processes of a case.

    Attributes:
        record: Record of the case.
        folder: Temporary folder.
        processes: Processes started so far.
    """

    def __init__(self, *, record: records.Record) -> None:
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self.temporary.name)
        self.processes: list[subprocess.Popen] = []
        (self.store_port,) = allocate_ports(1)
        self.version = 0

    def start_process(
        self, command: list[str], log: object, **environment: str
    ) -> subprocess.Popen:
        """Start a process in the root of the repository."""
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                **{
                    key: os.environ[key]
                    for key in ('PATH', 'HOME', 'LANG')
                    if key in os.environ
                },
                'PYTHONPATH': 'target/deps',
                **environment,
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.processes.append(process)
        return process

    async def start_store(self) -> None:
        """Start the stand-in store of the project."""
        self.start_process(
            [
                'python3',
                '-m',
                'oleanderknot.standins.row_server',
                '--port',
                str(self.store_port),
            ],
            (self.folder / 'store.log').open('ab'),
        )
        await wait_until(
            lambda: connects('127.0.0.1:%d' % self.store_port), 'store'
        )

    def put_policy(
        self,
        routes: collections.abc.Mapping[str, dict[str, object]],
        **limits: object,
    ) -> None:
        """Write the operator's document."""
        self.version += 1
        resources: list[dict[str, object]] = [
            {
                'resourceType': 'routes',
                'metadata': {'name': name},
                'specification': {
                    'host': 'shop.example',
                    'targetLatency': '1500ms',
                    'maxAttempts': 2,
                    'priority': 0,
                    **specification,
                },
            }
            for name, specification in routes.items()
        ]
        services = {str(item['service']) for item in routes.values()}
        resources += [
            {
                'resourceType': 'services',
                'metadata': {'name': name},
                'specification': {
                    'healthCheckPath': '/health',
                    'connectionLimit': 814,
                },
            }
            for name in sorted(services)
        ]
        resources.append(
            {
                'resourceType': 'limits',
                'metadata': {},
                'specification': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 67108864,
                    'headerTimeout': '3000ms',
                    'idleTimeout': '15000ms',
                    **limits,
                },
            }
        )
        text = json.dumps({'version': self.version, 'resources': resources})
        connection = http.client.HTTPConnection('127.0.0.1', self.store_port)
        connection.request(
            'POST',
            '/-/put',
            json.dumps(
                {
                    'table': 'op',
                    'key': 'config',
                    'value': base64.b64encode(text.encode()).decode(),
                }
            ),
            {'Content-Type': 'application/json'},
        )
        connection.getresponse().read()
        connection.close()

    def close(self) -> None:
        """End all processes that this case started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.temporary.cleanup()


def connects(address: str) -> bool:
    """Return whether an address accepts connections."""
    host, _, port = address.rpartition(':')
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


async def wait_until(
    condition: collections.abc.Callable[[], bool],
    name: str,
    timeout_s: float = 20.0,
) -> None:
    """Wait until a condition holds.

    Raises:
        CaseError: It did not hold in time.
    """
    end = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > end:
            raise CaseError('timeout: %s' % name)
        await asyncio.sleep(0.05)


def run_case(
    file: str,
    play: collections.abc.Callable[
        [Rig], collections.abc.Awaitable[list[str]]
    ],
) -> None:
    """Play a case, print its verdict and exit with its status.

    Args:
        file: Path of the case's program; its folder gets ``record.txt``.
        play: Plays the case and returns how the rule was broken.
    """
    record = records.Record(folder=pathlib.Path(file).resolve().parent)
    rig = Rig(record=record)
    try:
        broken = asyncio.run(play(rig))
    except CaseError as error:
        print('the case could not run: %s' % error)
        record.write('unusable', detail=str(error))
        sys.exit(EXIT_UNUSABLE)
    finally:
        rig.close()
    for line in broken:
        print(line)
        record.write('broken', detail=line)
    print('the rule was %s' % ('broken' if broken else 'kept'))
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
