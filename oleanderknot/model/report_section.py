"""Part of a report in plain sentences."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportSection:
    """Sentences under a title.

    Attributes:
        name: Name for programs.
        title: Title for readers.
        sentences: The sentences.
    """

    name: str
    title: str
    sentences: tuple[str, ...]
