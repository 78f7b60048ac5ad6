"""Admits calls to the own upstream."""

from oleanderknot import decisions
from oleanderknot import model


class Admission:
    """Owns the slots of the own upstream.

    Attributes:
        slots: Calls that the upstream can run at once.
        running: Calls that run now.
        waiting: Calls that wait for a slot.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0

    def has_room(self) -> bool:
        """Return whether a call would start at once."""
        return self.running < self.slots

    async def enter(self, call: model.Call) -> model.Refusal | None:
        """Wait until a call may run.

        Args:
            call: The call.

        Returns:
            None when the call may run, else why it must not.
        """
        if self.running >= self.slots:
            return model.build_refusal(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.QUEUE_FULL,
                'all slots are in use',
            )
        self.running += 1
        return None

    def leave(
        self, call: model.Call, *, own_time_s: float, failed: bool
    ) -> None:
        """Free the slot of a call.

        Args:
            call: The call.
            own_time_s: Seconds that the upstream worked on it, without the
                time that it waited for its own outgoing calls.
            failed: Whether the upstream refused it or did not answer.
        """
        self.running -= 1

    def build_report(self, call: model.Call) -> model.LoadReport:
        """Build the load report for a call's route."""
        return model.LoadReport(
            service=call.service,
            route=call.route,
            level=decisions.MAX_LEVEL,
            in_flight=self.running + self.waiting,
            limit=self.slots,
        )
