"""Error of a body that is not whole."""

from oleanderknot.model import rule as rules


class IncompleteBodyError(Exception):
    """A body ended before it was whole.

    Attributes:
        rule: The rule that ended it.
    """

    def __init__(self, *, rule: rules.Rule, detail: str) -> None:
        super().__init__(detail)
        self.rule = rule
