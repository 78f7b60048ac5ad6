"""Members that a node knows."""

import collections.abc
import hashlib

from oleanderknot import model

# Records of members that have ended are kept this long, so that an old copy
# from a node that was stopped or cut off cannot bring them back. At 100
# replaced instances a day this holds 300 records.
FORGET_S = 3 * 86400.0

ENDED = (model.MemberState.LEFT, model.MemberState.DEAD)


def is_newer(new: model.Member, old: model.Member) -> bool:
    """Return whether a record replaces another of the same instance.

    The higher incarnation wins, then the higher version, then the worse
    state.
    """
    return (new.incarnation, new.version, new.state) > (
        old.incarnation,
        old.version,
        old.state,
    )


def hash_record(record: model.Member) -> int:
    """Return 64 bits that are the same at every node for the same record."""
    text = '%s %d %d %d' % (
        record.instance,
        record.incarnation,
        record.version,
        record.state,
    )
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class MemberTable:
    """Keeps the newest record of each instance.

    Attributes:
        members: Record by instance.
        services: Records that have a service, by service and instance.
        hashes: By data centre, the exclusive or of the hashes of all its
            records that have not ended. Ended records are left out since
            nodes forget them at different times.
        ended: Monotonic time in seconds at which the end of an instance was
            first noticed by ``forget``.
    """

    def __init__(self) -> None:
        self.members: dict[str, model.Member] = {}
        self.services: dict[str, dict[str, model.Member]] = {}
        self.hashes: dict[str, int] = {}
        self.ended: dict[str, float] = {}

    def merge(
        self, records: collections.abc.Iterable[model.Member]
    ) -> list[model.Member]:
        """Take records in any order.

        Args:
            records: Records from this node or from others.

        Returns:
            The records that were newer than those known.
        """
        changed = []
        for record in records:
            old = self.members.get(record.instance)
            if old is not None:
                if not is_newer(record, old):
                    continue
                self.remove(old)
            self.members[record.instance] = record
            if record.service:
                group = self.services.setdefault(record.service, {})
                group[record.instance] = record
            self.toggle_hash(record)
            changed.append(record)
        return changed

    def remove(self, record: model.Member) -> None:
        """Remove a record that the table holds."""
        del self.members[record.instance]
        self.ended.pop(record.instance, None)
        if record.service:
            self.services[record.service].pop(record.instance, None)
        self.toggle_hash(record)

    def toggle_hash(self, record: model.Member) -> None:
        """Add a record to its data centre's hash, or take it out."""
        if record.state not in ENDED:
            name = record.data_centre
            value = self.hashes.get(name, 0) ^ hash_record(record)
            if value:
                self.hashes[name] = value
            else:
                del self.hashes[name]

    def forget(self, now: float) -> None:
        """Remove records that ended long ago.

        Args:
            now: Monotonic time in seconds.
        """
        for record in list(self.members.values()):
            if record.state not in ENDED:
                continue
            since = self.ended.setdefault(record.instance, now)
            if now - since >= FORGET_S:
                self.remove(record)

    def list_service(
        self, service: str
    ) -> collections.abc.Iterable[model.Member]:
        """Return the records of a service's instances."""
        return self.services.get(service, {}).values()

    def list_data_centre(self, name: str) -> list[model.Member]:
        """Return the records of a data centre, ended ones as well."""
        return [
            record
            for record in self.members.values()
            if record.data_centre == name
        ]

    def list_live(self) -> list[model.Member]:
        """Return the records of members that have not ended."""
        return [
            record
            for record in self.members.values()
            if record.state not in ENDED
        ]
