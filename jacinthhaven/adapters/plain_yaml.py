"""Fast parsing of the simple YAML in which settings are usually written.

Importing and running the full parser takes a tenth of the start of a proxy.
This one reads nested mappings whose values are unambiguous scalars or lists of
strings, and leaves all other text, and all errors, to the full parser.
"""

import typing

import msgspec

_INDENT = 2
# Four bytes and the port.
_ADDRESS_PARTS = 5
_NUMBER = frozenset('0123456789.')

Mapping = dict[str, typing.Any]


class NotPlainError(Exception):
    """The text needs the full parser."""


class _Reader:
    """Mappings that enclose the next line, the innermost last."""

    __slots__ = ('enclosing',)

    def __init__(self) -> None:
        self.enclosing: list[Mapping] = [{}]

    def add(self, line: str) -> None:
        """Add a line with a key, and a value unless deeper lines hold it."""
        text = line.lstrip(' ')
        depth, rest = divmod(len(line) - len(text), _INDENT)
        key, colon, found = text.partition(':')
        usable = key.isascii() and key.isidentifier() and not rest
        if not usable or not colon or found[:1] not in {'', ' '}:
            raise NotPlainError
        mapping = self.enclose(depth)
        if key in mapping:
            raise NotPlainError
        mapping[key] = _read_value(found.strip(' '))
        if isinstance(mapping[key], dict):
            self.enclosing.append(mapping[key])

    def enclose(self, depth: int) -> Mapping:
        """Return the mapping of the lines of a depth, closing deeper ones."""
        if depth >= len(self.enclosing):
            raise NotPlainError
        if depth < len(self.enclosing) - 1:
            self.check_filled()
        self.enclosing = self.enclosing[: depth + 1]
        return self.enclosing[depth]

    def check_filled(self) -> None:
        """Check the innermost mapping: a key without any value means null."""
        if not self.enclosing[-1]:
            raise NotPlainError


def parse(text: str) -> Mapping:
    """Return the mapping in a document.

    Raises:
      NotPlainError: If the text is not YAML of the simple kind.
    """
    reader = _Reader()
    for line in text.split('\n'):
        if line and not line.lstrip(' ').startswith('#'):
            reader.add(line)
    reader.check_filled()
    return reader.enclosing[0]


def _read_value(text: str) -> typing.Any:
    """Return a value that YAML and JSON read alike; a mapping for no text."""
    if not text:
        return {}
    # Escapes differ between YAML and JSON.
    if not text.isprintable() or not text.isascii() or '\\' in text:
        raise NotPlainError
    if _is_address(text):
        return text
    try:
        found = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise NotPlainError from error
    if isinstance(found, list):
        usable = all(isinstance(part, str) for part in found)
    else:
        usable = isinstance(found, (bool, str)) or _NUMBER.issuperset(text)
    if not usable:
        raise NotPlainError
    return found


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port.

    Written without quotes, it is a string in YAML.
    """
    host, _, port = text.partition(':')
    parts = [*host.split('.'), port]
    return len(parts) == _ADDRESS_PARTS and all(map(str.isdecimal, parts))
