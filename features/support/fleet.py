"""Store, sidecars and back ends of a platform scenario."""

import base64
import http.client
import json
import socket
import threading

import yaml

from features.support import http as plain_http
from features.support import ports
from features.support import process
from features.support import sidecar
from features.support import system

DEFAULT_LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4 << 20,
    'headerTimeout': '3000ms',
    'idleTimeout': '15000ms',
}


class Fleet:
    """Starts and controls the store, sidecars and back ends.

    Attributes:
        system: System that owns and stops the processes.
        sidecars: Sidecars by instance name.
        store_port: TCP port of the store.
        routes: Route specifications by name.
        version: Version of the latest policy document.
        organisations: Specifications of organisations by name.
        other_resources: Further entries of the policy document.
        client_headers: Headers that all client requests carry.
        extra_settings: Settings of each sidecar that is started.
        store_lock: Lock of the control calls to the store. One that lets it
            return from a copy aborts all others.
    """

    def __init__(self, *, system: system.System) -> None:
        self.system = system
        self.sidecars: dict[str, sidecar.Sidecar] = {}
        self.routes: dict[str, dict[str, object]] = {}
        self.version = 0
        self.organisations: dict[str, dict[str, object]] = {}
        self.other_resources: list[dict[str, object]] = []
        self.client_headers: dict[str, str] = {}
        self.extra_settings: dict[str, object] = {}
        self.store_lock = threading.Lock()
        (self.store_port,) = ports.allocate_ports(1)

    def store_url(self, path: str) -> str:
        """Return the URL of a path at the store."""
        return 'http://127.0.0.1:%d%s' % (self.store_port, path)

    def start_store(self) -> process.Process:
        """Start the store and wait until it responds."""
        started = self.system.start_process(
            'store',
            'oleanderknot.standins.row_server',
            '--port',
            str(self.store_port),
        )
        self.system.wait_for(
            lambda: (
                plain_http.get_json(self.store_url('/-/counts')) is not None
            ),
            'start of the store',
        )
        return started

    def set_faults(self, **faults: object) -> None:
        """Set the faults that the store injects."""
        self.control_store('/-/faults', faults)

    def control_store(self, path: str, content: dict[str, object]) -> None:
        """Send a control call to the store."""
        with self.store_lock:
            plain_http.post_json(self.store_url(path), content)

    def put_policy(self, **limits: object) -> int:
        """Write a new policy version and return its number."""
        self.version += 1
        services = {item.service for item in self.sidecars.values()}
        resources = [
            {
                'resourceType': 'routes',
                'metadata': {'name': name},
                'specification': {
                    'host': 'shop.example',
                    'kind': 'safe',
                    'timeout': '2000ms',
                    'targetLatency': '1000ms',
                    'maxAttempts': 2,
                    'priority': 1,
                    **specification,
                },
            }
            for name, specification in self.routes.items()
        ]
        resources += [
            {
                'resourceType': 'services',
                'metadata': {'name': name},
                'specification': {'healthCheckPath': '/health'},
            }
            for name in sorted(services)
        ]
        resources.append(
            {
                'resourceType': 'limits',
                'metadata': {},
                'specification': {**DEFAULT_LIMITS, **limits},
            }
        )
        resources += [
            {
                'resourceType': 'tenants',
                'metadata': {'name': name},
                'specification': specification,
            }
            for name, specification in self.organisations.items()
        ]
        resources += self.other_resources
        self.put_policy_document(
            json.dumps({'version': self.version, 'resources': resources})
        )
        return self.version

    def put_policy_document(self, text: str) -> None:
        """Write the operators' policy document to the store unchanged."""
        value = base64.b64encode(text.encode()).decode()
        self.control_store(
            '/-/put', {'table': 'op', 'key': 'config', 'value': value}
        )

    def put_other_rows(self, count: int) -> None:
        """Write rows as other writers would; each raises the row version."""
        value = base64.b64encode(b'{}').decode()
        for number in range(count):
            self.control_store(
                '/-/put',
                {'table': 'servers', 'key': 'i-%d' % number, 'value': value},
            )

    def list_rows(self, table: str = 'nodes') -> set[str]:
        """Return the names of the nodes that have a row in the store."""
        content = plain_http.get_json(
            self.store_url('/v1/rows-get?table=%s&part=' % table)
        )
        return {row['key'] for row in content['rows']}

    def list_row_values(self, table: str) -> dict[str, str]:
        """Return the values of the rows of a table by key."""
        content = plain_http.get_json(
            self.store_url('/v1/rows-get?table=%s&part=' % table)
        )
        return {
            row['key']: base64.b64decode(row['value']).decode()
            for row in content['rows']
        }

    def start(
        self,
        name: str,
        service: str,
        data_centre: str = 'dc1',
        *,
        advertised: str | None = None,
        record: str = '',
        **extra_settings: object,
    ) -> sidecar.Sidecar:
        """Start a sidecar and its back end.

        Args:
            name: Name of the instance.
            service: Service of the back end.
            data_centre: Data centre of the instance.
            advertised: Peer address to advertise instead of the listening
                address.
            record: File in which the back end records its runs.
            extra_settings: Settings that extend or replace the defaults.

        Returns:
            The sidecar.
        """
        host = self.system.allocate_host(data_centre)
        port_numbers = ports.allocate_ports(6)
        addresses = ['%s:%d' % (host, number) for number in port_numbers]
        item = sidecar.Sidecar(
            name=name,
            service=service,
            host=host,
            requests=addresses[0],
            readiness=addresses[1],
            heartbeats=addresses[2],
            peers=addresses[3],
            metrics=addresses[4],
            backend_address=addresses[5],
            record=record,
        )
        self.sidecars[name] = item
        content = {
            'instance': name,
            'data_centre': data_centre,
            'addresses': {
                'requests': item.requests,
                'readiness': item.readiness,
                'heartbeats': item.heartbeats,
                'peers': item.peers,
                'advertised_peers': advertised,
                'metrics': item.metrics,
            },
            'upstream': {'service': service, 'address': item.backend_address},
            'store': {'address': '127.0.0.1:%d' % self.store_port},
            # Tests search for single log lines, so rate limiting must not
            # drop any.
            'log': {'refusals_per_s': 1000},
            # A node uses its part of the slack only after a whole window.
            'retries': {'ratio': 0.2, 'slack': 40, 'window': '10ms'},
            **self.extra_settings,
            **extra_settings,
        }
        path = self.system.folder / (name + '.yaml')
        path.write_text(yaml.safe_dump(content))
        self.restart_backend(item)
        self.restart(item)
        return item

    def restart(self, item: sidecar.Sidecar) -> None:
        """Start the sidecar process with its existing settings file."""
        path = self.system.folder / (item.name + '.yaml')
        item.process = self.system.start_process(
            'sidecar-' + item.name,
            'oleanderknot.cli.serve_sidecar',
            str(path),
        )

    def restart_shifted(self, item: sidecar.Sidecar, shift_s: float) -> None:
        """Start the sidecar process with a time of day that is wrong."""
        item.process = self.system.start_process(
            'sidecar-' + item.name,
            'features.support.shifted_sidecar',
            str(shift_s),
            str(self.system.folder / (item.name + '.yaml')),
        )

    def wait_until_listening(self, item: sidecar.Sidecar) -> None:
        """Wait until a sidecar accepts client connections."""
        host, port = item.requests.split(':')

        def connects() -> bool:
            with socket.socket() as probe_socket:
                return probe_socket.connect_ex((host, int(port))) == 0

        self.system.wait_for(connects, 'listening address of ' + item.name)

    def restart_backend(self, item: sidecar.Sidecar, *arguments: str) -> None:
        """Start the back end process of a sidecar."""
        item.backend = self.system.start_process(
            'backend-' + item.name,
            'oleanderknot.standins.backend',
            '--name',
            item.name,
            '--service',
            item.service,
            '--address',
            item.backend_address,
            '--control',
            item.heartbeats,
            '--node',
            item.requests,
            '--record',
            item.record,
            *arguments,
        )

    def send(
        self,
        name: str,
        target: str,
        *,
        method: str = 'GET',
        request_id: str = 'r1',
        body: bytes = b'',
        wait_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a client request to a sidecar.

        Returns:
            Status, headers with lower-case names, and body.
        """
        host, port = self.sidecars[name].requests.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        try:
            connection.request(
                method,
                target,
                body or None,
                {
                    'Host': 'shop.example',
                    'Request-Id': request_id,
                    'Deadline-Milliseconds': str(wait_ms),
                    **self.client_headers,
                    **(headers or {}),
                },
            )
            response = connection.getresponse()
            response_headers = {
                key.lower(): value for key, value in response.getheaders()
            }
            return response.status, response_headers, response.read()
        finally:
            connection.close()

    def query_backend(self, name: str, path: str) -> dict:
        """Send a control request to a back end and return its JSON."""
        address = self.sidecars[name].backend_address
        return plain_http.get_json('http://%s%s' % (address, path))

    def list_runs(self) -> list[dict[str, str]]:
        """Return the runs recorded by all live back ends."""
        return [
            run
            for name, item in self.sidecars.items()
            if item.backend is not None and item.backend.is_running()
            for run in self.query_backend(name, '/-/runs')['runs']
        ]

    def wait_for_service(self, name: str, target: str) -> None:
        """Wait until a sidecar answers a request with status 200."""
        self.system.wait_for(
            lambda: self.send(name, target, request_id='wait')[0] == 200,
            'status 200 from %s for %s' % (name, target),
        )
