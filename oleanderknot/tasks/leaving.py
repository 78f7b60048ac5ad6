"""Decides whether the own upstream takes new work."""

import asyncio
import collections.abc
import enum

# A ticket has 7 s to be in force; looking twice a second costs nothing.
POLICY_PERIOD_S = 0.5


class LeavingReason(enum.Enum):
    """Why an upstream takes no new work."""

    UPSTREAM = 'the upstream asked to leave'
    STOP = 'the node stops'
    POLICY = 'the policy in force gives it no work'


class Leaving:
    """Keeps the reasons for which the own upstream takes no new work.

    Attributes:
        reasons: The reasons that hold now.
        takes_work: Returns whether the policy gives the upstream work.
        on_change: Called with whether any reason holds, when that changes.
    """

    def __init__(
        self,
        *,
        takes_work: collections.abc.Callable[[], bool],
        on_change: collections.abc.Callable[[bool], None],
    ) -> None:
        self.reasons: set[LeavingReason] = set()
        self.takes_work = takes_work
        self.on_change = on_change

    def set(self, reason: LeavingReason, holds: bool) -> None:
        """Note whether a reason holds."""
        before = bool(self.reasons)
        if holds:
            self.reasons.add(reason)
        else:
            self.reasons.discard(reason)
        if bool(self.reasons) != before:
            self.on_change(not before)

    def check_policy(self) -> None:
        """Follow the policy in force; to be called when it changes."""
        self.set(LeavingReason.POLICY, not self.takes_work())

    async def run(self) -> None:
        """Follow the policy in force until cancelled."""
        while True:
            self.check_policy()
            await asyncio.sleep(POLICY_PERIOD_S)
