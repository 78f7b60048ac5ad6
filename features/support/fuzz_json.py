"""Generates JSON documents with an extreme value in place of a valid one."""

import json
import pathlib

# A valid document of each kind that is parsed as a whole.
DOCUMENTS = json.loads(
    pathlib.Path(__file__).with_name('fuzz_documents.json').read_text()
)

# JSON texts that a parser may read as a value its reader cannot hold.
EXTREME_TEXTS = (
    *'-1 -0.0 0.5 1e400 1e308 NaN Infinity -Infinity null true'.split(),
    *'18446744073709551616 9223372036854775808 9007199254740993'.split(),
    *'"" "0" "1e400s" "nans" "-1s" "\\ud800" "\\u0000" "\u0661"'.split(),
    *'"10.0.0.1:99999999" "10.0.0.1:-5" [] {} [[]]'.split(),
    *('9' * 5000, '-' + '9' * 5000, '9' * 4000, '"%s"' % ('9' * 5000)),
    *('[' * 20_000 + ']' * 20_000, '{"a":' * 20_000),
    '{"a":' * 500 + '1' + '}' * 500,
)

PLACEHOLDER = 'replaced-by-an-extreme-text'


def list_places(value: object) -> list[tuple[tuple, object]]:
    """Return the path and content of each value in a document."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    return [((), value)] + [
        ((key, *path), found)
        for key, inner in items
        for path, found in list_places(inner)
    ]


def replace(value: object, place: tuple, inner: object) -> object:
    """Return a copy of a document with another value at a path."""
    if not place:
        return inner
    copy = value.copy()
    copy[place[0]] = replace(copy[place[0]], place[1:], inner)
    return copy


def build_extremes(document: object) -> list[bytes]:
    """Replace each value of a document by each extreme one."""
    templates = [
        json.dumps(replace(document, place, PLACEHOLDER))
        for place, _ in list_places(document)
    ]
    return [
        template.replace('"%s"' % PLACEHOLDER, text).encode()
        for template in templates
        for text in EXTREME_TEXTS
    ]
