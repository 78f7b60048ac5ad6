"""Steps that feed generated inputs to parsers."""

import contextlib
import tracemalloc

from behave import then
import httptools
from hypothesis import strategies

from features.support import fuzz_bytes
from features.support import fuzz_run
from features.support import fuzz_target
from features.support import fuzz_targets
from features.support import value_check

# Errors that are never documented, though a documented class may be a base.
UNDOCUMENTED_ERRORS = (UnicodeError, httptools.HttpParserCallbackError)

# Endless inputs have this many times the allowed size.
ENDLESS_FACTOR = 2
ENDLESS_PIECES = (512, 8192)


def build_inputs(
    target: fuzz_target.FuzzTarget,
) -> strategies.SearchStrategy[bytes]:
    """Return a strategy of valid, damaged and random inputs."""
    extremes = strategies.sampled_from(target.build_extremes())
    return (
        strategies.binary(max_size=300)
        | fuzz_bytes.damage(target.valid)
        | fuzz_bytes.damage(target.valid | extremes)
    )


@then('the parser of "{inputs}" accepts valid inputs')
def check_valid(context, inputs):
    """Check that no valid input is rejected."""
    target = fuzz_targets.TARGETS[inputs]

    def check(data: bytes) -> None:
        value = target.parse(data)
        value_check.check_value(value)
        assert target.open_stream is None or len(value) == 1, value

    fuzz_run.run_examples(check, target.valid)


@then('the parser of "{inputs}" gives a usable value or its documented error')
def check_errors(context, inputs):
    """Check values and errors."""
    target = fuzz_targets.TARGETS[inputs]

    def check(data: bytes) -> None:
        try:
            value = target.parse(data)
        except target.errors as error:
            assert not isinstance(error, UNDOCUMENTED_ERRORS), repr(error)
        else:
            value_check.check_value(value)

    for data in target.build_extremes():
        check(data)
    fuzz_run.run_examples(check, build_inputs(target))


@then('the parser of "{inputs}" gives the same values however they are cut')
def check_cuts(context, inputs):
    """Compare the values of an input at once and in pieces.

    An input with two faults may be rejected for either, so only the values
    and the rejection are compared.
    """
    target = fuzz_targets.TARGETS[inputs]

    def run(pieces: list[bytes]) -> tuple[list[object], bool]:
        stream = target.open_stream()
        try:
            stream.run([*pieces, target.ending])
        except target.errors:
            return stream.results, True
        return stream.results, False

    def check(pieces: list[bytes]) -> None:
        assert run(pieces) == run([b''.join(pieces)])

    for data in target.build_extremes():
        check(fuzz_bytes.split(data, 1000))
    fuzz_run.run_examples(check, fuzz_bytes.cut(build_inputs(target)))
    fuzz_run.run_examples(
        check, fuzz_bytes.cut(strategies.lists(target.valid).map(b''.join))
    )


@then('the parser of "{inputs}" holds a bounded part of endless inputs')
def check_memory(context, inputs):
    """Compare the memory that the parser holds with its bound."""
    target = fuzz_targets.TARGETS[inputs]
    bound = target.max_held_bytes

    def check(start: bytes, part: bytes, size: int) -> None:
        piece = part * (size // len(part) + 1)
        stream = target.open_stream()
        before = tracemalloc.get_traced_memory()[0]
        with contextlib.suppress(*target.errors):
            for number in range(ENDLESS_FACTOR * bound // size + 1):
                stream.feed(piece if number else start + piece)
                stream.results.clear()
                held = tracemalloc.get_traced_memory()[0] - before
                assert held <= bound + len(piece), (start, part, size, held)
            stream.finish()

    tracemalloc.start()
    try:
        for start, part in target.endless:
            for size in ENDLESS_PIECES:
                check(start, part, size)
    finally:
        tracemalloc.stop()
