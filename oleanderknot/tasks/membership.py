"""Maintains and disseminates the membership records of nodes and upstreams."""

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

# Largest number of records per frame. At about 100 bytes per record this
# stays far below the largest frame.
RECORDS_PER_FRAME = 500

# Limit of log lines about members. A node that joins 1,200 others learns of
# all of them at once.
LOG_LINES_PER_S = 20

ChangeCallback = collections.abc.Callable[[model.Member], None]


class Membership:
    """Owns the table of members and the record of this node in it.

    Attributes:
        table: Records by instance.
        own: Record of this node.
        pool: Connections to other nodes.
        pending_changes: Recent changes that are piggybacked on probes.
        log_sampler: Limits the log lines about members.
        exchange_limiter: Limits the rate of full exchanges for a data centre.
        on_change: Called with each changed record of another node.
        on_probe: Called with messages for the failure detector.
        on_incarnation: Called with the higher incarnation that this node
            takes; None if it keeps the one that it started with.
        on_own_departure: Called with a departure that an earlier incarnation
            of this node has acknowledged.
        count_event: Counts an event by name.
    """

    def __init__(
        self,
        *,
        table: decisions.MemberTable,
        own: model.Member,
        pool: peer_pool.PeerPool,
        count_event: collections.abc.Callable[[str], None],
    ) -> None:
        self.table = table
        self.own = own
        self.pool = pool
        self.count_event = count_event
        self.pending_changes = decisions.GossipQueue()
        self.log_sampler = decisions.LogSampler(per_second=LOG_LINES_PER_S)
        self.exchange_limiter = decisions.ExchangeLimiter()
        self.on_change: ChangeCallback = lambda record: None
        self.on_probe: collections.abc.Callable[
            [peer_connection.PeerConnection, wire.Gossip], None
        ] = lambda connection, message: None
        self.on_incarnation: collections.abc.Callable[[int], None] | None = (
            None
        )
        self.on_own_departure: collections.abc.Callable[
            [model.Departure], None
        ] = lambda departure: None
        self.replace_own_record(own)

    def replace_own_record(self, own: model.Member) -> None:
        """Replace this node's record and send it to all connected nodes."""
        self.own = own
        self.table.merge([own])
        self.pending_changes.add(own.instance)
        for connection in list(self.pool.open_connections):
            self.send_records(connection, [own])

    def update_own_record(self, **changes: object) -> None:
        """Change this node's record and send it to all connected nodes."""
        self.replace_own_record(
            dataclasses.replace(
                self.own, version=self.own.version + 1, **changes
            )
        )

    def record_state(self, instance: str, state: model.MemberState) -> None:
        """Record a state that the failure detector has found for a node."""
        record = self.table.members.get(instance)
        if record is None or record.state >= state:
            return
        updated = dataclasses.replace(record, state=state)
        self.count_event('member.' + state.name.lower())
        self.merge_records([updated])
        # The member has to learn of the state to be able to refute it.
        connection = self.pool.find(instance)
        if connection is not None:
            self.send_records(connection, [updated])

    def merge_records(
        self, records: collections.abc.Iterable[model.Member]
    ) -> list[model.Member]:
        """Merge records and queue the changed ones for dissemination.

        Returns:
            The records that changed the table.
        """
        records = list(records)
        before = [self.table.members.get(item.instance) for item in records]
        changed = self.table.merge(records)
        self.log_states(before, changed)
        for record in changed:
            self.pending_changes.add(record.instance)
            self.on_change(record)
        return changed

    def log_states(
        self,
        before: collections.abc.Iterable[model.Member | None],
        changed: collections.abc.Iterable[model.Member],
    ) -> None:
        """Log the members that are new or have changed their state.

        Args:
            before: The previous records; None for a new member.
            changed: The new records.
        """
        states = {item.instance: item.state for item in before if item}
        for record in changed:
            previous_state = states.get(record.instance)
            if previous_state is record.state:
                continue
            if not self.log_sampler.allow(time.monotonic()):
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
                        'before': previous_state.name.lower()
                        if previous_state
                        else None,
                        'incarnation': record.incarnation,
                        'version': record.version,
                        'left_out': self.log_sampler.flush(),
                    }
                },
            )

    def handle_gossip(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Handle a membership message.

        Raises:
            BadFrame: The message is malformed.
        """
        kind = message.kind
        if kind not in tuple(gossip_kind.GossipKind):
            raise wire.BadFrame('unknown kind %r of a gossip message' % kind)
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
        """Handle records that another node has sent."""
        others = []
        for record in records:
            if record.instance != self.own.instance:
                others.append(record)
                continue
            if record.departure is not None:
                self.on_own_departure(record.departure)
            refutation = decisions.refute(self.own, record)
            if refutation is not None:
                self.count_event('member.refuted')
                self.replace_own_record(refutation)
            elif record.incarnation > self.own.incarnation:
                self.handle_higher_incarnation(record)
        mergeable, claims = decisions.split_claims(
            others,
            data_centre=self.own.data_centre,
            sender_data_centre=connection.peer.data_centre,
            table=self.table,
        )
        self.merge_records(mergeable)
        for claim in claims:
            claimant = self.pool.find(claim.instance)
            if claimant is not None:
                self.send_records(claimant, [claim])

    def handle_higher_incarnation(self, record: model.Member) -> None:
        """Handle a record of this instance that supersedes the own one."""
        successor = decisions.outbid(self.own, record)
        if successor is None or self.on_incarnation is None:
            self.count_event('member.replaced')
            logging.error('another node runs under the instance of this one')
            return
        self.count_event('member.incarnation_raised')
        logging.warning(
            'an earlier process of this node has the later incarnation %d',
            record.incarnation,
            extra={
                'call_fields': {
                    'event': 'incarnation_raised',
                    'incarnation': successor.incarnation,
                    'before': self.own.incarnation,
                }
            },
        )
        self.on_incarnation(successor.incarnation)
        self.replace_own_record(successor)

    def compare_hashes(
        self,
        connection: peer_connection.PeerConnection,
        hashes: dict[str, int],
    ) -> None:
        """Start an exchange for the first data centre whose hashes differ."""
        own = self.table.hashes
        for name in own.keys() | hashes.keys():
            if own.get(name) == hashes.get(name):
                continue
            records = self.table.list_data_centre(name)
            if self.exchange_limiter.try_acquire(
                name, len(records), time.monotonic()
            ):
                versions = [decisions.build_version(item) for item in records]
                self.send_versions(connection, name, versions, whole=True)
                # One exchange at a time; the next probes start the others.
                return

    def send_versions(
        self,
        connection: peer_connection.PeerConnection,
        data_centre: str,
        versions: collections.abc.Iterable[decisions.RecordVersion],
        *,
        whole: bool,
    ) -> None:
        """Send the versions of records that this node holds."""
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
        """Send the newer records and request those that this node lacks."""
        name = message.data_centre or ''
        to_send, to_request = decisions.compare_versions(
            self.table,
            name,
            [wire.version_from_wire(item) for item in message.versions or ()],
            whole=message.number == 1,
        )
        for start in range(0, len(to_send), RECORDS_PER_FRAME):
            self.send_records(
                connection,
                to_send[start : start + RECORDS_PER_FRAME],
                gossip_kind.GossipKind.RECORDS,
            )
        if to_request and message.number == 1:
            self.send_versions(connection, name, to_request, whole=False)

    def send_records(
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

    def introduce(self, connection: peer_connection.PeerConnection) -> None:
        """Send this node's record and its hashes on a new connection.

        A peer that this node holds to be suspect or dead gets that record as
        well, so that it can refute it, and so does a peer whose upstream has
        left, since it may have restarted and not know of that.
        """
        records = [self.own]
        record = self.table.members.get(connection.peer.instance)
        if record is not None and (
            record.state >= model.MemberState.SUSPECT
            or record.departure is not None
        ):
            records.append(record)
        self.send(
            connection,
            gossip_kind.GossipKind.PUSH,
            changes=[wire.member_to_wire(item) for item in records],
            hashes=wire.hashes_to_wire(self.table.hashes),
        )

    def take_pending_changes(self) -> list[wire.Member]:
        """Return the changes that are piggybacked on the next probe."""
        names = self.pending_changes.next_batch(len(self.table.members))
        return [
            wire.member_to_wire(self.table.members[name])
            for name in names
            if name in self.table.members
        ]
