"""Table row with the addresses that new nodes use to join."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import member_table

MAX_ADDRESSES = 8

# The row is rewritten when it holds fewer live addresses than this. The
# margin to the maximum allows a few nodes to end without a write.
MIN_LIVE_ADDRESSES = 5


def format_address(record: model.Member) -> str:
    """Return the address for connections from other nodes, ``ip:port``."""
    return '%s:%d' % (record.host, record.peer_port)


def plan_peer_row(
    addresses: collections.abc.Sequence[str],
    *,
    table: member_table.MemberTable,
    data_centre: str,
    draw: collections.abc.Callable[[int], int],
) -> list[str] | None:
    """Decide which addresses the row of a data centre should hold.

    Args:
        addresses: Addresses that the row holds now.
        table: Membership table.
        data_centre: The data centre.
        draw: Returns a random integer from 0 up to its argument, exclusive.

    Returns:
        At most ``MAX_ADDRESSES`` addresses, or None when the row needs no
        update.
    """
    live = [
        format_address(record)
        for record in table.list_data_centre(data_centre)
        if record.state <= model.MemberState.TAKING
    ]
    kept = [item for item in addresses if item in live][:MAX_ADDRESSES]
    if len(kept) >= min(MIN_LIVE_ADDRESSES, len(live)):
        return None
    rest = [item for item in live if item not in kept]
    while rest and len(kept) < MAX_ADDRESSES:
        kept.append(rest.pop(draw(len(rest))))
    return kept
