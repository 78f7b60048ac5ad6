"""Network partitions of data centres for ticket tests."""

import json

from features.support import http
from features.support import node as nodes
from features.support import ports
from features.support import system as systems
from features.support import tickets


def start_proxied_platform(system: systems.System) -> None:
    """Start the platform behind a fault proxy.

    The proxy identifies data centres by source address.
    """
    system.start_platform()
    port, control = ports.allocate_ports(2)
    system.ticket_table_url = 'http://127.0.0.1:%d' % port
    system.ticket_proxy_url = 'http://127.0.0.1:%d/%d' % (control, port)
    system.start_process(
        'proxy-platform',
        'oleanderknot.standins.fault_proxy',
        *('--control', str(control)),
        '%d:127.0.0.1:%d' % (port, system.platform_port),
    )
    system.wait_for(
        lambda: http.post_json(system.ticket_proxy_url, {}),
        'start of the proxy of the platform',
    )
    system.extra_settings['platform'] = {
        'table_url': system.ticket_table_url,
        'object_url': system.ticket_table_url,
    }


def set_partition(system: systems.System, name: str, *, refuse: bool) -> None:
    """Partition a data centre from the platform and peers, or heal it."""
    prefixes = {
        centre: '127.0.%d.' % number
        for centre, number in system.networks.items()
    }
    own = [prefixes[name]]
    others = [prefixes[item] for item in prefixes if item != name]

    def build_faults(sources: list[str]) -> dict[str, object]:
        return (
            {'refuse_from': sources, 'cut': sources}
            if refuse
            else {'refuse_from': []}
        )

    http.post_json(system.ticket_proxy_url, build_faults(own))
    for node in system.nodes.values():
        isolated = node.data_centre == name
        system.inject_faults(node, **build_faults(others if isolated else own))


def read_policy(node: nodes.Node) -> dict:
    """Return the policy section of a node's status."""
    return http.get_json(node.status_url())['policy']


def run_ticket_status(
    system: systems.System, number: int, *, through: str
) -> tuple[int, dict]:
    """Run ``ticket status`` and return its exit code and JSON answer."""
    node = system.nodes[through]
    result = tickets.run_command(
        *('ticket', 'status', str(number), '--output', 'json'),
        *('--node', '127.0.0.1:%d' % node.operator_port),
        *('--table', system.ticket_table_url),
    )
    return result.returncode, json.loads(result.stdout or '{}')
