"""Membership table with one record per instance."""

import collections.abc
import dataclasses
import hashlib

from oleanderknot import model

# Retention of records of members that left or died. Without it, an outdated
# copy from a node that was stopped or partitioned would restore the member.
# 100 replaced instances a day leave 300 such records in the table.
ENDED_RETENTION_S = 3 * 86400.0

ENDED_STATES = (model.MemberState.LEFT, model.MemberState.DEAD)


def is_newer(new: model.Member, old: model.Member) -> bool:
    """Return whether a record supersedes another of the same instance.

    Records are ordered by incarnation, then version, then state, with the
    less healthy state taking precedence.
    """
    return (new.incarnation, new.version, new.state) > (
        old.incarnation,
        old.version,
        old.state,
    )


def hash_record(record: model.Member) -> int:
    """Return a 64-bit hash of a record that is the same on every node."""
    text = '%s %d %d %d' % (
        record.instance,
        record.incarnation,
        record.version,
        record.state,
    )
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class MemberTable:
    """Stores the newest record of each instance.

    Attributes:
        members: Record by instance.
        services: Records that have a service, by service and instance.
        hashes: XOR of the hashes of all live records, by data centre.
            Records of members that left or died are excluded, since nodes
            remove them at different times.
        ended_since: Monotonic time in seconds at which ``remove_expired``
            first found that an instance had left or died, by instance.
        version: Number of changes of the records.
    """

    def __init__(self) -> None:
        self.members: dict[str, model.Member] = {}
        self.services: dict[str, dict[str, model.Member]] = {}
        self.hashes: dict[str, int] = {}
        self.ended_since: dict[str, float] = {}
        self.version = 0

    def merge(
        self, records: collections.abc.Iterable[model.Member]
    ) -> list[model.Member]:
        """Merge records, which may arrive in any order.

        Args:
            records: Records from this node or from others.

        Returns:
            The records that replaced older ones or were not yet known.
        """
        changed = []
        for record in records:
            old = self.members.get(record.instance)
            if old is not None:
                if not is_newer(record, old):
                    continue
                self.remove(old)
                if record.departure is None and old.departure is not None:
                    # A restarted node learns of it from the others.
                    record = dataclasses.replace(
                        record, departure=old.departure
                    )
            self.members[record.instance] = record
            self.version += 1
            if record.service:
                group = self.services.setdefault(record.service, {})
                group[record.instance] = record
            self.toggle_hash(record)
            changed.append(record)
        return changed

    def remove(self, record: model.Member) -> None:
        """Remove a record, which must be in the table."""
        del self.members[record.instance]
        self.version += 1
        self.ended_since.pop(record.instance, None)
        if record.service:
            self.services[record.service].pop(record.instance, None)
        self.toggle_hash(record)

    def toggle_hash(self, record: model.Member) -> None:
        """Add a record to the hash of its data centre, or remove it."""
        if record.state not in ENDED_STATES:
            name = record.data_centre
            value = self.hashes.get(name, 0) ^ hash_record(record)
            if value:
                self.hashes[name] = value
            else:
                del self.hashes[name]

    def remove_expired(self, now: float) -> None:
        """Remove records of ended members past their retention time.

        Args:
            now: Monotonic time in seconds.
        """
        for record in list(self.members.values()):
            if record.state not in ENDED_STATES:
                continue
            since = self.ended_since.setdefault(record.instance, now)
            if now - since >= ENDED_RETENTION_S:
                self.remove(record)

    def list_service(
        self, service: str
    ) -> collections.abc.Iterable[model.Member]:
        """Return the records of a service's instances."""
        return self.services.get(service, {}).values()

    def list_data_centre(self, name: str) -> list[model.Member]:
        """Return all records of a data centre, including ended members."""
        return [
            record
            for record in self.members.values()
            if record.data_centre == name
        ]

    def list_live(self) -> list[model.Member]:
        """Return the records of members that have neither left nor died."""
        return [
            record
            for record in self.members.values()
            if record.state not in ENDED_STATES
        ]
