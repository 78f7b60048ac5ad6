"""Section of a report in plain sentences."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportSection:
    """Titled section of a report.

    Attributes:
        name: Name of the section in JSON output.
        title: Title in text output.
        sentences: Text of the section, one sentence each.
    """

    name: str
    title: str
    sentences: tuple[str, ...]
