"""Statement language of the database instance stand-in.

Statements are small JSON documents such as `{"op": "add", "key": "k",
"by": 2}`. They are deterministic, so that replicas compute the same rows
and results from the same log.
"""

import collections
import typing

import msgspec

Rows = typing.MutableMapping[str, typing.Any]


class RejectedError(Exception):
    """A statement is malformed or does not fit the stored value."""


class _Statement(msgspec.Struct, tag_field='op', forbid_unknown_fields=True):
    """Base of all statements."""


class Get(_Statement, tag='get'):
    """Read of one key; the result is null if the key is absent."""

    key: str

    def run(self, rows: Rows) -> typing.Any:
        """Return the value of the key."""
        return rows.get(self.key)


class Keys(_Statement, tag='keys'):
    """Sorted list of the keys that start with a prefix."""

    prefix: str = ''

    def run(self, rows: Rows) -> typing.Any:
        """Return the names of the keys."""
        return sorted(key for key in rows if key.startswith(self.prefix))


class Put(_Statement, tag='put'):
    """Write of one key."""

    key: str
    value: typing.Any

    def run(self, rows: Rows) -> typing.Any:
        """Store the value and return it."""
        rows[self.key] = self.value
        return self.value


class Add(_Statement, tag='add'):
    """Increase of an integer, which is 0 if the key is absent."""

    key: str
    by: int = 1

    def run(self, rows: Rows) -> typing.Any:
        """Store the sum and return it.

        Raises:
          RejectedError: If the stored value is not an integer.
        """
        number = rows.get(self.key, 0)
        if not isinstance(number, int):
            raise RejectedError(f'{self.key} does not hold an integer')
        rows[self.key] = number + self.by
        return rows[self.key]


class Append(_Statement, tag='append'):
    """Addition to the end of a list, which is empty if the key is absent."""

    key: str
    value: typing.Any

    def run(self, rows: Rows) -> typing.Any:
        """Store the longer list and return its length.

        Raises:
          RejectedError: If the stored value is not a list.
        """
        stored = rows.get(self.key, [])
        if not isinstance(stored, list):
            raise RejectedError(f'{self.key} does not hold a list')
        # A new list, because results and transactions share the old one.
        rows[self.key] = [*stored, self.value]
        return len(rows[self.key])


Statement = Get | Keys | Put | Add | Append
READS = (Get, Keys)
_decoder = msgspec.json.Decoder(Statement)


def parse(document: msgspec.Raw) -> Statement:
    """Return the statement in a JSON document.

    Raises:
      RejectedError: If the document is not a known statement.
    """
    try:
        return _decoder.decode(document)
    except msgspec.DecodeError as error:
        raise RejectedError(str(error)) from error


def run_all(
    statements: typing.Iterable[Statement],
    rows: Rows,
) -> list[typing.Any]:
    """Run statements on rows, all or none.

    Args:
      statements: Statements in order.
      rows: Values by key; changed only if every statement succeeds.

    Returns:
      The result of each statement.

    Raises:
      RejectedError: If a statement does not fit the stored values.
    """
    overlay = collections.ChainMap({}, rows)
    outcomes = [statement.run(overlay) for statement in statements]
    rows.update(overlay.maps[0])
    return outcomes
