"""Failure detector based on SWIM (Das et al., DSN 2002)."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import member_table
from oleanderknot.decisions import probe_step

PERIOD_S = 1.0
DIRECT_S = 0.5
# An indirect probe may have to open two connections, which take up to a
# second each, but a reachable node answers within a few milliseconds.
INDIRECT_S = 1.0
SUSPECT_S = 3.0
HELPERS = 3

# One in this many probes targets another data centre.
OTHER_SHARE = 8

# One in this many periods also contacts a member that was declared dead, so
# that the two sides of a healed partition rediscover each other. Contacts are
# more frequent while all members of some data centre are considered dead.
CONTACT_SHARE = 10
CUT_CONTACT_SHARE = 2

# A process that was stalled for longer than this cannot know whether the
# answers to its probes arrived in time.
STALL_S = 1.0

Draw = collections.abc.Callable[[int], int]


class ProbeSchedule:
    """Selects probe targets and decides when members are suspect or dead.

    Attributes:
        own: Name of this instance.
        data_centre: Data centre of this instance.
        draw: Returns a random integer from 0 up to its argument, exclusive.
        round: Local members that were not yet probed in this round.
        probes: Unanswered probes by instance: the monotonic start time in
            seconds, and whether indirect probes were requested.
        suspects: Monotonic time in seconds at which a suspect is declared
            dead, by instance.
        next_probe: Monotonic time in seconds of the next probe.
        due: Monotonic time in seconds at which ``advance`` must run next.
    """

    def __init__(self, *, own: str, data_centre: str, draw: Draw) -> None:
        self.own = own
        self.data_centre = data_centre
        self.draw = draw
        self.round: list[str] = []
        self.probes: dict[str, tuple[float, bool]] = {}
        self.suspects: dict[str, float] = {}
        self.next_probe = 0.0
        self.due = 0.0

    def note_answer(self, instance: str) -> None:
        """Record an answer of a member to a direct or indirect probe."""
        self.probes.pop(instance, None)

    def note_change(self, record: model.Member, now: float) -> None:
        """Process a changed record of another member.

        Args:
            record: The new record.
            now: Monotonic time in seconds.
        """
        if record.state is model.MemberState.SUSPECT:
            self.suspects[record.instance] = now + SUSPECT_S
        else:
            self.suspects.pop(record.instance, None)
        if record.state in member_table.ENDED:
            self.probes.pop(record.instance, None)

    def advance(
        self, table: member_table.MemberTable, now: float
    ) -> list[probe_step.ProbeStep]:
        """Return the steps that are due.

        Args:
            table: Membership table.
            now: Monotonic time in seconds.

        Returns:
            The steps, in order.
        """
        if self.due and now - self.due > STALL_S:
            self.forgive(now - self.due)
        steps = self.judge_probes(now) + self.judge_suspects(now)
        if now >= self.next_probe:
            self.next_probe = now + PERIOD_S
            steps += self.start_probes(table, now)
        self.due = self.find_due()
        return steps

    def forgive(self, stalled_s: float) -> None:
        """Discard probes and extend suspicions after a process stall."""
        self.probes.clear()
        for instance in self.suspects:
            self.suspects[instance] += stalled_s

    def judge_probes(self, now: float) -> list[probe_step.ProbeStep]:
        """Return the steps for probes whose timeout has expired."""
        steps = []
        for instance, (started, asked) in list(self.probes.items()):
            if not asked and now >= started + DIRECT_S:
                self.probes[instance] = (started, True)
                action = probe_step.ProbeAction.ASK_OTHERS
            elif asked and now >= started + DIRECT_S + INDIRECT_S:
                del self.probes[instance]
                # The record of a leaving member does not change to suspect,
                # so the deadline is set here instead of on a record change.
                self.suspects.setdefault(instance, now + SUSPECT_S)
                action = probe_step.ProbeAction.SUSPECT
            else:
                continue
            steps.append(
                probe_step.ProbeStep(action=action, instance=instance)
            )
        return steps

    def judge_suspects(self, now: float) -> list[probe_step.ProbeStep]:
        """Return steps for suspects that did not refute in time."""
        ended = [name for name, end in self.suspects.items() if now >= end]
        for name in ended:
            del self.suspects[name]
        return [
            probe_step.ProbeStep(
                action=probe_step.ProbeAction.DECLARE_DEAD, instance=name
            )
            for name in ended
        ]

    def start_probes(
        self, table: member_table.MemberTable, now: float
    ) -> list[probe_step.ProbeStep]:
        """Start the probes of this period."""
        steps = []
        target = self.choose_target(table)
        if target:
            self.probes.setdefault(target, (now, False))
            steps.append(
                probe_step.ProbeStep(
                    action=probe_step.ProbeAction.PROBE, instance=target
                )
            )
        lost = self.choose_lost(table)
        if lost:
            steps.append(
                probe_step.ProbeStep(
                    action=probe_step.ProbeAction.CONTACT, instance=lost
                )
            )
        return steps

    def choose_target(self, table: member_table.MemberTable) -> str:
        """Choose the next probe target; empty when no other member is live.

        Members of the local data centre are probed in rounds of random
        order, which bounds the time to detect a failure.
        """
        live = [
            item for item in table.list_live() if item.instance != self.own
        ]
        near = {
            item.instance
            for item in live
            if item.data_centre == self.data_centre
        }
        if len(near) < len(live):
            if not near or self.draw(OTHER_SHARE) == 0:
                far = [item for item in live if item.instance not in near]
                return far[self.draw(len(far))].instance
        self.round = [name for name in self.round if name in near]
        if not self.round:
            self.round = sorted(near)
        if not self.round:
            return ''
        return self.round.pop(self.draw(len(self.round)))

    def choose_lost(self, table: member_table.MemberTable) -> str:
        """Choose a dead member to contact; empty in most periods."""
        dead = [
            item
            for item in table.members.values()
            if item.state is model.MemberState.DEAD
            and item.instance != self.own
        ]
        if not dead:
            return ''
        live = {item.data_centre for item in table.list_live()}
        cut = [item for item in dead if item.data_centre not in live]
        share = CUT_CONTACT_SHARE if cut else CONTACT_SHARE
        if self.draw(share) != 0:
            return ''
        among = cut or dead
        return among[self.draw(len(among))].instance

    def choose_helpers(
        self, table: member_table.MemberTable, target: str
    ) -> list[str]:
        """Choose the members that probe a target on behalf of this node.

        They include a member of another data centre if there is one, since a
        network path may fail for a whole data centre.
        """
        live = [
            item
            for item in table.list_live()
            if item.instance not in (self.own, target)
            and item.state is not model.MemberState.SUSPECT
        ]
        chosen: list[str] = []
        far = [item for item in live if item.data_centre != self.data_centre]
        if far:
            chosen.append(far[self.draw(len(far))].instance)
        rest = [item.instance for item in live if item.instance not in chosen]
        while rest and len(chosen) < HELPERS:
            chosen.append(rest.pop(self.draw(len(rest))))
        return chosen

    def find_due(self) -> float:
        """Return the monotonic time in seconds of the next step."""
        times = [self.next_probe, *self.suspects.values()]
        for started, asked in self.probes.values():
            times.append(started + DIRECT_S + (INDIRECT_S if asked else 0))
        return min(times)
