"""Codec of the line protocol between nodes.

The lines have the format of the client protocol, since most of them are
forwarded unchanged.
"""

import msgspec

from jacinthhaven.platform import words
from jacinthhaven.records import history
from jacinthhaven.sql import statements

PING = 'PING'
PONG = 'PONG'
# First line of a connection whose other bytes go to the store and back.
TUNNEL = b'STORE\r\n'
# First line of a connection that requests the configuration of a node.
COPY = 'CONFIGURATION'
_RELAYED_KEYWORD = 'SESSION'
_LOAN_KEYWORD = 'START'
_LOAN_FIELDS = 4
_RELAYED_FIELDS = 3


def encode_relayed(database: str, version: int) -> bytes:
    """Return the line that asks an owner to execute a session."""
    return words.encode([f'{_RELAYED_KEYWORD} {version} {database}'])


def decode_relayed(line: str) -> tuple[int, str] | None:
    """Return the configuration version and database in a SESSION line.

    Returns None for any other line.

    Raises:
      words.MalformedLineError: If the version is not a number.
    """
    fields = line.split(' ')
    if len(fields) != _RELAYED_FIELDS or fields[0] != _RELAYED_KEYWORD:
        return None
    try:
        return int(fields[1]), fields[2]
    except ValueError as error:
        raise words.MalformedLineError(line) from error


def encode_copy(revision: history.EraNumber, text: str) -> bytes:
    """Return the line with the configuration of a node."""
    # As a JSON string, the text contains no line break.
    return b'%d %b\r\n' % (revision.encoded, msgspec.json.encode(text))


def decode_copy(line: bytes) -> tuple[history.EraNumber, str]:
    """Return the revision and the text of a configuration.

    Raises:
      words.MalformedLineError: If the line is not made by `encode_copy`.
    """
    revision, _, text = line.partition(b' ')
    try:
        return (
            history.decode(int(revision)),
            msgspec.json.decode(text, type=str),
        )
    except ValueError as error:
        raise words.MalformedLineError('malformed configuration') from error


def encode_query(statement: statements.Statement) -> bytes:
    """Return the QUERY line that forwards a client's statement."""
    return words.encode([f'QUERY {statement.request_id} {statement.text}'])


def decode_loan(line: str) -> tuple[str, str]:
    """Return the service and instance in a node's request for a link.

    Raises:
      words.MalformedLineError: If the line is not such a request.
    """
    fields = line.split(' ')
    if len(fields) != _LOAN_FIELDS or fields[0] != _LOAN_KEYWORD:
        raise words.MalformedLineError(
            'expected START, a service and an instance'
        )
    return fields[1], fields[3]
