"""Memory that the body of one call of another node takes."""

from oleanderknot.tasks import body_budget


class NoMemoryError(Exception):
    """Raised when the node has no memory for the rest of a body."""


class BodyLease:
    """Reserves memory for a body whose size is not known in advance.

    Attributes:
        budget: Bounds the memory of all bodies.
        size: Bytes reserved.
    """

    def __init__(self, *, budget: body_budget.BodyBudget) -> None:
        self.budget = budget
        self.size = 0

    def extend(self, size: int) -> None:
        """Reserve memory for a further part.

        Raises:
            NoMemoryError: There is not enough memory.
        """
        if not self.budget.reserve(size):
            raise NoMemoryError('the node holds too many request bodies')
        self.size += size

    def end(self) -> None:
        """Release the memory."""
        self.budget.release(self.size)
        self.size = 0
