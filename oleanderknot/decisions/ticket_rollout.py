"""Rollout status of a ticket across nodes and data centres."""

import collections.abc

from oleanderknot import model


def is_in_force(
    number: int,
    scopes: collections.abc.Collection[str],
    policy: model.NodePolicy,
) -> bool:
    """Return whether a ticket, or a later one, is in force on a node.

    Args:
        number: Number of the ticket.
        scopes: Scopes that the ticket sets; empty when unknown.
        policy: Policy status of the node.
    """
    if policy.complete >= number:
        return True
    return bool(scopes) and all(
        policy.scopes.get(scope, 0) >= number for scope in scopes
    )


def group_by_data_centre(
    number: int,
    scopes: collections.abc.Collection[str],
    policies: collections.abc.Iterable[model.NodePolicy],
) -> dict[str, model.DataCentreTicketStatus]:
    """Group nodes by data centre and by whether a ticket is in force.

    Args:
        number: Number of the ticket.
        scopes: Scopes that the ticket sets; empty when unknown.
        policies: Policy status of each node, or the error of its query.

    Returns:
        The groups by data centre, in alphabetical order.
    """
    centres: dict[str, model.DataCentreTicketStatus] = {}
    for policy in sorted(
        policies, key=lambda item: (item.data_centre, item.instance)
    ):
        centre = centres.setdefault(
            policy.data_centre, model.DataCentreTicketStatus()
        )
        if policy.fault:
            centre.not_asked.append(policy)
        elif is_in_force(number, scopes, policy):
            centre.in_force.append(policy.instance)
        else:
            centre.not_yet.append(policy.instance)
    return centres
