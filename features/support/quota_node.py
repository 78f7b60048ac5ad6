"""Node of a simulated network that limits requests of organisations."""

import types

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import quota
from oleanderknot.tasks import quota_members

CONNECT_TIMEOUT_S = 0.5


class QuotaNode:
    """One process of a node, with the pool that its quota uses.

    Attributes:
        network: Network of all nodes.
        identity: Identity of the node.
        table: Members that it knows.
        running: Whether the process runs.
        leaving: Whether it is about to stop.
        informed: Whether it has read who else there is.
        unreachable: Instances that it could not connect to.
        quota: The limits under test.
    """

    def __init__(self, *, network, name, data_centre, incarnation, policy):
        self.network = network
        self.identity = model.NodeIdentity(
            instance=name, incarnation=incarnation, data_centre=data_centre
        )
        self.table = decisions.MemberTable()
        self.running = True
        self.leaving = False
        self.informed = False
        self.unreachable = set()
        self.quota = quota.Quota(
            members=quota_members.QuotaMembers(
                identity=self.identity,
                data_centres=network.data_centres,
                table=self.table,
                pool=self,
                list_unreached=self.list_unreached,
            ),
            is_informed=self.is_informed,
            first_start=False,
            is_leaving=lambda: self.leaving,
            is_isolated=lambda: network.is_isolated(name),
            count=lambda name, number: network.counts.update({name: number}),
            rng=network.rng,
            clock=network.loop.time,
        )
        self.quota.apply_policy(policy)
        self.task = network.loop.create_task(self.quota.run())

    def is_informed(self):
        """Return whether the node has read who else there is."""
        self.informed = self.informed or not self.network.store_away
        return self.informed

    def list_unreached(self):
        """Return the nodes that it knows from the store alone."""
        if not self.is_informed():
            return []
        return self.network.list_unreached(self.identity.instance)

    def list_ended(self):
        """Return the records of nodes that have left or died."""
        return [
            member
            for member in self.table.members.values()
            if member.state in decisions.ENDED_STATES
        ]

    def find(self, instance):
        """Return a connection to a node; the quota's pool interface."""
        if instance in self.unreachable:
            return None
        if not self.network.is_running(instance):
            return None
        return types.SimpleNamespace(
            peer=self.network.nodes[instance].identity,
            send=lambda call, **message: self.network.deliver(
                self.identity.instance, instance, message
            ),
            liveness=types.SimpleNamespace(
                expect_response=lambda: None, note_response=lambda: None
            ),
        )

    async def connect(self, member, any_incarnation=False):
        """Connect to a node that runs and is not cut off."""
        connection = self.find(member.instance)
        if connection is None:
            self.unreachable.add(member.instance)
            raise ConnectionError(member.instance)
        return connection

    def is_unreachable(self, member):
        """Return whether the last attempt to connect failed."""
        name = member.instance
        if name in self.unreachable and self.network.reaches(
            self.identity.instance, name
        ):
            self.unreachable.discard(name)
        return name in self.unreachable

    def is_overdue(self, member):
        """Return whether an open connection does not respond."""
        return self.network.is_overdue(member.instance)

    def receive(self, sender, message):
        """Handle a message of another node."""
        connection = types.SimpleNamespace(
            peer=types.SimpleNamespace(instance=sender),
            liveness=types.SimpleNamespace(note_response=lambda: None),
        )
        if 'quota_request' in message:
            self.quota.handle_request(connection, message['quota_request'])
        else:
            self.quota.handle_grant(connection, message['quota_grant'])

    def stop(self):
        """Kill the process; nothing that it does later has an effect."""
        self.running = False
        self.task.cancel()
        self.quota.close()
