"""Lines between the nodes of this product.

They use the form of the client's lines, since most of them are passed on
unchanged.
"""

from jacinthhaven.platform import words
from jacinthhaven.sql import statements

PING = 'PING'
PONG = 'PONG'
_RELAYED = 'SESSION'
_LOAN = 'START'
_LOAN_FIELDS = 4
_RELAYED_FIELDS = 3


def encode_relayed(database: str, version: int) -> bytes:
    """Return the first line to an owner, which executes a session."""
    return words.encode([f'{_RELAYED} {version} {database}'])


def decode_relayed(line: str) -> tuple[int, str] | None:
    """Return the version and database of a relayed session, or None.

    Raises:
      words.MalformedLineError: If the version is not a number.
    """
    fields = line.split(' ')
    if len(fields) != _RELAYED_FIELDS or fields[0] != _RELAYED:
        return None
    try:
        return int(fields[1]), fields[2]
    except ValueError as error:
        raise words.MalformedLineError(line) from error


def encode_query(statement: statements.Statement) -> bytes:
    """Return the line of a client's statement."""
    return words.encode([f'QUERY {statement.request_id} {statement.text}'])


def decode_loan(line: str) -> tuple[str, str]:
    """Return the service and instance of a node's first line.

    Raises:
      words.MalformedLineError: If it is something else.
    """
    fields = line.split(' ')
    if len(fields) != _LOAN_FIELDS or fields[0] != _LOAN:
        raise words.MalformedLineError('expected the request of a link')
    return fields[1], fields[3]
