"""Loads YAML documents and records the line number of each value."""

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
    """A file is invalid; the message has one line for each diagnostic.

    Attributes:
        diagnostics: All diagnostics, sorted by line number.
    """

    def __init__(
        self, diagnostics: collections.abc.Iterable[diagnostic.Diagnostic]
    ) -> None:
        self.diagnostics = sorted(diagnostics, key=lambda item: item.line)
        super().__init__('\n'.join(str(item) for item in self.diagnostics))


@dataclasses.dataclass(slots=True, kw_only=True)
class YamlDocument:
    """Parsed YAML document with the line numbers of its values.

    Attributes:
        file: File name used in diagnostics.
        value: Parsed content.
        lines: Line number of each value by its path of keys and list
            indices.
        diagnostics: Errors found so far, such as a duplicate key.
    """

    file: str
    value: typing.Any = None
    lines: dict[FieldPath, int] = dataclasses.field(default_factory=dict)
    diagnostics: list[diagnostic.Diagnostic] = dataclasses.field(
        default_factory=list
    )

    def find_line(self, path: FieldPath) -> int:
        """Return the line of a value, or of its nearest known ancestor."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def add_diagnostic(
        self, path: FieldPath, found: str, allowed: str
    ) -> None:
        """Record an error at the given path."""
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
    """Load a YAML file.

    Args:
        path: Path of the file.

    Returns:
        The document, with diagnostics for duplicate keys, aliases and other
        constructs that YAML permits but this project rejects.

    Raises:
        InvalidFileError: The file cannot be read or is not valid YAML.
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
            name,
            1,
            'a file that is too large',
            'at most %d bytes' % MAX_FILE_BYTES,
        )
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        raise build_file_error(
            name, line, 'bytes that are not valid UTF-8', 'UTF-8 text'
        )
    return parse_yaml(text, name)


def parse_yaml(text: str, file: str) -> YamlDocument:
    """Parse YAML text; see ``load_yaml``.

    Raises:
        InvalidFileError: The text is not valid YAML.
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
        problem = 'invalid YAML (%s)' % (error.problem or error)
        raise build_file_error(file, line, problem, 'valid YAML')
    except yaml.YAMLError as error:
        problem = 'invalid YAML (%s)' % str(error).splitlines()[0]
        raise build_file_error(file, 1, problem, 'valid YAML')
    except RecursionError:
        raise build_file_error(
            file, 1, 'values nested too deeply', 'fewer levels'
        )
    finally:
        if loader is not None:
            loader.dispose()
    return result


def build_file_error(
    file: str, line: int, found: str, allowed: str
) -> InvalidFileError:
    """Build the error for a file that cannot be read or parsed at all."""
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
    """Build the value of a node and record its line numbers.

    Aliases are rejected, since a few nested ones can expand to millions of
    values.
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
    """Build a mapping; duplicate keys and non-string keys are errors."""
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
                'a quoted string',
            )
            continue
        if key in values:
            result.lines[(*path, key)] = line
            result.add_diagnostic(
                (*path, key), 'a duplicate key', 'each key only once'
            )
            continue
        result.lines[(*path, key)] = line
        values[key] = build_value(
            loader, value_node, (*path, key), result, seen
        )
    return values
