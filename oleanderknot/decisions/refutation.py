"""What a node does about records that say that it has failed."""

import collections.abc
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import member_table


def refute(own: model.Member, claim: model.Member) -> model.Member | None:
    """Answer a record of the own instance that came from another node.

    Args:
        own: The own record.
        claim: A record of the same instance.

    Returns:
        A record that replaces the claim, or None when the own record does
        so already. A claim of a higher incarnation cannot be answered: a
        later life of the instance has begun elsewhere.
    """
    if claim.incarnation != own.incarnation:
        return None
    if not member_table.is_newer(claim, own):
        return None
    return dataclasses.replace(own, version=claim.version + 1)


def split_claims(
    records: collections.abc.Iterable[model.Member],
    *,
    data_centre: str,
    sender: str,
    table: member_table.MemberTable,
) -> tuple[list[model.Member], list[model.Member]]:
    """Set claims apart that the sender is in no position to make.

    After a partition each side holds the other side's members for dead. If
    the members of a data centre believed that about each other, they would
    give each other no work until all had refuted. So a claim from another
    data centre that a neighbour has failed is passed on to the neighbour,
    and only its own answer or the own probes decide.

    Args:
        records: Records as received.
        data_centre: Own data centre.
        sender: Data centre of the node that sent them.
        table: Members that are known.

    Returns:
        Records to merge, and claims to pass on to the member they concern.
    """
    if sender == data_centre:
        return list(records), []
    merge = []
    pass_on = []
    for record in records:
        old = table.members.get(record.instance)
        if (
            record.data_centre == data_centre
            and record.state
            in (model.MemberState.SUSPECT, model.MemberState.DEAD)
            and old is not None
            and old.incarnation == record.incarnation
            and old.state not in member_table.ENDED
        ):
            if member_table.is_newer(record, old):
                pass_on.append(record)
        else:
            merge.append(record)
    return merge, pass_on
