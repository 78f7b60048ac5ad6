"""Generates byte strings from valid messages, and cuts them into pieces."""

from hypothesis import strategies

PIECE_SIZES = (1, 2, 3, 7, 64, 1000)

# Largest number of pieces, so that long inputs do not take long.
MAX_PIECES = 2000

OPERATIONS = ('flip', 'cut', 'repeat', 'insert')


@strategies.composite
def damage(draw, messages: strategies.SearchStrategy[bytes]) -> bytes:
    """Join messages and flip, cut, repeat or insert bytes."""
    data = b''.join(draw(strategies.lists(messages, min_size=1, max_size=3)))
    for operation in draw(
        strategies.lists(strategies.sampled_from(OPERATIONS), max_size=3)
    ):
        start = draw(strategies.integers(0, len(data)))
        end = min(len(data), start + draw(strategies.integers(1, 40)))
        if operation == 'flip':
            mask = draw(strategies.integers(1, 255))
            changed = bytes(byte ^ mask for byte in data[start:end])
            data = data[:start] + changed + data[end:]
        elif operation == 'cut':
            data = data[:start] + data[end:]
        elif operation == 'repeat':
            count = draw(strategies.sampled_from((2, 5, 50)))
            data = data[:start] + data[start:end] * count + data[end:]
        else:
            inserted = draw(strategies.binary(max_size=8))
            data = data[:start] + inserted + data[start:]
    return data


def split(data: bytes, size: int) -> list[bytes]:
    """Split an input into pieces of one size."""
    return [data[at : at + size] for at in range(0, len(data), size)]


@strategies.composite
def cut(draw, inputs: strategies.SearchStrategy[bytes]) -> list[bytes]:
    """Cut an input into pieces of one size, or at random places."""
    data = draw(inputs)
    size = draw(strategies.sampled_from((0, *PIECE_SIZES)))
    if size:
        return split(data, max(size, len(data) // MAX_PIECES))
    places = sorted(
        draw(strategies.lists(strategies.integers(0, len(data)), max_size=6))
    )
    starts, ends = [0, *places], [*places, len(data)]
    return [data[start:end] for start, end in zip(starts, ends, strict=True)]
