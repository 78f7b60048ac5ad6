"""Store, sidecars and back ends of a benchmark."""

import base64
import collections.abc
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

import yaml

from bench import sidecar_process

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STORE_HOST = '127.0.0.1'

# Below the ephemeral ports (32768 and up), one of which an outgoing connection
# could take before the process that is to listen on it.
PORTS = itertools.cycle(random.sample(range(10_000, 32_000), 22_000))

CLIENT_HOST_NAME = 'shop.example'
ADDRESS_NAMES = (
    'requests',
    'readiness',
    'heartbeats',
    'peers',
    'metrics',
    'upstream',
)


class SidecarFleet:
    """Starts and stops real sidecars with the stand-in store and back ends.

    Attributes:
        code: Folder of the code that the sidecars run; the stand-ins always
            run the code of this folder, so that only the sidecars differ.
        sidecars: Sidecars by instance name.
        host: Loopback address that the sidecars listen on.
        processes: All processes.
    """

    def __init__(self, *, code: pathlib.Path) -> None:
        self.code = code
        self.sidecars: dict[str, sidecar_process.SidecarProcess] = {}
        self.processes: list[subprocess.Popen] = []
        self.exit_stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self.exit_stack.enter_context(tempfile.TemporaryDirectory())
        )
        # A loopback address of its own, so that no other run takes a port
        # between its allocation and its use.
        self.host = '127.%d.%d.%d' % tuple(
            random.randrange(16, 250) for _ in range(3)
        )
        (self.store,) = allocate_addresses(STORE_HOST, 1)

    def start(self, services: dict[str, str]) -> None:
        """Start everything and wait until each instance reaches all services.

        Args:
            services: Service by instance name.
        """
        self.run_module(
            'store',
            pathlib.Path.cwd(),
            'oleanderknot.standins.row_server',
            '--port',
            self.store.rpartition(':')[2],
        )
        self.wait_for('start of the store', lambda: self.put_policy(services))
        for name, service in services.items():
            self.start_sidecar(name, service)
        for item in self.sidecars.values():
            for service in set(services.values()):
                self.wait_for(
                    'answer of %s at %s' % (service, item.name),
                    lambda item=item, service=service: (
                        fetch_status(item.requests, '/%s/' % service) == 200
                    ),
                )

    def stop(self) -> None:
        """Stop all processes and remove their files."""
        self.exit_stack.close()

    def put_policy(self, services: dict[str, str]) -> bool:
        """Write the policy; return whether the store has taken it."""
        names = sorted(set(services.values()))
        resources = [
            {
                'resourceType': 'routes',
                'metadata': {'name': name},
                'specification': {
                    'host': CLIENT_HOST_NAME,
                    'kind': 'safe',
                    'timeout': '2000ms',
                    'targetLatency': '1000ms',
                    'maxAttempts': 2,
                    'priority': 1,
                    'prefix': '/%s/' % name,
                    'service': name,
                },
            }
            for name in names
        ]
        resources += [
            {
                'resourceType': 'services',
                'metadata': {'name': name},
                'specification': {'healthCheckPath': '/health'},
            }
            for name in names
        ]
        text = json.dumps({'version': 1, 'resources': resources})
        row = {
            'table': 'op',
            'key': 'config',
            'value': base64.b64encode(text.encode()).decode(),
        }
        connection = http.client.HTTPConnection(self.store, timeout=5)
        try:
            connection.request('POST', '/-/put', json.dumps(row))
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def start_sidecar(self, name: str, service: str) -> None:
        """Start a sidecar and its back end."""
        addresses = dict(
            zip(
                ADDRESS_NAMES,
                allocate_addresses(self.host, len(ADDRESS_NAMES)),
            )
        )
        upstream = addresses.pop('upstream')
        settings = {
            'instance': name,
            'data_centre': 'dc1',
            'addresses': addresses,
            'upstream': {'service': service, 'address': upstream},
            'store': {'address': self.store},
        }
        path = self.folder / (name + '.yaml')
        path.write_text(yaml.safe_dump(settings))
        self.run_module(
            'backend-' + name,
            pathlib.Path.cwd(),
            'oleanderknot.standins.backend',
            '--name',
            name,
            '--service',
            service,
            '--address',
            upstream,
            '--control',
            addresses['heartbeats'],
            '--node',
            addresses['requests'],
        )
        process = self.run_module(
            name, self.code, 'oleanderknot.cli.serve_sidecar', str(path)
        )
        self.sidecars[name] = sidecar_process.SidecarProcess(
            name=name, requests=addresses['requests'], pid=process.pid
        )

    def run_module(
        self, name: str, code: pathlib.Path, *arguments: str
    ) -> subprocess.Popen:
        """Run a module of a folder as a process until ``stop``."""
        log = self.exit_stack.enter_context(
            (self.folder / (name + '.log')).open('wb')
        )
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=code,
            env={**os.environ, 'PYTHONPATH': str(code)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.exit_stack.callback(stop_process, process)
        self.processes.append(process)
        return process

    def wait_for(
        self, text: str, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition holds.

        Raises:
            RuntimeError: A process has ended.
            TimeoutError: The condition does not hold in time.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while not condition():
            for process in self.processes:
                if process.poll() is not None:
                    raise RuntimeError('process ended: %s' % process.args)
            if time.monotonic() > end:
                raise TimeoutError('timed out: ' + text)
            time.sleep(POLL_INTERVAL_S)

    def read_cpu_seconds(self) -> float:
        """Return the processor time of all sidecars since their start."""
        return sum(item.read_cpu_seconds() for item in self.sidecars.values())


def stop_process(process: subprocess.Popen) -> None:
    """Stop a process."""
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def allocate_addresses(host: str, count: int) -> list[str]:
    """Return addresses ``ip:port`` of a host that are free now."""
    addresses = []
    while len(addresses) < count:
        address = (host, next(PORTS))
        with contextlib.suppress(OSError), socket.socket() as probe_socket:
            probe_socket.bind(address)
            addresses.append('%s:%d' % address)
    return addresses


def fetch_status(address: str, target: str) -> int:
    """Send one request and return its status; 0 if it failed."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(
            'GET',
            target,
            headers={'Host': CLIENT_HOST_NAME, 'Request-Id': 'start'},
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
