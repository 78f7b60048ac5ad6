"""The processes of one soak run."""

import copy
import pathlib
import signal

from features.support import fleet
from features.support import http
from features.support import ports
from features.support import system
from soak import organisation_plan
from soak import soak_options

SERVICES = ('front', 'catalogue', 'orders')
DATA_CENTRES = ('dc1', 'dc2')
ROUTES = {
    'page': {'prefix': '/page/', 'kind': 'safe', 'service': 'catalogue'},
    'order': {'prefix': '/order/', 'kind': 'unsafe', 'service': 'orders'},
    'look': {'prefix': '/look/', 'kind': 'safe', 'service': 'orders'},
}
ANONYMOUS_ROUTES = {
    'open': {
        'prefix': '/open/',
        'kind': 'safe',
        'service': 'catalogue',
        'allowAnonymous': True,
    },
}

# Retry budget that the nodes enforce and the checks verify.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 40
REPEAT_WINDOW_S = 10.0


class SoakCluster:
    """Starts and stops the store, the fault proxy, nodes and back ends.

    Attributes:
        fleet: Store, nodes and back ends.
        names: Names of the instances.
        proxy_ports: Port of the fault proxy for each instance.
        control_port: Control port of the fault proxy.
        exits: Names of nodes that exited unexpectedly.
    """

    def __init__(self, *, options: soak_options.SoakOptions) -> None:
        self.system = system.System()
        self.fleet = fleet.Fleet(system=self.system)
        self.options = options
        self.names = ['i%d' % number for number in range(options.instances)]
        self.proxy_ports: dict[str, int] = {}
        self.control_port = 0
        self.exits: list[str] = []

    @property
    def folder(self) -> pathlib.Path:
        """Directory with the logs and the event files of the back ends."""
        return self.system.folder

    def start(self) -> None:
        """Start all processes and wait until every node serves requests."""
        self.fleet.start_store()
        self.fleet.routes.update(ROUTES | ANONYMOUS_ROUTES)
        self.fleet.organisations.update(
            copy.deepcopy(organisation_plan.ORGANISATIONS)
        )
        self.fleet.client_headers['Authorization'] = (
            'Bearer ' + organisation_plan.SHOP_KEY
        )
        self.control_port, *numbers = ports.allocate_ports(len(self.names) + 1)
        self.proxy_ports = dict(zip(self.names, numbers, strict=True))
        for number, name in enumerate(self.names):
            self.fleet.start(
                name,
                SERVICES[number % len(SERVICES)],
                DATA_CENTRES[number // len(SERVICES) % len(DATA_CENTRES)],
                advertised='127.0.0.1:%d' % self.proxy_ports[name],
                record=str(self.get_record_path(name)),
                data_centres=list(DATA_CENTRES),
            )
        self.start_proxy()
        self.fleet.put_policy()
        for name in self.names:
            for prefix in ('/page/', '/look/'):
                self.fleet.wait_for_service(name, prefix + 'ready')

    def list_called(self) -> list[str]:
        """Return the instances whose services have routes."""
        services = {route['service'] for route in ROUTES.values()}
        return [
            name
            for name in self.names
            if self.fleet.sidecars[name].service in services
        ]

    def start_proxy(self) -> None:
        """Start the fault proxy through which nodes reach each other."""
        routes = [
            '%d:%s' % (self.proxy_ports[name], self.fleet.sidecars[name].peers)
            for name in self.names
        ]
        self.system.start_process(
            'proxy',
            'oleanderknot.standins.fault_proxy',
            '--control',
            str(self.control_port),
            *routes,
        )

    def get_record_path(self, name: str) -> pathlib.Path:
        """Return the event file of the back end of an instance."""
        return self.folder / (name + '.record')

    def set_link_faults(self, name: str, **faults: object) -> None:
        """Set faults on the proxied connections to a node."""
        http.post_json(
            'http://127.0.0.1:%d/%d'
            % (self.control_port, self.proxy_ports[name]),
            faults,
        )

    def clear_faults(self) -> None:
        """End all faults that are still active."""
        # A stalled connection still holds requests that their callers have
        # given up, so it is reset. With planned operations only, a reset would
        # interrupt requests.
        cut = not self.options.planned_only
        for name in self.names:
            self.set_link_faults(
                name, delay_ms=0, hold_from=[], thaw=True, cut=cut
            )
            item = self.fleet.sidecars[name]
            for process in (item.process, item.backend):
                if process.is_running():
                    process.send_signal(signal.SIGCONT)
        self.fleet.set_faults(silent=0, down=0, busy=0, delay_ms=0)

    def stop(self) -> None:
        """Stop all processes of this run."""
        self.system.stop()
