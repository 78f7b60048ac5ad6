"""Processes of one test scenario."""

import collections.abc
import contextlib
import pathlib
import tempfile

import yaml

from features.support import http
from features.support import node as nodes
from features.support import ports
from features.support import process
from features.support import wait


class System:
    """Starts nodes and upstreams and stops them after the scenario.

    Attributes:
        nodes: Nodes by instance name.
        processes: All processes started.
        deferred_waits: Conditions to wait for once all processes have been
            launched; None if waits are not deferred.
        extra_settings: Settings that are added to those of every node.
        node_command: Module and arguments that run a node.
    """

    def __init__(self) -> None:
        self.exit_stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self.exit_stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.nodes: dict[str, nodes.Node] = {}
        self.processes: list[process.Process] = []
        self.extra_settings: dict[str, object] = {}
        self.deferred_waits: list | None = None
        self.node_command = ['oleanderknot', 'node']
        self.networks: dict[str, int] = {}
        self.last_host = 0
        self.platform_port = 0
        self.platform: process.Process | None = None

    def start_process(self, name: str, *arguments: str) -> process.Process:
        """Start a Python module as a process.

        Args:
            name: Name for its log file.
            arguments: Module and arguments.

        Returns:
            The process.
        """
        started = process.Process(
            name='%s-%d' % (name, len(self.processes)),
            arguments=list(arguments),
            folder=self.folder,
        )
        self.processes.append(started)
        return started

    def start_platform(self) -> None:
        """Start the test platform; nodes started later use it."""
        (self.platform_port,) = ports.allocate_ports(1)
        self.platform = self.start_process(
            'platform',
            'oleanderknot.standins.platform_server',
            '--port',
            str(self.platform_port),
        )
        self.wait_for(
            lambda: http.get_json(self.platform_url('/-/counts')),
            'start of the platform',
        )
        self.extra_settings['platform'] = {
            'table_url': self.platform_url(''),
            'object_url': self.platform_url(''),
        }

    def platform_url(self, path: str) -> str:
        """Return the URL of a path at the test platform."""
        return 'http://127.0.0.1:%d%s' % (self.platform_port, path)

    def allocate_host(self, data_centre: str) -> str:
        """Allocate the next loopback IP address of a data centre.

        Each data centre has its own network, 127.0.<number>.*, so that a
        fault proxy can identify the origin of a connection.
        """
        if data_centre not in self.networks:
            self.networks[data_centre] = len(self.networks) + 1
        self.last_host += 1
        return '127.0.%d.%d' % (self.networks[data_centre], self.last_host)

    def start_proxy(self, node: nodes.Node) -> None:
        """Start a fault proxy in front of a node's peer port."""
        node.proxy_port, node.control_port = ports.allocate_ports(2)
        self.start_process(
            'proxy-' + node.name,
            'oleanderknot.standins.fault_proxy',
            '--control',
            str(node.control_port),
            '%d:%s:%d' % (node.proxy_port, node.host, node.peer_port),
        )
        self.wait_for(
            lambda: http.post_json(node.fault_url(), {}),
            'start of the proxy of %s' % node.name,
        )

    def inject_faults(self, node: nodes.Node, **faults: object) -> None:
        """Set the faults of a node's proxy; see ``FaultProxy``."""
        http.post_json(node.fault_url(), faults)

    def start_node(
        self,
        name: str,
        data_centre: str = 'dc1',
        *,
        proxied: bool = False,
        **settings: object,
    ) -> nodes.Node:
        """Start a node without an upstream and wait for its status page.

        Args:
            name: Name of the instance.
            data_centre: Data centre of the instance.
            proxied: Whether other nodes connect through a fault proxy.
            settings: Settings that extend or replace the defaults.

        Returns:
            The node.
        """
        caller, peer, egress, operator = ports.allocate_ports(4)
        node = nodes.Node(
            name=name,
            data_centre=data_centre,
            host=self.allocate_host(data_centre),
            caller_port=caller,
            peer_port=peer,
            egress_port=egress,
            operator_port=operator,
        )
        advertised = {}
        if proxied:
            self.start_proxy(node)
            advertised = {
                'advertised_host': '127.0.0.1',
                'advertised_peer_port': node.proxy_port,
            }
        content = {
            'instance': name,
            'data_centre': data_centre,
            'listen': {
                'host': node.host,
                'caller_port': caller,
                'peer_port': peer,
                'egress_port': egress,
                'operator_port': operator,
                **advertised,
            },
            'seeds': [
                item.find_peer_address() for item in self.nodes.values()
            ],
            **self.extra_settings,
            **settings,
        }
        path = self.folder / (name + '.yaml')
        path.write_text(yaml.safe_dump(content))
        self.nodes[name] = node
        self.restart_node(node)
        return node

    def restart_node(self, node: nodes.Node) -> None:
        """Start a node process with its existing settings file."""
        path = self.folder / (node.name + '.yaml')
        node.process = self.start_process(
            'node-' + node.name, *self.node_command, str(path)
        )
        self.wait_for(
            lambda: http.get_json(node.status_url()), node.name + ' startup'
        )

    def start_upstream(
        self, node: nodes.Node, service: str, *arguments: str
    ) -> None:
        """Start the upstream of a node and wait until it is announced.

        Args:
            node: Node of the upstream.
            service: Service that it offers.
            arguments: Additional arguments of the upstream.
        """
        (node.upstream_port,) = ports.allocate_ports(1)
        node.upstream = self.start_process(
            'upstream-' + node.name,
            'oleanderknot.standins.upstream',
            '--service',
            service,
            '--port',
            str(node.upstream_port),
            '--node',
            'http://127.0.0.1:%d' % node.egress_port,
            *arguments,
        )
        self.wait_for(
            lambda: http.get_json(node.status_url())['service'] == service,
            'announcement to %s of %s' % (node.name, service),
        )

    def wait_for_members(self, service: str, count: int) -> None:
        """Wait until every node lists enough upstreams as ``taking``."""
        for node in self.nodes.values():
            if node.process is None or not node.process.is_running():
                continue
            self.wait_for(
                lambda node=node: (
                    self.count_taking_upstreams(node, service) >= count
                ),
                'membership update at %s for %s' % (node.name, service),
            )

    def count_taking_upstreams(self, node: nodes.Node, service: str) -> int:
        """Count the members of a service in state ``taking`` at a node."""
        members = http.get_json(node.status_url())['members']
        return sum(
            item['service'] == service and item['state'] == 'taking'
            for item in members
        )

    def list_runs(self, service: str) -> list[dict[str, str]]:
        """Return the runs recorded by all live upstreams of a service."""
        runs = []
        for node in self.nodes.values():
            if node.upstream is None or not node.upstream.is_running():
                continue
            if http.get_json(node.status_url())['service'] == service:
                runs += http.get_json(node.upstream_url('/-/runs'))['runs']
        return runs

    def wait_for(self, condition, what: str) -> object:
        """Wait for a condition, or defer the wait within ``defer_waits``."""
        if self.deferred_waits is not None:
            self.deferred_waits.append((condition, what))
            return None
        return wait.wait_until(condition, what)

    @contextlib.contextmanager
    def defer_waits(self) -> collections.abc.Iterator[None]:
        """Defer all waits to the end, so that processes start in parallel."""
        self.deferred_waits = []
        try:
            yield
        finally:
            deferred_waits, self.deferred_waits = self.deferred_waits, None
        for condition, what in deferred_waits:
            wait.wait_until(condition, what)

    def stop(self) -> None:
        """Kill all processes and delete the temporary directory."""
        for item in reversed(self.processes):
            item.kill()
        self.exit_stack.close()
