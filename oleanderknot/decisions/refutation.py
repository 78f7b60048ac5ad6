"""Refutation and routing of claims that a member has failed."""

import collections.abc
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import member_table


def refute(own: model.Member, claim: model.Member) -> model.Member | None:
    """Build a record that refutes a claim about this node.

    Args:
        own: This node's own record.
        claim: Record of the same instance, received from another node.

    Returns:
        A record that supersedes the claim, or None when the own record
        already does so. A claim with a higher incarnation cannot be
        refuted, since the instance has been restarted elsewhere.
    """
    if claim.incarnation != own.incarnation:
        return None
    if not member_table.is_newer(claim, own):
        return None
    return dataclasses.replace(own, version=claim.version + 1)


def outbid(own: model.Member, claim: model.Member) -> model.Member | None:
    """Build a record that supersedes one of an earlier process of this node.

    Incarnations are taken from the time of day, which may have been set back
    since the earlier process started. The others would then hold all records
    of this process for outdated ones.

    Args:
        own: This node's own record.
        claim: Record of the same instance with a higher incarnation.

    Returns:
        The record; None if the claim is about another address, so that
        another process runs under the same instance.
    """
    if (claim.host, claim.peer_port) != (own.host, own.peer_port):
        return None
    return dataclasses.replace(own, incarnation=claim.incarnation + 1)


def split_claims(
    records: collections.abc.Iterable[model.Member],
    *,
    data_centre: str,
    sender_data_centre: str,
    table: member_table.MemberTable,
) -> tuple[list[model.Member], list[model.Member]]:
    """Separate failure claims that the sender has no authority to make.

    After a partition each side considers the members of the other side dead.
    If the members of a data centre accepted such claims about each other,
    they would send each other no work until every claim was refuted. A claim
    from another data centre that a local member has failed is therefore
    forwarded to that member, and only its answer or this node's own probes
    decide.

    Args:
        records: Records as received.
        data_centre: Data centre of this node.
        sender_data_centre: Data centre of the node that sent the records.
        table: Membership table.

    Returns:
        Records to merge, and claims to forward to the members that they
        are about.
    """
    if sender_data_centre == data_centre:
        return list(records), []
    merge = []
    forward = []
    for record in records:
        old = table.members.get(record.instance)
        if (
            record.data_centre == data_centre
            and record.state
            in (model.MemberState.SUSPECT, model.MemberState.DEAD)
            and old is not None
            and old.incarnation == record.incarnation
            and old.state not in member_table.ENDED_STATES
        ):
            if member_table.is_newer(record, old):
                forward.append(record)
        else:
            merge.append(record)
    return merge, forward
