"""Spreads the records of nodes and upstreams."""

import collections.abc
import dataclasses
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import gossip_kind
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool

# Records in one frame; far below the largest frame at 100 bytes a record.
RECORDS_PER_FRAME = 500

# Log lines about members. A node that joins 1,200 others hears of all at once.
LINES_PER_S = 20

ChangeHook = collections.abc.Callable[[model.Member], None]


class Membership:
    """Owns the table of members and the own record in it.

    Attributes:
        table: Records by instance.
        own: Record of this node.
        pool: Connections to other nodes.
        spread: Recent changes that ride on probes.
        lines: Limits the log lines about members.
        pace: Spaces the exchanges of whole data centres.
        on_change: Called with each changed record of another node.
        on_probe: Called with messages of the failure detector.
        count: Counts an event by name.
    """

    def __init__(
        self,
        *,
        table: decisions.MemberTable,
        own: model.Member,
        pool: peer_pool.PeerPool,
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.table = table
        self.own = own
        self.pool = pool
        self.count = count
        self.spread = decisions.GossipQueue()
        self.lines = decisions.LogSampler(per_second=LINES_PER_S)
        self.pace = decisions.ExchangeLimiter()
        self.on_change: ChangeHook = lambda record: None
        self.on_probe: collections.abc.Callable[
            [peer_connection.PeerConnection, wire.Gossip], None
        ] = lambda connection, message: None
        self.set_own(own)

    def set_own(self, own: model.Member) -> None:
        """Replace the own record and tell all connected nodes at once."""
        self.own = own
        self.table.merge([own])
        self.spread.add(own.instance)
        for connection in list(self.pool.open):
            self.push(connection, [own])

    def change_own(self, **changes: object) -> None:
        """Change the own record and tell all connected nodes at once."""
        self.set_own(
            dataclasses.replace(
                self.own, version=self.own.version + 1, **changes
            )
        )

    def judge(self, instance: str, state: model.MemberState) -> None:
        """Record what the failure detector has found about another node."""
        record = self.table.members.get(instance)
        if record is None or record.state >= state:
            return
        judged = dataclasses.replace(record, state=state)
        self.count('member.' + state.name.lower())
        self.take([judged])
        # The member itself must hear of it to be able to refute.
        connection = self.pool.find(instance)
        if connection is not None:
            self.push(connection, [judged])

    def take(
        self, records: collections.abc.Iterable[model.Member]
    ) -> list[model.Member]:
        """Merge records and spread those that are new.

        Returns:
            The records that were new.
        """
        records = list(records)
        before = [self.table.members.get(item.instance) for item in records]
        changed = self.table.merge(records)
        self.log_states(before, changed)
        for record in changed:
            self.spread.add(record.instance)
            self.on_change(record)
        return changed

    def log_states(
        self,
        before: collections.abc.Iterable[model.Member | None],
        changed: collections.abc.Iterable[model.Member],
    ) -> None:
        """Log the members that have been found, lost or changed their state.

        Args:
            before: What was known of them; None for a new member.
            changed: Their new records.
        """
        states = {item.instance: item.state for item in before if item}
        for record in changed:
            known = states.get(record.instance)
            if known is record.state:
                continue
            if not self.lines.allow(time.monotonic()):
                continue
            logging.info(
                '%s is %s',
                record.instance,
                record.state.name.lower(),
                extra={
                    'call_fields': {
                        'event': 'member',
                        'member': record.instance,
                        'state': record.state.name.lower(),
                        'before': known.name.lower() if known else None,
                        'incarnation': record.incarnation,
                        'version': record.version,
                        'left_out': self.lines.flush(),
                    }
                },
            )

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Take a membership message.

        Raises:
            BadFrame: The message is malformed.
        """
        kind = message.kind
        if kind not in tuple(gossip_kind.GossipKind):
            raise wire.BadFrame('gossip of unknown kind %r' % kind)
        self.handle_changes(
            connection,
            [wire.member_from_wire(item) for item in message.changes or ()],
        )
        if message.hashes is not None:
            self.compare_hashes(
                connection, wire.hashes_from_wire(message.hashes)
            )
        if kind == gossip_kind.GossipKind.VERSIONS:
            self.handle_versions(connection, message)
        elif kind <= gossip_kind.GossipKind.INDIRECT:
            self.on_probe(connection, message)

    def handle_changes(
        self,
        connection: peer_connection.PeerConnection,
        records: list[model.Member],
    ) -> None:
        """Take records that another node has sent."""
        others = []
        for record in records:
            if record.instance != self.own.instance:
                others.append(record)
                continue
            answer = decisions.refute(self.own, record)
            if answer is not None:
                self.count('member.refuted')
                self.set_own(answer)
            elif record.incarnation > self.own.incarnation:
                self.count('member.replaced')
                logging.error('another node runs under the own name')
        merge, claims = decisions.split_claims(
            others,
            data_centre=self.own.data_centre,
            sender_data_centre=connection.peer.data_centre,
            table=self.table,
        )
        self.take(merge)
        for claim in claims:
            neighbour = self.pool.find(claim.instance)
            if neighbour is not None:
                self.push(neighbour, [claim])

    def compare_hashes(
        self,
        connection: peer_connection.PeerConnection,
        hashes: dict[str, int],
    ) -> None:
        """Start an exchange for a data centre whose records differ."""
        own = self.table.hashes
        for name in own.keys() | hashes.keys():
            if own.get(name) == hashes.get(name):
                continue
            records = self.table.list_data_centre(name)
            if self.pace.try_acquire(name, len(records), time.monotonic()):
                versions = [decisions.build_version(item) for item in records]
                self.send_versions(connection, name, versions, whole=True)
                # One at a time; the next probes take the others.
                return

    def send_versions(
        self,
        connection: peer_connection.PeerConnection,
        data_centre: str,
        versions: collections.abc.Iterable[decisions.RecordVersion],
        *,
        whole: bool,
    ) -> None:
        """Tell another node which records this one holds."""
        self.send(
            connection,
            gossip_kind.GossipKind.VERSIONS,
            number=int(whole),
            data_centre=data_centre,
            versions=[wire.version_to_wire(item) for item in versions],
        )

    def handle_versions(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Send what the other node lacks, and ask for what this one lacks."""
        name = message.data_centre or ''
        send, want = decisions.compare_versions(
            self.table,
            name,
            [wire.version_from_wire(item) for item in message.versions or ()],
            whole=message.number == 1,
        )
        for start in range(0, len(send), RECORDS_PER_FRAME):
            self.push(
                connection,
                send[start : start + RECORDS_PER_FRAME],
                gossip_kind.GossipKind.RECORDS,
            )
        if want and message.number == 1:
            self.send_versions(connection, name, want, whole=False)

    def push(
        self,
        connection: peer_connection.PeerConnection,
        records: collections.abc.Iterable[model.Member],
        kind: gossip_kind.GossipKind = gossip_kind.GossipKind.PUSH,
    ) -> None:
        """Send records to another node."""
        changes = [wire.member_to_wire(record) for record in records]
        self.send(connection, kind, changes=changes)

    def send(
        self,
        connection: peer_connection.PeerConnection,
        kind: gossip_kind.GossipKind,
        *,
        number: int = 0,
        **fields: object,
    ) -> None:
        """Send a membership message."""
        connection.send(
            0, gossip=wire.Gossip(kind=kind, number=number, **fields)
        )

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Introduce this node to one that has just connected.

        A node that this one takes for dead is told so, and refutes.
        """
        records = [self.own]
        record = self.table.members.get(connection.peer.instance)
        if record is not None and record.state >= model.MemberState.SUSPECT:
            records.append(record)
        self.send(
            connection,
            gossip_kind.GossipKind.PUSH,
            changes=[wire.member_to_wire(item) for item in records],
            hashes=wire.hashes_to_wire(self.table.hashes),
        )

    def list_changes(self) -> list[wire.Member]:
        """Choose the changes that ride on one probe."""
        names = self.spread.next_batch(len(self.table.members))
        return [
            wire.member_to_wire(self.table.members[name])
            for name in names
            if name in self.table.members
        ]
