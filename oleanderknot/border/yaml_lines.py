"""Reads YAML and keeps the line of each value."""

import collections.abc
import dataclasses
import pathlib
import typing

import yaml

from oleanderknot.border import mistake

Path = tuple[str | int, ...]

# A policy of 220 services takes about 200 KB.
MAX_FILE_BYTES = 4 << 20


class MistakesError(Exception):
    """A file is invalid; the text names every mistake on its own line.

    Attributes:
        mistakes: All mistakes, in the order of their lines.
    """

    def __init__(
        self, mistakes: collections.abc.Iterable[mistake.Mistake]
    ) -> None:
        self.mistakes = sorted(mistakes, key=lambda item: item.line)
        super().__init__('\n'.join(str(item) for item in self.mistakes))


@dataclasses.dataclass(slots=True, kw_only=True)
class YamlText:
    """A YAML text with the lines of its values.

    Attributes:
        file: Name of the file, for messages.
        value: The content.
        lines: Line of each value by the keys and positions that lead to it.
        mistakes: Mistakes such as a key that comes twice.
    """

    file: str
    value: typing.Any = None
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)
    mistakes: list[mistake.Mistake] = dataclasses.field(default_factory=list)

    def find_line(self, path: Path) -> int:
        """Return the line of a value, or of the nearest one around it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def add(self, path: Path, found: str, allowed: str) -> None:
        """Add a mistake."""
        self.mistakes.append(
            mistake.Mistake(
                file=self.file,
                line=self.find_line(path),
                field='.'.join(str(part) for part in path),
                found=found,
                allowed=allowed,
            )
        )


def load_yaml(path: pathlib.Path) -> YamlText:
    """Read a YAML file.

    Args:
        path: The file.

    Returns:
        Its content and lines, with the mistakes that YAML itself allows.

    Raises:
        MistakesError: The file cannot be read or is no YAML.
    """
    name = str(path)
    try:
        with path.open('rb') as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise fail(name, 1, error.strerror or str(error), 'a readable file')
    if len(content) > MAX_FILE_BYTES:
        raise fail(name, 1, 'a larger file', '%d bytes' % MAX_FILE_BYTES)
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        raise fail(name, line, 'bytes that are no text', 'UTF-8 text')
    return parse_yaml(text, name)


def parse_yaml(text: str, file: str) -> YamlText:
    """Parse YAML text; see ``load_yaml``.

    Raises:
        MistakesError: The text is no YAML.
    """
    result = YamlText(file=file)
    loader = None
    try:
        loader = yaml.SafeLoader(text)
        root = loader.get_single_node()
        if root is not None:
            result.value = build(loader, root, (), result, set())
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        what = 'no YAML (%s)' % (error.problem or error)
        raise fail(file, line, what, 'valid YAML')
    except yaml.YAMLError as error:
        what = 'no YAML (%s)' % str(error).splitlines()[0]
        raise fail(file, 1, what, 'valid YAML')
    except RecursionError:
        raise fail(file, 1, 'values nested too deep', 'fewer levels')
    finally:
        if loader is not None:
            loader.dispose()
    return result


def fail(file: str, line: int, found: str, allowed: str) -> MistakesError:
    """Build the error of a file that cannot be read at all."""
    return MistakesError(
        [
            mistake.Mistake(
                file=file, line=line, field='', found=found, allowed=allowed
            )
        ]
    )


def build(
    loader: yaml.SafeLoader,
    node: yaml.Node,
    path: Path,
    result: YamlText,
    seen: set[int],
) -> object:
    """Build the value of a node and note its lines.

    An alias is a mistake: a few of them can stand for millions of values.
    """
    result.lines.setdefault(path, node.start_mark.line + 1)
    if id(node) in seen:
        result.add(path, 'an alias (*)', 'the value itself')
        return None
    seen.add(id(node))
    if isinstance(node, yaml.MappingNode):
        return build_mapping(loader, node, path, result, seen)
    if isinstance(node, yaml.SequenceNode):
        return [
            build(loader, item, (*path, index), result, seen)
            for index, item in enumerate(node.value)
        ]
    try:
        return loader.construct_object(node)
    except (yaml.YAMLError, ValueError):
        result.add(path, mistake.show(node.value), 'a plain value')
        return None


def build_mapping(
    loader: yaml.SafeLoader,
    node: yaml.MappingNode,
    path: Path,
    result: YamlText,
    seen: set[int],
) -> dict[str, object]:
    """Build a mapping; keys that come twice or are no text are mistakes."""
    values: dict[str, object] = {}
    for key_node, value_node in node.value:
        key = build(loader, key_node, (*path, '?'), YamlText(file=''), set())
        line = key_node.start_mark.line + 1
        if not isinstance(key, str):
            result.lines[(*path, '?')] = line
            result.add(
                (*path, '?'), mistake.show(key) + ' as a key', 'a quoted text'
            )
            continue
        if key in values:
            result.lines[(*path, key)] = line
            result.add((*path, key), 'the key a second time', 'one of each')
            continue
        result.lines[(*path, key)] = line
        values[key] = build(loader, value_node, (*path, key), result, seen)
    return values
