"""Failure detector based on SWIM (Das et al., DSN 2002)."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import member_table
from oleanderknot.decisions import probe_step

PROBE_PERIOD_S = 1.0
DIRECT_PROBE_TIMEOUT_S = 0.5
# An indirect probe may have to open two connections, which take up to a
# second each, but a reachable node answers within a few milliseconds.
INDIRECT_PROBE_TIMEOUT_S = 1.0
SUSPICION_TIMEOUT_S = 3.0
INDIRECT_PROBERS = 3

# One in this many probes targets another data centre.
PROBES_PER_REMOTE_PROBE = 8

# One in this many periods also contacts a member that was declared dead, so
# that the two sides of a healed partition rediscover each other. Contacts are
# more frequent while all members of some data centre are considered dead.
PERIODS_PER_DEAD_CONTACT = 10
PERIODS_PER_PARTITION_CONTACT = 2

# A process that was stalled for longer than this cannot know whether the
# answers to its probes arrived in time.
STALL_THRESHOLD_S = 1.0

Draw = collections.abc.Callable[[int], int]


class ProbeSchedule:
    """Selects probe targets and decides when members are suspect or dead.

    Attributes:
        own: Name of this instance.
        data_centre: Data centre of this instance.
        draw: Returns a random integer from 0 up to its argument, exclusive.
        unprobed: Local members that were not yet probed in this round.
        unprobed_remote: The same for members of other data centres.
        periods_to_remote: Probes of local members before the next one of
            another data centre.
        probes: Unanswered probes by instance: the monotonic start time in
            seconds, and whether indirect probes were requested.
        suspect_deadlines: Monotonic time in seconds at which a suspect is
            declared dead, by instance.
        next_probe: Monotonic time in seconds of the next probe.
        next_due: Monotonic time in seconds at which ``advance`` must run next.
    """

    def __init__(self, *, own: str, data_centre: str, draw: Draw) -> None:
        self.own = own
        self.data_centre = data_centre
        self.draw = draw
        self.unprobed: list[str] = []
        self.unprobed_remote: list[str] = []
        # Nodes that start together must not probe remotely together.
        self.periods_to_remote = draw(PROBES_PER_REMOTE_PROBE)
        self.probes: dict[str, tuple[float, bool]] = {}
        self.suspect_deadlines: dict[str, float] = {}
        self.next_probe = 0.0
        self.next_due = 0.0

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
            self.suspect_deadlines[record.instance] = now + SUSPICION_TIMEOUT_S
        else:
            self.suspect_deadlines.pop(record.instance, None)
        if record.state in member_table.ENDED_STATES:
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
        if self.next_due and now - self.next_due > STALL_THRESHOLD_S:
            self.compensate_stall(now - self.next_due)
        steps = self.check_probes(now) + self.check_suspects(now)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD_S
            steps += self.start_probes(table, now)
        self.next_due = self.find_next_due()
        return steps

    def compensate_stall(self, stalled_s: float) -> None:
        """Discard probes and extend suspicions after a process stall."""
        self.probes.clear()
        for instance in self.suspect_deadlines:
            self.suspect_deadlines[instance] += stalled_s

    def check_probes(self, now: float) -> list[probe_step.ProbeStep]:
        """Return the steps for probes whose timeout has expired."""
        steps = []
        for instance, (started, indirect) in list(self.probes.items()):
            if not indirect and now >= started + DIRECT_PROBE_TIMEOUT_S:
                self.probes[instance] = (started, True)
                action = probe_step.ProbeAction.ASK_OTHERS
            elif (
                indirect
                and now
                >= started + DIRECT_PROBE_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S
            ):
                del self.probes[instance]
                # The record of a leaving member does not change to suspect,
                # so the deadline is set here instead of on a record change.
                self.suspect_deadlines.setdefault(
                    instance, now + SUSPICION_TIMEOUT_S
                )
                action = probe_step.ProbeAction.SUSPECT
            else:
                continue
            steps.append(
                probe_step.ProbeStep(action=action, instance=instance)
            )
        return steps

    def check_suspects(self, now: float) -> list[probe_step.ProbeStep]:
        """Return steps for suspects that did not refute in time."""
        expired = [
            name
            for name, deadline in self.suspect_deadlines.items()
            if now >= deadline
        ]
        for name in expired:
            del self.suspect_deadlines[name]
        return [
            probe_step.ProbeStep(
                action=probe_step.ProbeAction.DECLARE_DEAD, instance=name
            )
            for name in expired
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
        contact = self.choose_dead_contact(table)
        if contact:
            steps.append(
                probe_step.ProbeStep(
                    action=probe_step.ProbeAction.CONTACT, instance=contact
                )
            )
        return steps

    def choose_target(self, table: member_table.MemberTable) -> str:
        """Choose the next probe target; empty when no other member is live.

        Members are probed in rounds of random order, those of other data
        centres in every eighth probe. This bounds the time to detect a
        failure.
        """
        live = [
            item for item in table.list_live() if item.instance != self.own
        ]
        local = {
            item.instance
            for item in live
            if item.data_centre == self.data_centre
        }
        remote = {item.instance for item in live} - local
        if remote and (not local or self.periods_to_remote <= 0):
            self.periods_to_remote = PROBES_PER_REMOTE_PROBE - 1
            return self.draw_from_round(self.unprobed_remote, remote)
        self.periods_to_remote -= 1
        return self.draw_from_round(self.unprobed, local) if local else ''

    def draw_from_round(self, unprobed: list[str], members: set[str]) -> str:
        """Take a random member from a round, which starts anew when empty.

        Args:
            unprobed: Members that are left of the round; updated.
            members: All members to probe; not empty.
        """
        unprobed[:] = [name for name in unprobed if name in members]
        if not unprobed:
            unprobed[:] = sorted(members)
        return unprobed.pop(self.draw(len(unprobed)))

    def choose_dead_contact(self, table: member_table.MemberTable) -> str:
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
        isolated = [item for item in dead if item.data_centre not in live]
        periods = (
            PERIODS_PER_PARTITION_CONTACT
            if isolated
            else PERIODS_PER_DEAD_CONTACT
        )
        if self.draw(periods) != 0:
            return ''
        candidates = isolated or dead
        return candidates[self.draw(len(candidates))].instance

    def choose_indirect_probers(
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
        remote = [
            item for item in live if item.data_centre != self.data_centre
        ]
        if remote:
            chosen.append(remote[self.draw(len(remote))].instance)
        rest = [item.instance for item in live if item.instance not in chosen]
        while rest and len(chosen) < INDIRECT_PROBERS:
            chosen.append(rest.pop(self.draw(len(rest))))
        return chosen

    def find_next_due(self) -> float:
        """Return the monotonic time in seconds of the next step."""
        times = [self.next_probe, *self.suspect_deadlines.values()]
        for started, indirect in self.probes.values():
            times.append(
                started
                + DIRECT_PROBE_TIMEOUT_S
                + (INDIRECT_PROBE_TIMEOUT_S if indirect else 0)
            )
        return min(times)
