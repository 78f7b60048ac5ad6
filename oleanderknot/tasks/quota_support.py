"""Asks the nodes of a data centre whether this one may create tokens."""

import asyncio
import collections.abc
import functools

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import quota_link
from oleanderknot.tasks import quota_members

# Voters that are asked in addition to a majority, while fewer than a majority
# answer.
SPARE_VOTERS = 2

# Age of an answer that counts as missing in the next round.
MISSING_S = 1.5

# Time in which the answers of many nodes are collected.
COLLECT_S = 0.02

# Up to this many nodes in a data centre, each of them asks for support at all
# times. In a larger one only those do that have been asked for tokens, since
# most nodes are not the home of any organisation.
MAX_ALWAYS_READY = 64
READY_S = 600.0


class QuotaSupport:
    """Owns the support that this node gets and gives.

    Attributes:
        members: Nodes that may be homes.
        link: Sends requests and answers.
        quorum: Decides whether this node may create tokens.
        is_informed: Returns whether this node knows which others there are.
        lost: Nodes of this data centre that do not respond to this one.
        timer: Timer at which the answers are counted.
        used_at: Monotonic time in seconds at which another node last
            requested tokens.
    """

    def __init__(
        self,
        *,
        members: quota_members.QuotaMembers,
        link: quota_link.QuotaLink,
        first_start: bool,
        is_informed: collections.abc.Callable[[], bool],
    ) -> None:
        self.is_informed = is_informed
        self.members = members
        self.link = link
        self.quorum = decisions.QuotaQuorum(
            own=members.identity.instance,
            now=link.clock(),
            first_start=first_start,
        )
        self.lost: tuple[str, ...] = ()
        self.timer: asyncio.TimerHandle | None = None
        self.used_at = float('-inf')

    def update(self, now: float, *, paused: bool) -> None:
        """Update the view of other nodes and ask them for support."""
        members = self.members
        own = members.identity
        quorum = self.quorum
        members.refresh(now)
        quorum.informed = quorum.informed or self.is_informed()
        quorum.update_known(
            members.live.get(own.data_centre, ()),
            members.dead,
            members.unreached,
            now,
        )
        members.add_known(quorum.known)
        self.lost = tuple(
            name
            for name in quorum.known
            if name != own.instance and members.is_lost(name, now)
        )
        if paused:
            quorum.pause(now)
            return
        quorum.advance(self.lost, now)
        if (
            len(quorum.known) > MAX_ALWAYS_READY
            and now - self.used_at > READY_S
        ):
            return
        count = quorum.majority - 1
        if quorum.count_supports(now - MISSING_S) < count:
            count += SPARE_VOTERS
        for name in members.list_voters(
            quorum.known.difference(self.lost), count
        ):
            self.link.send(
                name,
                on_grant=functools.partial(self.note_answer, name, self.lost),
                lost=self.lost,
            )

    def note_answer(
        self,
        name: str,
        lost: tuple[str, ...],
        grant: model.QuotaGrant,
        sent_at: float,
    ) -> None:
        """Note the answer to a question for support."""
        if grant.declined:
            return
        self.quorum.note_answer(name, sent_at, lost, grant.heard)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                COLLECT_S, self.count_answers
            )

    def count_answers(self) -> None:
        """Update what a majority supports."""
        self.timer = None
        self.quorum.advance(self.lost, self.link.clock())

    def handle_request(self, sender: str, request: model.QuotaRequest) -> None:
        """Answer a question for support."""
        supported, heard = self.quorum.answer(
            sender, request.lost, self.link.clock()
        )
        self.link.reply(
            sender,
            model.QuotaGrant(
                number=request.number,
                declined=not supported,
                heard=tuple(heard),
            ),
        )

    def close(self) -> None:
        """Stop counting answers."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
