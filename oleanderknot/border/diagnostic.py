"""Diagnostic about an invalid value in a settings or ticket file."""

import dataclasses

MAX_VALUE_CHARS = 60


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Diagnostic:
    """One validation error with its location in a file.

    Attributes:
        file: Name of the file.
        line: Line number, starting at 1.
        field: Path of the field: keys and list indices joined by dots.
        found: Description of the value in the file.
        allowed: Description of the permitted values.
    """

    file: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Format the diagnostic as a single line for operators."""
        return '%s:%d: %s: found %s, allowed: %s' % (
            self.file,
            self.line,
            self.field or 'whole file',
            self.found,
            self.allowed,
        )


def format_value(value: object) -> str:
    """Format a value in YAML terms for a diagnostic, truncated if long."""
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
