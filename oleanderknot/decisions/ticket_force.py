"""Decides where a ticket is in force."""

import collections.abc

from oleanderknot import model


def is_in_force(
    number: int,
    scopes: collections.abc.Collection[str],
    policy: model.NodePolicy,
) -> bool:
    """Return whether a node has a ticket, or a later one, in force.

    Args:
        number: Number of the ticket.
        scopes: Scopes that the ticket touches; empty when unknown.
        policy: What the node holds.
    """
    if policy.complete >= number:
        return True
    return bool(scopes) and all(
        policy.scopes.get(scope, 0) >= number for scope in scopes
    )


def group_by_centre(
    number: int,
    scopes: collections.abc.Collection[str],
    policies: collections.abc.Iterable[model.NodePolicy],
) -> dict[str, model.DataCentreTicketStatus]:
    """Group the answers of nodes by data centre.

    Args:
        number: Number of the ticket.
        scopes: Scopes that the ticket touches; empty when unknown.
        policies: What each node said, or why it could not be asked.

    Returns:
        The groups, sorted by data centre.
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
