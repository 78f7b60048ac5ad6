"""Parser that is fed in pieces."""

import collections.abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True)
class ParsedStream:
    """One stream with the values that were parsed from it.

    Attributes:
        feed: Parses a piece.
        finish: Ends the stream, so that a message in progress is complete or
            fails.
        results: The values parsed so far.
    """

    feed: collections.abc.Callable[[bytes], None]
    finish: collections.abc.Callable[[], None]
    results: list[typing.Any] = dataclasses.field(default_factory=list)

    def run(self, pieces: collections.abc.Iterable[bytes]) -> list[typing.Any]:
        """Parse a whole stream and return its values."""
        for piece in pieces:
            self.feed(piece)
        self.finish()
        return self.results
