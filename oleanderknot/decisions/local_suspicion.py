"""Local suspicion of instances after failed calls."""

from oleanderknot import model

# The failure detector needs up to 1.5 s and one probe period to suspect an
# instance, and the suspicion must last that long. A longer time would delay
# the use of an instance that has recovered.
SUSPICION_S = 3.0

# Rules that indicate a failed node, upstream, connection or network path.
# Exceeded deadlines are excluded: under overload they would affect all
# upstreams of a data centre and shift their load to the other data centres.
SUSPICION_RULES = (
    model.Rule.CONNECTION_LOST,
    model.Rule.CONNECTION_REFUSED,
)


class LocalSuspicion:
    """Suspects instances for a short time after a failed call.

    Attributes:
        suspected_until: Monotonic time in seconds at which the suspicion
            expires, by instance.
    """

    def __init__(self) -> None:
        self.suspected_until: dict[str, float] = {}

    def note_failure(
        self, instance: str, refusal: model.Refusal, now: float
    ) -> None:
        """Suspect an instance if a failed call indicates that it is down.

        Args:
            instance: Instance that the call was sent to.
            refusal: Refusal that the call ended with.
            now: Monotonic time in seconds.
        """
        if refusal.rule in SUSPICION_RULES:
            self.note_unreachable(instance, now)

    def note_unreachable(self, instance: str, now: float) -> None:
        """Suspect an instance that could not be reached.

        Args:
            instance: The instance.
            now: Monotonic time in seconds.
        """
        self.suspected_until[instance] = now + SUSPICION_S

    def note_answer(self, instance: str) -> None:
        """Clear the suspicion of an instance that has answered."""
        if self.suspected_until:
            self.suspected_until.pop(instance, None)

    def list_suspected(self, now: float) -> set[str]:
        """Return the instances that are currently suspected."""
        return {
            instance
            for instance, until in self.suspected_until.items()
            if until > now
        }

    def is_suspected(self, instance: str, now: float) -> bool:
        """Return whether an instance is currently suspected."""
        return (
            bool(self.suspected_until)
            and self.suspected_until.get(instance, 0.0) > now
        )
