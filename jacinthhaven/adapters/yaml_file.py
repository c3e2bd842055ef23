"""Parsing of YAML files into plain data with the position of each value.

All errors of a file are collected and returned with their lines, so that
operators can fix the file in one pass.
"""

import dataclasses
import typing

from ruamel import yaml

Path = tuple[str | int, ...]
Position = tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FileError:
    """One error in a file.

    Attributes:
      line: Line number from 1.
      column: Column number from 1.
      path: Path in the document, such as `groups[0].owners`.
      message: Description of the error.
    """

    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        """Return the position, the path and the message."""
        position = f'{self.line}:{self.column}'
        if self.path:
            return f'{position}: {self.path}: {self.message}'
        return f'{position}: {self.message}'


@dataclasses.dataclass(slots=True)
class Document:
    """Parsed YAML file.

    Attributes:
      root: Plain dictionaries, lists and scalars.
      positions: Line and column, from 1, of every key and list item.
      errors: Syntax errors, duplicate keys and aliases.
    """

    root: typing.Any = None
    positions: dict[Path, Position] = dataclasses.field(default_factory=dict)
    errors: list[FileError] = dataclasses.field(default_factory=list)

    def error_at(self, path: Path, message: str) -> FileError:
        """Return an error at the position of a path.

        If the position is unknown, that of the nearest parent parent is used.
        """
        parent = path
        while parent and parent not in self.positions:
            parent = parent[:-1]
        line, column = self.positions.get(parent, (1, 1))
        return FileError(line, column, format_path(path), message)


def format_path(path: Path) -> str:
    """Return a path as text, such as `groups[0].name`."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text = f'{text}[{part}]'
        else:
            text = f'{text}.{part}' if text else part
    return text


def parse(text: str) -> Document:
    """Parse YAML without constructing any object but plain data.

    Args:
      text: One YAML document.

    Returns:
      The document; its `errors` are empty if `root` is usable.
    """
    document = Document()
    # `pure` selects the Python parser, whose nodes have positions. Duplicate
    # keys are allowed here, because `_walk` reports all of them at once.
    loader = yaml.YAML(typ='safe', pure=True)
    loader.allow_duplicate_keys = True
    try:
        node = loader.compose(text)
    except yaml.error.YAMLError as error:
        document.errors.append(_yaml_error(error))
        return document
    except RecursionError:
        document.errors.append(FileError(1, 1, '', 'nested too deeply'))
        return document
    if node is None:
        document.errors.append(FileError(1, 1, '', 'the file is empty'))
        return document
    _walk(document, node, (), set())
    if not document.errors:
        try:
            document.root = loader.constructor.construct_document(node)
        except yaml.error.YAMLError as error:
            document.errors.append(_yaml_error(error))
    return document


def _position(mark: yaml.error.StringMark) -> Position:
    return mark.line + 1, mark.column + 1


def _yaml_error(error: yaml.error.YAMLError) -> FileError:
    if isinstance(error, yaml.error.MarkedYAMLError):
        mark = error.problem_mark or error.context_mark
        message = error.problem or error.context or 'invalid YAML'
        return FileError(*_position(mark), '', message)
    # The parser gives no position for a character that YAML forbids.
    return FileError(1, 1, '', ' '.join(str(error).split()))


def _walk(
    document: Document,
    node: yaml.nodes.Node,
    path: Path,
    seen: set[int],
) -> None:
    """Record the positions and structural errors of a node and its children."""
    document.positions.setdefault(path, _position(node.start_mark))
    # An alias refers to the node of its anchor. Nested aliases can expand to
    # documents of exponential size and hide the position of an error.
    if id(node) in seen:
        document.errors.append(
            document.error_at(path, 'YAML aliases are not supported'),
        )
        return
    seen.add(id(node))
    if isinstance(node, yaml.nodes.MappingNode):
        _walk_mapping(document, node, path, seen)
    elif isinstance(node, yaml.nodes.SequenceNode):
        for index, child in enumerate(node.value):
            _walk(document, child, (*path, index), seen)


def _walk_mapping(
    document: Document,
    node: yaml.nodes.MappingNode,
    path: Path,
    seen: set[int],
) -> None:
    keys = set()
    for key_node, child in node.value:
        child_path = (*path, str(key_node.value))
        position = _position(key_node.start_mark)
        if child_path in keys:
            document.errors.append(
                FileError(*position, format_path(child_path), 'duplicate key'),
            )
            continue
        keys.add(child_path)
        document.positions[child_path] = position
        _walk(document, child, child_path, seen)
