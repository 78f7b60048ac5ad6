"""Addresses by which new nodes of a data centre find others."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import member_table

MAX_ADDRESSES = 8

# With fewer live addresses than this the row is written anew; between this
# and the maximum a few may end without a write.
MIN_ALIVE = 5


def format_address(record: model.Member) -> str:
    """Return the address of a node for other nodes, ``ip:port``."""
    return '%s:%d' % (record.host, record.peer_port)


def plan_row(
    addresses: collections.abc.Sequence[str],
    *,
    table: member_table.MemberTable,
    data_centre: str,
    draw: collections.abc.Callable[[int], int],
) -> list[str] | None:
    """Decide what a data centre's row should hold.

    Args:
        addresses: Addresses that it holds.
        table: Members that are known.
        data_centre: The data centre.
        draw: Returns a random number below its argument.

    Returns:
        At most ``MAX_ADDRESSES`` addresses, or None when the row may stay.
    """
    live = [
        format_address(record)
        for record in table.list_data_centre(data_centre)
        if record.state <= model.MemberState.TAKING
    ]
    kept = [item for item in addresses if item in live][:MAX_ADDRESSES]
    if len(kept) >= min(MIN_ALIVE, len(live)):
        return None
    rest = [item for item in live if item not in kept]
    while rest and len(kept) < MAX_ADDRESSES:
        kept.append(rest.pop(draw(len(rest))))
    return kept
