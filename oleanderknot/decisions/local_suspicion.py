"""Instances that have just failed a call of this node."""

from oleanderknot import model

# Long enough for the failure detector, which needs up to 1.5 s and one
# probe period, to find out; short enough to try a recovered instance soon.
SUSPICION_S = 3.0

# Failures that show a dead node, upstream, connection or path. A missed
# deadline is no evidence: under overload it would hit all upstreams of a
# data centre and move their load to the others.
EVIDENCE = (
    model.Rule.CONNECTION_LOST,
    model.Rule.CONNECTION_REFUSED,
)


class LocalSuspicion:
    """Remembers for a short time which instances failed a call.

    Attributes:
        until: Monotonic time in seconds at which a suspicion ends, by
            instance.
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}

    def note_failure(
        self, instance: str, refusal: model.Refusal, now: float
    ) -> None:
        """Take the failure of a call as evidence, if it is any.

        Args:
            instance: Instance that the call went to.
            refusal: How the call failed.
            now: Monotonic time in seconds.
        """
        if refusal.rule in EVIDENCE:
            self.note_unreachable(instance, now)

    def note_unreachable(self, instance: str, now: float) -> None:
        """Note that an instance could not be reached.

        Args:
            instance: The instance.
            now: Monotonic time in seconds.
        """
        self.until[instance] = now + SUSPICION_S

    def note_answer(self, instance: str) -> None:
        """Take an answer as a sign of life."""
        if self.until:
            self.until.pop(instance, None)

    def holds(self, instance: str, now: float) -> bool:
        """Return whether an instance is suspected now."""
        return bool(self.until) and self.until.get(instance, 0.0) > now
