"""Codec of the line protocol between nodes.

The lines have the format of the client protocol, since most of them are
forwarded unchanged.
"""

import msgspec

from jacinthhaven.platform import instance_wire, words
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
# A SESSION line without a key has three fields.
_RELAYED_FIELDS = frozenset((3, 4))


def encode_relayed(database: str, version: int, key_digest: str = '') -> bytes:
    """Return the line that asks an owner to execute a session."""
    line = f'{_RELAYED_KEYWORD} {version} {database} {key_digest}'
    return words.encode([line.rstrip()])


def decode_relayed(line: str) -> tuple[int, str, str] | None:
    """Return the fields of a SESSION line.

    Returns:
      Configuration version, database and the digest of the client's key ('' if
      it sent none), or None for any other line.

    Raises:
      words.MalformedLineError: If the version is not a number.
    """
    fields = line.split(' ')
    if len(fields) not in _RELAYED_FIELDS or fields[0] != _RELAYED_KEYWORD:
        return None
    _word, version, database, *digests = fields
    try:
        return int(version), database, ''.join(digests)
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


def decode_loan(line: str) -> tuple[str, str, str]:
    """Return the service, customer and instance in a request for a link.

    Raises:
      words.MalformedLineError: If the line is not such a request.
    """
    fields = line.split(' ')
    if len(fields) != _LOAN_FIELDS or fields[0] != _LOAN_KEYWORD:
        raise words.MalformedLineError(
            'expected START, a service and an instance'
        )
    return instance_wire.decode_start(fields)
