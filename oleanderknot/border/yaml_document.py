"""Reads YAML and keeps the line of each value."""

import collections.abc
import dataclasses
import pathlib
import typing

import yaml

from oleanderknot.border import diagnostic

FieldPath = tuple[str | int, ...]

# A policy of 220 services takes about 200 KB.
MAX_FILE_BYTES = 4 << 20


class InvalidFileError(Exception):
    """A file is invalid; the text names every mistake on its own line.

    Attributes:
        diagnostics: All mistakes, in the order of their lines.
    """

    def __init__(
        self, diagnostics: collections.abc.Iterable[diagnostic.Diagnostic]
    ) -> None:
        self.diagnostics = sorted(diagnostics, key=lambda item: item.line)
        super().__init__('\n'.join(str(item) for item in self.diagnostics))


@dataclasses.dataclass(slots=True, kw_only=True)
class YamlDocument:
    """A YAML text with the lines of its values.

    Attributes:
        file: Name of the file, for messages.
        value: The content.
        lines: Line of each value by the keys and positions that lead to it.
        diagnostics: Mistakes such as a key that comes twice.
    """

    file: str
    value: typing.Any = None
    lines: dict[FieldPath, int] = dataclasses.field(default_factory=dict)
    diagnostics: list[diagnostic.Diagnostic] = dataclasses.field(
        default_factory=list
    )

    def find_line(self, path: FieldPath) -> int:
        """Return the line of a value, or of the nearest one around it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def add_diagnostic(
        self, path: FieldPath, found: str, allowed: str
    ) -> None:
        """Add a mistake."""
        self.diagnostics.append(
            diagnostic.Diagnostic(
                file=self.file,
                line=self.find_line(path),
                field='.'.join(str(part) for part in path),
                found=found,
                allowed=allowed,
            )
        )


def load_yaml(path: pathlib.Path) -> YamlDocument:
    """Read a YAML file.

    Args:
        path: The file.

    Returns:
        Its content and lines, with the mistakes that YAML itself allows.

    Raises:
        InvalidFileError: The file cannot be read or is no YAML.
    """
    name = str(path)
    try:
        with path.open('rb') as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise build_file_error(
            name, 1, error.strerror or str(error), 'a readable file'
        )
    if len(content) > MAX_FILE_BYTES:
        raise build_file_error(
            name, 1, 'a larger file', '%d bytes' % MAX_FILE_BYTES
        )
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        raise build_file_error(
            name, line, 'bytes that are no text', 'UTF-8 text'
        )
    return parse_yaml(text, name)


def parse_yaml(text: str, file: str) -> YamlDocument:
    """Parse YAML text; see ``load_yaml``.

    Raises:
        InvalidFileError: The text is no YAML.
    """
    result = YamlDocument(file=file)
    loader = None
    try:
        loader = yaml.SafeLoader(text)
        root = loader.get_single_node()
        if root is not None:
            result.value = build_value(loader, root, (), result, set())
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        problem = 'no YAML (%s)' % (error.problem or error)
        raise build_file_error(file, line, problem, 'valid YAML')
    except yaml.YAMLError as error:
        problem = 'no YAML (%s)' % str(error).splitlines()[0]
        raise build_file_error(file, 1, problem, 'valid YAML')
    except RecursionError:
        raise build_file_error(
            file, 1, 'values nested too deep', 'fewer levels'
        )
    finally:
        if loader is not None:
            loader.dispose()
    return result


def build_file_error(
    file: str, line: int, found: str, allowed: str
) -> InvalidFileError:
    """Build the error of a file that cannot be read at all."""
    return InvalidFileError(
        [
            diagnostic.Diagnostic(
                file=file, line=line, field='', found=found, allowed=allowed
            )
        ]
    )


def build_value(
    loader: yaml.SafeLoader,
    node: yaml.Node,
    path: FieldPath,
    result: YamlDocument,
    seen: set[int],
) -> object:
    """Build the value of a node and note its lines.

    An alias is a mistake: a few of them can stand for millions of values.
    """
    result.lines.setdefault(path, node.start_mark.line + 1)
    if id(node) in seen:
        result.add_diagnostic(path, 'an alias (*)', 'the value itself')
        return None
    seen.add(id(node))
    if isinstance(node, yaml.MappingNode):
        return build_mapping(loader, node, path, result, seen)
    if isinstance(node, yaml.SequenceNode):
        return [
            build_value(loader, item, (*path, index), result, seen)
            for index, item in enumerate(node.value)
        ]
    try:
        return loader.construct_object(node)
    except (yaml.YAMLError, ValueError):
        result.add_diagnostic(
            path, diagnostic.format_value(node.value), 'a plain value'
        )
        return None


def build_mapping(
    loader: yaml.SafeLoader,
    node: yaml.MappingNode,
    path: FieldPath,
    result: YamlDocument,
    seen: set[int],
) -> dict[str, object]:
    """Build a mapping; keys that come twice or are no text are mistakes."""
    values: dict[str, object] = {}
    for key_node, value_node in node.value:
        key = build_value(
            loader, key_node, (*path, '?'), YamlDocument(file=''), set()
        )
        line = key_node.start_mark.line + 1
        if not isinstance(key, str):
            result.lines[(*path, '?')] = line
            result.add_diagnostic(
                (*path, '?'),
                diagnostic.format_value(key) + ' as a key',
                'a quoted text',
            )
            continue
        if key in values:
            result.lines[(*path, key)] = line
            result.add_diagnostic(
                (*path, key), 'the key a second time', 'one of each'
            )
            continue
        result.lines[(*path, key)] = line
        values[key] = build_value(
            loader, value_node, (*path, key), result, seen
        )
    return values
