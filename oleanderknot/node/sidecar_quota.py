"""Builds the limits over all nodes of a sidecar node."""

import typing

from oleanderknot import model
from oleanderknot.tasks import quota
from oleanderknot.tasks import quota_members

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


def build_quota(
    node: 'sidecar_application.SidecarApplication',
) -> quota.Quota:
    """Build the task that limits the requests of organisations."""

    def is_leaving() -> bool:
        own = node.members.members.get(node.identity.instance)
        return node.stopping or (
            own is not None and own.state is model.MemberState.LEAVING
        )

    def is_isolated() -> bool:
        # A node that started while it is cut off knows no other node, and
        # would be more than half of all that it knows.
        return (
            bool(node.peer_discovery.unreached)
            and len(node.members.list_live()) <= 1
        )

    def list_unreached() -> list[str]:
        # The row of an earlier version does not name the data centre.
        return [
            name
            for name, row in node.peer_discovery.unreached.items()
            if row.data_centre in ('', node.identity.data_centre)
        ]

    return quota.Quota(
        members=quota_members.QuotaMembers(
            identity=node.identity,
            data_centres=node.settings.data_centres,
            table=node.members,
            pool=node.pool,
            list_unreached=list_unreached,
        ),
        is_informed=lambda: node.peer_discovery.rows_read,
        first_start=node.settings.first_start,
        is_leaving=is_leaving,
        is_isolated=is_isolated,
        count=node.recorder.count,
        rng=node.rng,
    )
