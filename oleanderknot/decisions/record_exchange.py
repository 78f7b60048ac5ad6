"""What two nodes exchange when their records of a data centre differ."""

import collections.abc
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import member_table

# Bytes a second that a node may spend on lists of versions that it starts.
# With those of others and the answers it is four times as much, which leaves
# room below the 7 KB a second of control for a full load of changes: 8 of 85
# bytes in each of 4 messages a second.
LIST_BYTES_PER_S = 500.0

# Encoded size of one version with an instance name of 20 characters.
VERSION_BYTES = 40

MIN_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordVersion:
    """Names one record without its content.

    Attributes:
        instance: Name of the instance.
        incarnation: Life of the node; 0 when no record is known.
        version: Change within the life.
        state: State of the node.
    """

    instance: str
    incarnation: int
    version: int
    state: model.MemberState


def describe(record: model.Member) -> RecordVersion:
    """Return the version of a record."""
    return RecordVersion(
        instance=record.instance,
        incarnation=record.incarnation,
        version=record.version,
        state=record.state,
    )


def compare(
    table: member_table.MemberTable,
    data_centre: str,
    versions: collections.abc.Iterable[RecordVersion],
    *,
    whole: bool,
) -> tuple[list[model.Member], list[RecordVersion]]:
    """Compare the other side's versions with the own records.

    Args:
        table: Own records.
        data_centre: Data centre that is compared.
        versions: Versions that the other side holds.
        whole: Whether they are all that the other side holds of the data
            centre; otherwise the answer covers the named instances only.

    Returns:
        Records that the other side lacks or holds in an older version, and
        own versions of the records that it holds in a newer one.
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
        elif rate(describe(own)) > rate(version):
            send.append(own)
        elif rate(describe(own)) < rate(version):
            want.append(describe(own))
    if whole:
        send += [
            record
            for record in table.list_data_centre(data_centre)
            if record.instance not in named
        ]
    return send, want


def rate(version: RecordVersion) -> tuple[int, int, int]:
    """Return what decides which version is newer."""
    return version.incarnation, version.version, version.state


class ExchangePace:
    """Spaces the exchanges of one node, so that they stay cheap.

    While a change spreads, hashes differ for seconds between many pairs; a
    list at each ping would cost more than the change itself.

    Attributes:
        free_at: Monotonic time in seconds of the next exchange, by data
            centre.
    """

    def __init__(self) -> None:
        self.free_at: dict[str, float] = {}

    def take(self, data_centre: str, records: int, now: float) -> bool:
        """Return whether an exchange may start now, and note it.

        Args:
            data_centre: Data centre that differs.
            records: Records of it that the list would name.
            now: Monotonic time in seconds.

        Returns:
            Whether the exchange may start.
        """
        if now < self.free_at.get(data_centre, 0.0):
            return False
        pause = records * VERSION_BYTES / LIST_BYTES_PER_S
        self.free_at[data_centre] = now + max(MIN_PAUSE_S, pause)
        return True
