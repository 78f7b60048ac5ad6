"""One mistake in a file of an operator."""

import dataclasses

MAX_VALUE_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Diagnostic:
    """One mistake in a file.

    Attributes:
        file: Name of the file.
        line: Line from 1.
        field: Names and positions that lead to the field, joined by dots.
        found: What the file says there.
        allowed: What would be right.
    """

    file: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the mistake as one line for operators."""
        return '%s:%d: %s: found %s, allowed: %s' % (
            self.file,
            self.line,
            self.field or 'whole file',
            self.found,
            self.allowed,
        )


def format_value(value: object) -> str:
    """Return a value of a file as operators wrote it, shortened."""
    if value is None:
        return 'nothing'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, dict):
        return 'a mapping' if value else 'an empty mapping'
    if isinstance(value, list):
        return 'a list of %d' % len(value) if value else 'an empty list'
    text = repr(value) if isinstance(value, str) else str(value)
    if len(text) > MAX_VALUE_CHARS:
        return text[:MAX_VALUE_CHARS] + '...'
    return text
