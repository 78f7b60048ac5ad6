"""Starts nodes and stand-ins on loopback addresses for a review script.

The stand-ins follow the users' pages: a back end sends heartbeats, serves one
request at a time on a connection, and drops a request whose connection is
closed. Everything but the nodes and the store runs in the process of the
script.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
PORT_RANGE = (12000, 32000)
BLOCK_PORTS = 100
BLOCK = []
FREE_PORTS = []

# Exit codes of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2

# Time within which a node or the store has to accept connections.
START_TIMEOUT_S = 15.0
HEARTBEAT_INTERVAL_S = 1.5

LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4 << 20,
    'headerTimeout': '3000ms',
    'idleTimeout': '15000ms',
}


class CannotRunError(Exception):
    """The case could not be set up."""


def allocate_ports(count):
    """Return free TCP ports of the loopback address.

    They lie below the range from which systems take the ports of outgoing
    connections. Scripts that run side by side take theirs from blocks of
    their own; the first port of a block is bound while it is in use.
    """
    while not BLOCK:
        first = random.randrange(*PORT_RANGE, BLOCK_PORTS)
        lock = socket.socket()
        try:
            lock.bind((HOST, first))
        except OSError:
            lock.close()
            continue
        BLOCK.append(lock)
        FREE_PORTS.extend(range(first + 1, first + BLOCK_PORTS))
    found = []
    while len(found) < count:
        port = FREE_PORTS.pop(0)
        with socket.socket() as item:
            try:
                item.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run to a file, one line each."""

    def __init__(self, path):
        self.file = path.open('w')
        self.started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started

    def write(self, event, **fields):
        """Write one event and return its time."""
        at = self.now()
        line = {'at': round(at, 4), 'event': event, **fields}
        self.file.write(json.dumps(line) + '\n')
        return at

    def close(self):
        """Close the file."""
        self.file.close()


def parse_head(head):
    """Return the words of the first line and the headers by lower name."""
    line, *rest = head.decode('latin-1').split('\r\n')
    headers = {}
    for item in rest:
        name, colon, value = item.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return line.split(' ', 2), headers


