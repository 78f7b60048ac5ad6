"""Admission without load control."""

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import admission
from oleanderknot.tasks import permit as permits


class UnlimitedAdmission(admission.Admission):
    """Admits every call at once; the baseline for measuring load control."""

    def has_room(self, priority: float) -> bool:
        """Return whether a call would start at once."""
        return True

    def find_level(self) -> float:
        """Return the level that admits everything."""
        return decisions.MAX_LEVEL

    async def acquire(
        self, call: model.Call, bonus: float = 0.0
    ) -> permits.Permit | model.Refusal:
        """Grant a permit to any call."""
        return self.start(self.loop.time())
