"""Issues tokens of the organisations whose quota home is this node."""

import asyncio
import collections.abc
import functools

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import quota_link
from oleanderknot.tasks import quota_members

# Time after the latest request at which a full stock is removed. It would be
# full again when it is next needed.
IDLE_S = 10.0

# Time after the latest request at which any stock is removed.
MAX_IDLE_S = 600.0

FindOrganisation = collections.abc.Callable[[str], model.Organisation | None]


class QuotaHomes:
    """Owns the token stocks of this node.

    Attributes:
        members: Order of homes.
        quorum: Decides whether this node may create tokens.
        link: Sends requests and answers.
        find_organisation: Returns an organisation that has a rate.
        is_serving: Returns whether this node serves as a home.
        count: Increases a counter by a number.
        issuers: Issuer of each active organisation, by name.
        shares: Number of data centres that create tokens.
        withdrawn_at: Monotonic time in seconds at which an organisation with
            a stock ceased to have a limit, by name.
        timers: Timer of the next service of an issuer, by organisation.
    """

    def __init__(
        self,
        *,
        members: quota_members.QuotaMembers,
        quorum: decisions.QuotaQuorum,
        link: quota_link.QuotaLink,
        find_organisation: FindOrganisation,
        is_serving: collections.abc.Callable[[], bool],
        count: collections.abc.Callable[[str, int], None],
    ) -> None:
        self.members = members
        self.quorum = quorum
        self.link = link
        self.find_organisation = find_organisation
        self.is_serving = is_serving
        self.count = count
        self.issuers: dict[str, decisions.QuotaIssuer] = {}
        self.shares = len(members.data_centres)
        self.withdrawn_at: dict[str, float] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}

    def handle_request(self, sender: str, request: model.QuotaRequest) -> None:
        """Answer a request for tokens."""
        now = self.link.clock()
        number = request.number
        if not self.is_serving():
            self.lend_rest(sender, request, now)
            return
        organisation = self.find_organisation(request.organisation)
        if organisation is None:
            # The policy here is older or newer than that of the sender, and
            # has no limit for the organisation.
            self.link.reply(
                sender,
                model.QuotaGrant(
                    number=number,
                    tokens=request.tokens,
                    lifetime_s=decisions.LIFETIME_S,
                ),
            )
            return
        issuer = self.find_issuer(organisation)
        issuer.active_at = now
        if request.lending:
            self.lend(issuer, sender, request, now)
            return
        self.refill(organisation.name, issuer, now)
        tokens, lifetime_s = issuer.issue(request.tokens, now)
        if tokens:
            self.count('quota.granted', tokens)
            self.link.reply(
                sender,
                model.QuotaGrant(
                    number=number, tokens=tokens, lifetime_s=lifetime_s
                ),
            )
            return
        issuer.queue.append(
            decisions.QuotaPending(
                requester=sender,
                number=number,
                wanted=request.tokens,
                deadline=now + min(request.wait_s, decisions.HOLD_S),
            )
        )
        self.serve(organisation.name)
        # Requests are served in order, so the last one is this one.
        if issuer.queue:
            self.link.reply(
                sender,
                model.QuotaGrant(
                    number=number, wait_s=issuer.find_wait_s(), queued=True
                ),
            )

    def find_issuer(
        self, organisation: model.Organisation
    ) -> decisions.QuotaIssuer:
        """Return the issuer of an organisation."""
        issuer = self.issuers.get(organisation.name)
        if issuer is None:
            issuer = self.issuers[organisation.name] = decisions.QuotaIssuer(
                rate=organisation.rate,
                burst=organisation.burst,
                shares=self.shares,
            )
        return issuer

    def lend(
        self,
        issuer: decisions.QuotaIssuer,
        sender: str,
        request: model.QuotaRequest,
        now: float,
    ) -> None:
        """Send tokens to another home at once, as far as there are any."""
        self.refill(request.organisation, issuer, now)
        self.send_loan(issuer, sender, request)

    def send_loan(
        self,
        issuer: decisions.QuotaIssuer,
        sender: str,
        request: model.QuotaRequest,
    ) -> None:
        """Send the tokens of a stock that a request asks for, if any."""
        tokens = issuer.lend(request.tokens)
        if tokens:
            self.count('quota.transferred', tokens)
        self.link.reply(
            sender,
            model.QuotaGrant(
                number=request.number,
                tokens=tokens,
                lifetime_s=decisions.LIFETIME_S,
                wait_s=issuer.find_wait_s(),
            ),
        )

    def lend_rest(
        self, sender: str, request: model.QuotaRequest, now: float
    ) -> None:
        """Answer another home, while this node leaves, from what it has left.

        Its stock would be lost with it, and the next home begins with none.
        All other requests are declined.
        """
        issuer = self.issuers.get(request.organisation)
        if issuer is None or not request.lending:
            self.link.reply(
                sender, model.QuotaGrant(number=request.number, declined=True)
            )
            return
        issuer.stock.discount(now)
        self.send_loan(issuer, sender, request)

    def refill(
        self, name: str, issuer: decisions.QuotaIssuer, now: float
    ) -> None:
        """Create the tokens of the time that has passed, if allowed."""
        before = self.members.list_before(name)
        if before is None or not self.is_serving():
            return
        since, until = self.quorum.find_term(before)
        since = max(
            since,
            self.members.find_succession(name),
            self.withdrawn_at.get(name, since),
        )
        issuer.stock.refill(now, since, until)

    def serve(self, name: str) -> None:
        """Answer the requests that wait, and request tokens for the rest."""
        issuer = self.issuers.get(name)
        if issuer is None:
            return
        now = self.link.clock()
        self.refill(name, issuer, now)
        for issue in issuer.serve(now):
            if issue.tokens:
                self.count('quota.granted', issue.tokens)
            self.link.reply(
                issue.requester,
                model.QuotaGrant(
                    number=issue.number,
                    tokens=issue.tokens,
                    lifetime_s=issue.lifetime_s,
                    wait_s=issue.wait_s,
                ),
            )
        if issuer.queue:
            self.borrow(name, issuer, now)
        self.cancel_timer(name)
        due = issuer.find_next_due(now)
        if due is not None:
            self.timers[name] = asyncio.get_running_loop().call_later(
                max(0.001, due - now), self.serve, name
            )

    def borrow(
        self, name: str, issuer: decisions.QuotaIssuer, now: float
    ) -> None:
        """Request tokens from the homes of the other data centres.

        A node that is not the home also asks that of its own data centre:
        the senders of requests may not reach that one. A home that took the
        place of a node that leaves in order asks that one.
        """
        homes = {
            data_centre: self.members.find_home(name, data_centre, now)
            for data_centre in self.members.data_centres
        }
        predecessor = self.members.find_predecessor(name, now)
        if predecessor is not None:
            homes['%s, leaving' % predecessor] = predecessor
        own = self.members.identity.instance
        keys = [key for key, home in homes.items() if home not in (None, own)]
        while (loan := issuer.choose_loan(keys, now)) is not None:
            key, wanted = loan
            self.link.send(
                homes[key],
                on_grant=functools.partial(self.note_loan, name, key),
                on_failed=functools.partial(self.note_no_loan, name, key),
                organisation=name,
                tokens=wanted,
                lending=True,
            )

    def note_loan(
        self, name: str, key: str, grant: model.QuotaGrant, sent_at: float
    ) -> None:
        """Use tokens that another home has sent."""
        issuer = self.issuers.get(name)
        if issuer is None:
            return
        issuer.note_loan(
            key, grant.tokens, sent_at + grant.lifetime_s, self.link.clock()
        )
        self.serve(name)

    def note_no_loan(self, name: str, key: str) -> None:
        """Ask elsewhere when a home has not answered."""
        issuer = self.issuers.get(name)
        if issuer is not None:
            issuer.note_loan(key, 0, 0.0, self.link.clock())
            self.serve(name)

    def apply_policy(self) -> None:
        """Cut the stocks to the limits of a new policy."""
        self.shares = len(self.members.data_centres)
        for name in list(self.issuers):
            organisation = self.find_organisation(name)
            if organisation is None:
                self.remove(name)
                self.withdrawn_at[name] = self.link.clock()
                continue
            self.refill(name, self.issuers[name], self.link.clock())
            self.issuers[name].stock.configure(
                rate=organisation.rate,
                burst=organisation.burst,
                shares=self.shares,
            )

    def remove_idle(self, now: float) -> None:
        """Remove the issuers that are not used."""
        if len(self.members.data_centres) != self.shares:
            self.apply_policy()
        self.withdrawn_at = {
            name: at
            for name, at in self.withdrawn_at.items()
            if now - at < MAX_IDLE_S
        }
        for name, issuer in list(self.issuers.items()):
            if issuer.queue or now - issuer.active_at < IDLE_S:
                continue
            self.refill(name, issuer, now)
            if issuer.stock.is_full() or now - issuer.active_at > MAX_IDLE_S:
                self.remove(name)

    def remove(self, name: str) -> None:
        """Remove the issuer of an organisation."""
        issuer = self.issuers.pop(name)
        self.cancel_timer(name)
        for pending in issuer.queue:
            self.link.reply(
                pending.requester, model.QuotaGrant(number=pending.number)
            )
        self.count('quota.expired', issuer.borrowed.expired)

    def cancel_timer(self, name: str) -> None:
        """Cancel the next service of an issuer."""
        timer = self.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