class Backend:
    """A back end beside one node.

    The query of a request may set ``work_ms``. Each request that it works on
    is recorded with the headers that the node sets.
    """

    def __init__(self, *, record, name, service, port, control, slots=200):
        self.record = record
        self.name = name
        self.service = service
        self.port = port
        self.control = control
        self.slots = slots
        self.upstream = 'i-' + name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.leaving = False
        self.runs = []
        self.dropped = []
        self.running = 0
        self.server = None
        self.beats = None
        self.writers = set()

    async def start(self, *, beating=True):
        """Listen, and send heartbeats until the end."""
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, backlog=512
        )
        self.record.write(
            'backend_start', name=self.name, id=self.upstream, born=self.born
        )
        if beating:
            self.beats = asyncio.create_task(self.send_beats())

    def build_beat(self, **changes):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': '%s:%d' % (HOST, self.port),
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.born,
            **changes,
        }

    async def send_beats(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.send_beat(self.build_beat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_beat(self, body):
        """Send one heartbeat; return the status of its answer, 0 for none."""
        status = await self.post('heartbeat', body)
        self.record.write(
            'heartbeat',
            name=self.name,
            id=self.upstream,
            born=body['born'],
            sequence=body['sequence'],
            state=body['state'],
            status=status,
        )
        return status

    async def drain(self):
        """Report that this back end leaves; return whether it was acked."""
        self.state = 'draining'
        self.leaving = True
        return await self.send_beat(self.build_beat()) == 200

    async def deregister(self):
        """Leave without a heartbeat that says so; return whether acked."""
        self.leaving = True
        if self.beats is not None:
            self.beats.cancel()
        status = await self.post('deregister', {'born': self.born})
        self.record.write(
            'deregister',
            name=self.name,
            id=self.upstream,
            born=self.born,
            status=status,
        )
        return status == 200

    async def post(self, action, body):
        """Call the node; return the status, 0 without an answer in 1 s."""
        content = json.dumps(body).encode()
        head = (
            'POST /v1/instances/%s/%s HTTP/1.1\r\nHost: %s\r\n'
            'Content-Type: application/json\r\nContent-Length: %d\r\n'
            'Connection: close\r\n\r\n'
        ) % (self.upstream, action, self.control, len(content))
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(self.control, head.encode() + content)
                return answer[0]
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def stop(self):
        """End as a crashed process does."""
        if self.beats is not None:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write('backend_end', name=self.name, id=self.upstream)

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.handle(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, reader, writer):
        """Serve one request; return whether to keep the connection."""
        head = await reader.readuntil(b'\r\n\r\n')
        (method, target, _), headers = parse_head(head)
        size = int(headers.get('content-length', 0))
        if size:
            await reader.readexactly(size)
        request_id = headers.get('request-id', '')
        expected = headers.get('expected-instance', '')
        echo = 'Request-Id: %s\r\n' % request_id if request_id else ''
        if self.leaving:
            echo += 'Connection: close\r\n'
        if target == '/health':
            status = '503 Service Unavailable' if self.leaving else '200 OK'
            writer.write(
                (
                    'HTTP/1.1 %s\r\n%sInstance-Id: %s\r\n'
                    'Content-Length: 0\r\n\r\n' % (status, echo, self.upstream)
                ).encode()
            )
            return not self.leaving
        if not request_id:
            writer.write(
                (
                    'HTTP/1.1 400 Bad Request\r\n%sNot-Executed: 1\r\n'
                    'Content-Length: 0\r\n\r\n' % echo
                ).encode()
            )
            return not self.leaving
        if expected and expected != self.upstream:
            self.record.write('misdirected', name=self.name, id=request_id)
            writer.write(
                (
                    'HTTP/1.1 421 Misdirected Request\r\n%sInstance-Id: %s\r\n'
                    'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
                    % (echo, self.upstream)
                ).encode()
            )
            return not self.leaving
        if self.running >= self.slots:
            self.record.write('shed', name=self.name, id=request_id)
            writer.write(
                (
                    'HTTP/1.1 503 Service Unavailable\r\n%s'
                    'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n' % echo
                ).encode()
            )
            return not self.leaving
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
        work_s = float(query.get('work_ms', ['5'])[0]) / 1000
        deadline_s = int(headers.get('deadline-milliseconds', 5000)) / 1000
        in_time = work_s <= deadline_s
        run = {
            'name': self.name,
            'id': request_id,
            'method': method,
            'target': target,
            'service': self.service,
            'caller': headers.get('calling-service', ''),
            'tenant': headers.get('tenant-name', ''),
            'key': headers.get('authorization', ''),
            'deadline_ms': headers.get('deadline-milliseconds', ''),
        }
        run['at'] = self.record.write('run', **run)
        self.runs.append(run)
        if not await self.work(min(work_s, deadline_s), reader):
            run['dropped_at'] = self.record.write(
                'dropped', name=self.name, id=request_id
            )
            self.dropped.append(request_id)
            return False
        run['ended_at'] = self.record.write(
            'ran', name=self.name, id=request_id
        )
        status = '200 OK' if in_time else '504 Gateway Timeout'
        body = ('answer to %s' % request_id).encode()
        writer.write(
            (
                'HTTP/1.1 %s\r\n%sResponse-Signature: s.%s\r\n'
                'Content-Length: %d\r\n\r\n'
                % (status, echo, request_id, len(body))
            ).encode()
            + body
        )
        return not self.leaving

    async def work(self, work_s, reader):
        """Work for a time; return False if the connection closes first."""
        self.running += 1
        try:
            end = time.monotonic() + work_s
            while (left := end - time.monotonic()) > 0:
                if reader.at_eof():
                    return False
                await asyncio.sleep(min(left, 0.02))
            return not reader.at_eof()
        finally:
            self.running -= 1


async def exchange(address, data):
    """Send one request on a new connection; return status, headers, body."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader):
    """Read one answer with a length; return status, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    words, headers = parse_head(head)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return int(words[1]), headers, body


def build_request(path, request_id, *, key='', deadline_ms=5000, method='GET'):
    """Return the bytes of a client's request."""
    lines = [
        '%s %s HTTP/1.1' % (method, path),
        'Host: shop.example',
        'Request-Id: ' + request_id,
        'Deadline-Milliseconds: %d' % deadline_ms,
    ]
    if key:
        lines.append('Authorization: Bearer ' + key)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


class Node:
    """One node of the project, a process of its own."""

    def __init__(self, *, name, service, data_centre):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        ports = allocate_ports(6)
        addresses = ['%s:%d' % (HOST, port) for port in ports]
        self.requests, self.ready, self.control = addresses[:3]
        self.peers, self.metrics, self.upstream = addresses[3:]
        self.backend_port = ports[5]
        self.advertised = None
        self.path = None
        self.process = None
        self.starts = 0


class System:
    """Nodes, their store and their back ends.

    Attributes:
        trouble: Whether the disruption takes place.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(self.folder / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.logs = pathlib.Path(self.temporary.name)
        self.processes = []
        self.nodes = {}
        self.backends = {}
        self.proxies = []
        self.store_port = 0
        self.version = 0

    async def spawn(self, name, *arguments, **variables):
        """Start a program of the project."""
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': '%s:%s' % (ROOT / 'target' / 'deps', ROOT),
            **variables,
        }
        log = (self.logs / (name + '.log')).open('ab')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        return process

    async def start_store(self):
        """Start the project's stand-in of the platform's store."""
        (self.store_port,) = allocate_ports(1)
        await self.spawn(
            'store',
            '-m',
            'oleanderknot.standins.row_server',
            '--port',
            str(self.store_port),
        )
        await self.wait_for_port('%s:%d' % (HOST, self.store_port))

    async def wait_for_port(self, address):
        """Wait until something listens at an address."""
        host, _, port = address.rpartition(':')
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.03)
                continue
            writer.close()
            return
        raise CannotRunError('nothing listens at %s' % address)

    async def put_config(self, routes, tenants=()):
        """Write a new config to the store as the operator does."""
        self.version += 1
        services = sorted({node.service for node in self.nodes.values()})
        resources = [
            {
                'resourceType': 'routes',
                'metadata': {'name': 'r%d' % number},
                'specification': {
                    'host': 'shop.example',
                    'kind': 'safe',
                    'timeout': '5000ms',
                    'targetLatency': '1500ms',
                    'maxAttempts': 2,
                    'priority': 1,
                    'allowAnonymous': False,
                    **route,
                },
            }
            for number, route in enumerate(routes)
        ]
        resources += [
            {
                'resourceType': 'services',
                'metadata': {'name': name},
                'specification': {'healthCheckPath': '/health'},
            }
            for name in services
        ]
        resources.append(
            {
                'resourceType': 'limits',
                'metadata': {'name': 'limits'},
                'specification': LIMITS,
            }
        )
        resources += [
            {
                'resourceType': 'tenants',
                'metadata': {'name': name},
                'specification': specification,
            }
            for name, specification in tenants
        ]
        text = json.dumps({'version': self.version, 'resources': resources})
        row = {
            'table': 'op',
            'key': 'config',
            'value': base64.b64encode(text.encode()).decode(),
        }
        content = json.dumps(row).encode()
        status, _, _ = await exchange(
            '%s:%d' % (HOST, self.store_port),
            b'POST /-/put HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n'
            b'\r\n' % len(content) + content,
        )
        if status != 200:
            raise CannotRunError('the store refused the config')
        self.record.write('config', version=self.version)

    async def set_store_faults(self, **faults):
        """Set what the stand-in of the store does wrong."""
        content = json.dumps(faults).encode()
        await exchange(
            '%s:%d' % (HOST, self.store_port),
            b'POST /-/faults HTTP/1.1\r\nHost: store\r\n'
            b'Content-Length: %d\r\n\r\n' % len(content) + content,
        )
        self.record.write('store', **faults)

    def add_node(self, name, service, data_centre='zone-a'):
        """Define a node; ``start_node`` starts it."""
        node = Node(name=name, service=service, data_centre=data_centre)
        self.nodes[name] = node
        return node

    def write_settings(self, node, *, first_start):
        """Write the settings file as the platform does at each start."""
        zones = sorted({item.data_centre for item in self.nodes.values()})
        settings = {
            'instance': node.name,
            'data_centre': node.data_centre,
            'data_centres': zones,
            'addresses': {
                'requests': node.requests,
                'readiness': node.ready,
                'heartbeats': node.control,
                'peers': node.peers,
                'metrics': node.metrics,
            },
            'upstream': {
                'service': node.service,
                'address': node.upstream,
                'heartbeat_interval': '1500ms',
            },
            'store': {'address': '%s:%d' % (HOST, self.store_port)},
            'retries': {'ratio': 0.2, 'slack': 47, 'window': '10s'},
            'grace': '6s',
            'first_start': first_start,
        }
        if node.advertised:
            settings['addresses']['advertised_peers'] = node.advertised
        # JSON is YAML.
        node.path = self.logs / (node.name + '.yaml')
        node.path.write_text(json.dumps(settings, indent=1))

    async def start_node(self, node):
        """Start the process of a node; it is not awaited."""
        self.write_settings(node, first_start=not node.starts)
        node.starts += 1
        node.process = await self.spawn(
            'node-' + node.name,
            '-m',
            'oleanderknot.cli.serve_sidecar',
            OLEANDERKNOT_BOOT=str(node.path),
        )
        self.record.write('node_start', name=node.name, pid=node.process.pid)

    async def start_nodes(self):
        """Start all nodes at once, and their back ends."""
        for node in self.nodes.values():
            await self.start_node(node)
        for node in self.nodes.values():
            await self.wait_for_port(node.control)
            await self.start_backend(node)
        for node in self.nodes.values():
            await self.wait_until_ready(node)

    async def start_backend(self, node, **options):
        """Start the back end beside a node."""
        backend = Backend(
            record=self.record,
            name=node.name,
            service=node.service,
            port=node.backend_port,
            control=node.control,
            **options,
        )
        self.backends[node.name] = backend
        await backend.start()
        return backend

    async def is_ready(self, node):
        """Return whether a node answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(
                    node.ready,
                    b'GET /v1/readiness HTTP/1.1\r\nHost: node\r\n\r\n',
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer[0] == 200

    async def wait_until_ready(self, node):
        """Wait until a node is ready for clients."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(node):
            if time.monotonic() > deadline:
                raise CannotRunError('%s is not ready' % node.name)
            await asyncio.sleep(0.1)

    def send_signal(self, node, number):
        """Send a signal to the process of a node."""
        node.process.send_signal(number)
        self.record.write(
            'signal', name=node.name, signal=signal.Signals(number).name
        )

    async def ask(self, node, path, request_id, **options):
        """Send a request on a new connection; return status and body.

        The status is 0 if the connection ended without an answer, and -1 if
        none came within the deadline.
        """
        deadline_ms = options.get('deadline_ms', 5000)
        data = build_request(path, request_id, **options)
        self.record.write('sent', node=node.name, id=request_id, path=path)
        status, body = 0, b''
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                status, _, body = await exchange(node.requests, data)
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.record.write(
            'answered', node=node.name, id=request_id, status=status
        )
        return status, body

    async def close(self):
        """End all processes that were started."""
        for backend in self.backends.values():
            if backend.beats is not None:
                backend.beats.cancel()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()
        self.record.close()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.logs)
            self.temporary._finalizer.detach()
        else:
            self.temporary.cleanup()


def main(folder, play):
    """Run a case and exit with its outcome.

    Args:
        folder: Folder of the case.
        play: Coroutine function that takes the system and returns whether
            the rule held.
    """

    async def run():
        system = System(folder)
        # A script that is ended early still ends what it has started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(110):
                held = await play(system)
            return HELD if held else BROKEN
        except (CannotRunError, TimeoutError, OSError) as error:
            print('the case could not run: %r' % error)
        except (Exception, asyncio.CancelledError):
            # An error of the script must not pass for a broken rule.
            traceback.print_exc()
        finally:
            await system.close()
        return NOT_RUN

    sys.exit(asyncio.run(run()))
