"""Exception for an incomplete request or response body."""

from oleanderknot.model import rule as rules


class IncompleteBodyError(Exception):
    """A body ended before it was complete.

    Attributes:
        rule: The rule that ended the body.
    """

    def __init__(self, *, rule: rules.Rule, detail: str) -> None:
        super().__init__(detail)
        self.rule = rule
