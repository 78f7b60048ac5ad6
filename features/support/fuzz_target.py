"""Parser under test."""

import collections.abc
import dataclasses

from hypothesis import strategies

from features.support import parsed_stream


@dataclasses.dataclass(frozen=True, kw_only=True)
class FuzzTarget:
    """One parser, or parsers of one kind, with inputs for them.

    Attributes:
        parse: Parses a complete input; returns the value or raises.
        errors: The documented errors of the parser.
        valid: Inputs that must be accepted.
        build_extremes: Builds inputs of valid grammar with extreme values.
        open_stream: Starts the parser of a stream; None for one that gets
            its input at once.
        endless: Inputs without end, as a start and a part that repeats.
        ending: Bytes that complete or break any message in progress.
        max_held_bytes: Bound of the memory of a stream, from its settings.
    """

    parse: collections.abc.Callable[[bytes], object]
    errors: tuple[type[Exception], ...]
    valid: strategies.SearchStrategy[bytes]
    build_extremes: collections.abc.Callable[[], list[bytes]]
    open_stream: (
        collections.abc.Callable[[], parsed_stream.ParsedStream] | None
    ) = None
    endless: collections.abc.Sequence[tuple[bytes, bytes]] = ()
    ending: bytes = b''
    max_held_bytes: int = 0
