"""Limits the requests of organisations over all nodes together."""

import asyncio
import collections.abc
import functools
import random
import time

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import quota_account
from oleanderknot.tasks import quota_homes
from oleanderknot.tasks import quota_link
from oleanderknot.tasks import quota_members
from oleanderknot.tasks import quota_support
from oleanderknot.tasks import quota_waiter

# Longest wait of a request for a token.
WAIT_S = 0.25

# Part of the wait that is left for the way to the home and back.
PATH_S = 0.05

# Delay before another node is asked after one that failed.
RETRY_S = 0.01

# Period of the questions for support. In a data centre of 14 nodes, questions
# every 0.5 s took 0.3 % of a processor at each node. A new home creates
# tokens two to three periods after the loss of the one before it.
PERIOD_S = 1.0

# Time after which the state of an organisation without requests is removed.
IDLE_S = 10.0


class Quota:
    """Owns the tokens and the requests that wait for them.

    Attributes:
        organisations: Organisations that have a rate, by name.
        has_policy: Whether a policy is in force.
        is_leaving: Returns whether this node is about to stop.
        is_isolated: Returns whether this node has found no other one, and
            knows that there are some.
        count: Increases a counter by a number.
        rng: Source of randomness.
        clock: Returns the monotonic time in seconds.
        accounts: State of each active organisation, by name.
        members: Nodes that may be homes.
        link: Sends requests and answers.
        support: Decides whether this node may create tokens.
        homes: Issues tokens.
    """

    def __init__(
        self,
        *,
        members: quota_members.QuotaMembers,
        first_start: bool,
        is_leaving: collections.abc.Callable[[], bool],
        is_isolated: collections.abc.Callable[[], bool],
        is_informed: collections.abc.Callable[[], bool],
        count: collections.abc.Callable[[str, int], None],
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.organisations: dict[str, model.Organisation] = {}
        self.has_policy = False
        self.is_leaving = is_leaving
        self.is_isolated = is_isolated
        self.count = count
        self.rng = rng
        self.clock = clock
        self.accounts: dict[str, quota_account.QuotaAccount] = {}
        self.members = members
        self.loop = asyncio.get_running_loop()
        self.link = quota_link.QuotaLink(members=members, clock=clock)
        self.support = quota_support.QuotaSupport(
            members=members,
            link=self.link,
            first_start=first_start,
            is_informed=is_informed,
        )
        self.homes = quota_homes.QuotaHomes(
            members=members,
            quorum=self.support.quorum,
            link=self.link,
            find_organisation=lambda name: self.organisations.get(name),
            is_serving=lambda: self.has_policy and not self.is_leaving(),
            count=count,
        )
        self.link.handle_request = self.homes.handle_request

    async def acquire(self, organisation: model.Organisation) -> float | None:
        """Take a token for a request; wait for one if there is none.

        Args:
            organisation: Organisation of the request, which has a rate.

        Returns:
            None if the request may run, else the seconds until a token is
            due.
        """
        now = self.clock()
        account = self.accounts.get(organisation.name)
        if account is None:
            account = quota_account.QuotaAccount(name=organisation.name)
            self.accounts[organisation.name] = account
        client = account.client
        client.count(now)
        if not account.waiters and client.held.take(now):
            if not account.requesting:
                self.request(account)
            return None
        waiter = quota_waiter.QuotaWaiter(due=now + WAIT_S, clock=self.clock)
        account.waiters.append(waiter)
        if not account.requesting:
            self.request(account)
        if await waiter.wait():
            return None
        self.count('quota.refused', 1)
        return account.wait_s

    def give_back(self, name: str, taken_at: float) -> None:
        """Return the token of a request that has not run.

        Args:
            name: Name of the organisation.
            taken_at: Monotonic time in seconds just after it was acquired.
        """
        account = self.accounts.get(name)
        now = self.clock()
        if account is not None and account.client.held.give_back(
            taken_at, now
        ):
            account.serve_waiters(now)

    def describe(self, name: str) -> str:
        """Return why a request of an organisation was refused."""
        account = self.accounts.get(name)
        if account is None:
            return '%s is over its limit' % name
        return account.describe(self.clock())

    def describe_tokens(self, name: str) -> str:
        """Return what this node knows of the tokens of an organisation.

        Does not change anything, unlike a request for tokens.
        """
        account = self.accounts.get(name)
        if account is None:
            home = self.members.find_home(
                name, self.members.identity.data_centre, self.clock()
            )
            return 'no tokens here, home %s' % (home or 'not known')
        return account.describe_tokens(self.clock())

    def request(self, account: quota_account.QuotaAccount) -> None:
        """Request tokens for an account if it needs any."""
        organisation = self.organisations.get(account.name)
        if account.requesting or organisation is None:
            return
        now = self.clock()
        while account.waiters and account.waiters[0].future.done():
            account.waiters.popleft()
        wanted = account.client.find_wanted(
            now, len(account.waiters), organisation.rate
        )
        if not wanted:
            return
        wait_s = WAIT_S - PATH_S
        if account.waiters:
            wait_s = account.waiters[-1].due - now - PATH_S
            if wait_s <= 0:
                # Tokens would come too late for the requests that wait.
                return
        identity = self.members.identity
        account.home = (
            self.members.find_home(account.name, identity.data_centre, now)
            or identity.instance
        )
        account.requesting = True
        self.link.send(
            account.home,
            on_grant=functools.partial(self.note_grant, account),
            on_failed=functools.partial(self.note_failure, account),
            organisation=account.name,
            tokens=wanted,
            wait_s=wait_s,
        )

    def note_grant(
        self,
        account: quota_account.QuotaAccount,
        grant: model.QuotaGrant,
        sent_at: float,
    ) -> None:
        """Use the tokens of an answer, and request more if needed."""
        now = self.clock()
        account.replied_at = now
        account.wait_s = grant.wait_s
        if grant.queued:
            return
        if grant.declined:
            self.members.note_failure(account.home, now)
            self.note_failure(account)
            return
        account.requesting = False
        if grant.tokens:
            account.client.held.drop_expired(now)
            account.client.held.add(grant.tokens, sent_at + grant.lifetime_s)
            account.serve_waiters(now)
            self.request(account)
        elif account.waiters:
            self.loop.call_later(RETRY_S, self.request, account)

    def note_failure(self, account: quota_account.QuotaAccount) -> None:
        """Ask another node soon after one that did not answer."""
        self.loop.call_later(RETRY_S, self.retry, account)

    def retry(self, account: quota_account.QuotaAccount) -> None:
        """Request tokens again after a failure."""
        account.requesting = False
        self.request(account)

    def apply_policy(self, policy: model.TrafficPolicy) -> None:
        """Apply the limits of a policy that comes into force."""
        if not self.organisations:
            # The first limits are in force before the next period.
            self.loop.call_soon(self.update)
        self.has_policy = True
        self.organisations = {
            organisation.name: organisation
            for organisation in policy.organisations
            if organisation.rate
        }
        self.homes.apply_policy()

    def handle_request(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.QuotaRequest,
    ) -> None:
        """Handle a request of another node.

        Raises:
            BadFrame: The message is malformed.
        """
        request = wire.quota_request_from_wire(message)
        sender = connection.peer.instance
        if request.organisation:
            self.support.used_at = self.clock()
            self.homes.handle_request(sender, request)
        else:
            self.support.handle_request(sender, request)

    def handle_grant(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.QuotaGrant,
    ) -> None:
        """Handle an answer of another node.

        Raises:
            BadFrame: The message is malformed.
        """
        connection.liveness.note_response()
        self.link.handle_grant(
            connection.peer.instance, wire.quota_grant_from_wire(message)
        )

    async def run(self) -> None:
        """Ask for support and remove unused state, until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(PERIOD_S * (0.9 + 0.2 * self.rng.random()))

    def update(self) -> None:
        """Ask for support and remove unused state, if there are limits."""
        if self.organisations:
            now = self.clock()
            self.support.update(
                now, paused=self.is_leaving() or self.is_isolated()
            )
            self.remove_idle(now)

    def remove_idle(self, now: float) -> None:
        """Remove the state of organisations without requests."""
        self.homes.remove_idle(now)
        for name, account in list(self.accounts.items()):
            held = account.client.held
            held.drop_expired(now)
            if held.expired:
                self.count('quota.expired', held.expired)
                held.expired = 0
            if (
                now - account.client.counted_at > IDLE_S
                and not account.requesting
            ):
                del self.accounts[name]

    def close(self) -> None:
        """Refuse the requests that wait, and drop all state."""
        for account in self.accounts.values():
            for waiter in account.waiters:
                waiter.refuse()
        for name in list(self.homes.issuers):
            self.homes.remove(name)
        self.support.close()
        self.link.close()
