"""Anti-entropy exchange of membership records between two nodes."""

import collections.abc
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import member_table

# Bandwidth limit for version lists that this node initiates. Together with
# the lists of other nodes and the answers the traffic is four times as much.
# Within the 7 KB/s for control messages this leaves enough for the maximum
# rate of changes: 8 changes of 85 bytes in each of 4 messages per second.
VERSION_LIST_BYTES_PER_S = 500.0

# Encoded size of one version with an instance name of 20 characters.
VERSION_BYTES = 40

MIN_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordVersion:
    """Identifies the version of one record without its content.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the node; 0 when no record is known.
        version: Version of the record within the incarnation.
        state: State of the node.
    """

    instance: str
    incarnation: int
    version: int
    state: model.MemberState


def build_version(record: model.Member) -> RecordVersion:
    """Return the version of a record."""
    return RecordVersion(
        instance=record.instance,
        incarnation=record.incarnation,
        version=record.version,
        state=record.state,
    )


def compare_versions(
    table: member_table.MemberTable,
    data_centre: str,
    versions: collections.abc.Iterable[RecordVersion],
    *,
    whole: bool,
) -> tuple[list[model.Member], list[RecordVersion]]:
    """Compare the versions held by a peer with the local records.

    Args:
        table: Local membership table.
        data_centre: Data centre that is compared.
        versions: Versions that the peer holds.
        whole: Whether the versions cover all records of the data centre that
            the peer holds. Otherwise only the named instances are compared.

    Returns:
        Records that the peer lacks or holds in an older version, and local
        versions of the records of which the peer holds a newer version.
    """
    send = []
    want = []
    named = set()
    for version in versions:
        named.add(version.instance)
        own = table.members.get(version.instance)
        if own is None:
            want.append(
                dataclasses.replace(
                    version,
                    incarnation=0,
                    version=0,
                    state=model.MemberState.JOINING,
                )
            )
        elif get_sort_key(build_version(own)) > get_sort_key(version):
            send.append(own)
        elif get_sort_key(build_version(own)) < get_sort_key(version):
            want.append(build_version(own))
    if whole:
        send += [
            record
            for record in table.list_data_centre(data_centre)
            if record.instance not in named
        ]
    return send, want


def get_sort_key(version: RecordVersion) -> tuple[int, int, int]:
    """Return the sort key by which versions are ordered."""
    return version.incarnation, version.version, version.state


class ExchangeLimiter:
    """Limits the rate of exchanges that a node initiates.

    While a change is being disseminated, the hashes of many pairs of nodes
    differ for seconds. Sending a version list with each ping would cost more
    than the change itself.

    Attributes:
        next_at: Monotonic time in seconds at which the next exchange is
            allowed, by data centre.
    """

    def __init__(self) -> None:
        self.next_at: dict[str, float] = {}

    def try_acquire(self, data_centre: str, records: int, now: float) -> bool:
        """Return whether an exchange is allowed now, and record it if so.

        Args:
            data_centre: Data centre whose hashes differ.
            records: Number of records in the version list.
            now: Monotonic time in seconds.

        Returns:
            Whether the exchange is allowed.
        """
        if now < self.next_at.get(data_centre, 0.0):
            return False
        interval = records * VERSION_BYTES / VERSION_LIST_BYTES_PER_S
        self.next_at[data_centre] = now + max(MIN_INTERVAL_S, interval)
        return True
