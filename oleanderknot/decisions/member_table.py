"""Members that a node knows."""

import collections.abc

from oleanderknot import model


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


class MemberTable:
    """Keeps the newest record of each instance.

    Attributes:
        members: Record by instance.
        services: Records that have a service, by service and instance.
    """

    def __init__(self) -> None:
        self.members: dict[str, model.Member] = {}
        self.services: dict[str, dict[str, model.Member]] = {}

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
            if old is not None and not is_newer(record, old):
                continue
            self.members[record.instance] = record
            if old is not None and old.service:
                self.services[old.service].pop(record.instance, None)
            if record.service:
                group = self.services.setdefault(record.service, {})
                group[record.instance] = record
            changed.append(record)
        return changed

    def list_service(
        self, service: str
    ) -> collections.abc.Iterable[model.Member]:
        """Return the records of a service's instances."""
        return self.services.get(service, {}).values()
