"""Builds the status report of a node for operators."""

import typing

from oleanderknot import model

if typing.TYPE_CHECKING:
    from oleanderknot.node import application


def describe_member(member: model.Member) -> dict[str, object]:
    """Return the membership record of a node as JSON values."""
    return {
        'instance': member.instance,
        'incarnation': member.incarnation,
        'version': member.version,
        'state': member.state.name.lower(),
        'service': member.service,
        'data_centre': member.data_centre,
        'host': member.host,
        'caller_port': member.caller_port,
        'operator_port': member.operator_port,
    }


def describe_node(node: 'application.NodeApplication') -> dict[str, object]:
    """Return the status of a node as JSON values."""
    return {
        'instance': node.identity.instance,
        'incarnation': node.identity.incarnation,
        'data_centre': node.identity.data_centre,
        'service': node.runner.service,
        'leaving': node.runner.leaving,
        'running': node.runner.running,
        'orders': node.orders.describe_load(),
        'load': node.runner.admission.describe(),
        'refused_leaving': node.runner.refused_leaving,
        'egress_port': node.listeners.egress_port,
        'caller_port': node.membership.own.caller_port,
        'members': [
            describe_member(member) for member in node.members.members.values()
        ],
        'policy': node.tickets.describe(),
        'connections': sorted(node.pool.connections),
        **node.observability.describe(),
        'control': {
            'sent_bytes': node.traffic.sent,
            'received_bytes': node.traffic.received,
        },
    }
