"""The processes of one soak."""

import pathlib
import signal

from features.support import fleet
from features.support import http
from features.support import ports
from features.support import system
from soak import soak_options

SERVICES = ('front', 'catalogue', 'orders')
DATA_CENTRES = ('dc1', 'dc2')
ROUTES = {
    'page': {'prefix': '/page/', 'kind': 'safe', 'service': 'catalogue'},
    'order': {'prefix': '/order/', 'kind': 'unsafe', 'service': 'orders'},
    'look': {'prefix': '/look/', 'kind': 'safe', 'service': 'orders'},
}

# The bound on repeats that all nodes get and the checks hold them to.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 40
REPEAT_WINDOW_S = 10.0


class World:
    """Starts the store, a fault proxy, nodes and back ends, and ends them.

    Attributes:
        fleet: Store, nodes and back ends.
        names: Names of the instances.
        proxy_ports: Port of the fault proxy in front of each instance.
        control_port: Port of the fault proxy for commands.
        exits: Names of nodes that have ended by themselves.
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
        """Folder with the logs and records."""
        return self.system.folder

    def start(self) -> None:
        """Start all processes and wait until requests are served."""
        self.fleet.start_store()
        self.fleet.routes.update(ROUTES)
        self.control_port, *numbers = ports.allocate_ports(len(self.names) + 1)
        self.proxy_ports = dict(zip(self.names, numbers, strict=True))
        for number, name in enumerate(self.names):
            self.fleet.start(
                name,
                SERVICES[number % len(SERVICES)],
                DATA_CENTRES[number // len(SERVICES) % len(DATA_CENTRES)],
                advertised='127.0.0.1:%d' % self.proxy_ports[name],
                record=str(self.find_record(name)),
            )
        self.start_proxy()
        self.fleet.put_policy()
        for name in self.names:
            for prefix in ('/page/', '/look/'):
                self.fleet.wait_for_service(name, prefix + 'ready')

    def start_proxy(self) -> None:
        """Start the fault proxy that other nodes reach each node through."""
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

    def find_record(self, name: str) -> pathlib.Path:
        """Return the file that the back end of an instance writes."""
        return self.folder / (name + '.record')

    def inject(self, name: str, **faults: object) -> None:
        """Change the faults of the path to a node."""
        http.post_json(
            'http://127.0.0.1:%d/%d'
            % (self.control_port, self.proxy_ports[name]),
            faults,
        )

    def heal(self) -> None:
        """End all faults that last."""
        # A connection that was held open keeps what its caller gave up.
        cut = not self.options.planned_only
        for name in self.names:
            self.inject(name, delay_ms=0, hold_from=[], thaw=True, cut=cut)
            item = self.fleet.sidecars[name]
            for process in (item.process, item.backend):
                if process.is_running():
                    process.send_signal(signal.SIGCONT)
        self.fleet.set_faults(silent=0, down=0, busy=0, delay_ms=0)

    def stop(self) -> None:
        """End all processes that this soak has started."""
        self.system.stop()
