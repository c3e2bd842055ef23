"""Keywords and line format of the protocol of clients and instances.

A line is a keyword followed by its fields, separated by spaces and terminated
by CR LF. The last field extends to the end of the line.
"""

import types

from jacinthhaven.sql import records, statements

END = b'\r\n'
MAX_LINE_BYTES = 1_048_576
NONE = '-'

_ENCODING = 'latin-1'

CODES = types.MappingProxyType(
    {
        'BUSY': statements.Code.BUSY,
        'ABORTED': statements.Code.ABORTED,
        # The instance has not yet applied the requested position.
        'LAGGING': statements.Code.BEHIND,
        'READONLY': statements.Code.READ_ONLY,
        'MISROUTED': statements.Code.WRONG_INSTANCE,
        'CONNLIMIT': statements.Code.CONNECTION_LIMIT,
        'FAILED': statements.Code.FAILED,
        'TIMEOUT': statements.Code.TIMEOUT,
        'INDOUBT': statements.Code.OUTCOME_UNKNOWN,
        'NODB': statements.Code.UNKNOWN_DATABASE,
        'NOSTMT': statements.Code.UNKNOWN_STATEMENT,
        'MALFORMED': statements.Code.MALFORMED,
        'TOOBIG': statements.Code.TOO_LARGE,
        'NOAUTH': statements.Code.UNKNOWN_KEY,
    },
)
_CODE_WORDS = types.MappingProxyType(
    {code: word for word, code in CODES.items()},
)
STATES = types.MappingProxyType(
    {
        'I': statements.State.IDLE,
        'T': statements.State.OPEN,
        'E': statements.State.FAILED,
    },
)
_STATE_WORDS = types.MappingProxyType(
    {state: word for word, state in STATES.items()},
)


class MalformedLineError(Exception):
    """A line does not follow the protocol."""


class LineReader:
    """Splits received bytes into lines with a size limit."""

    __slots__ = ('rest',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.rest = b''

    def feed(self, chunk: bytes) -> list[str]:
        """Add received bytes and return the lines that they complete.

        Raises:
          MalformedLineError: If a line is longer than the limit.
        """
        *lines, rest = (self.rest + chunk).split(END)
        self.rest = rest
        longest = max(map(len, lines), default=0)
        if max(longest, len(self.rest)) > MAX_LINE_BYTES:
            raise MalformedLineError('line exceeds the size limit')
        return [line.decode(_ENCODING) for line in lines]


def encode(lines: list[str]) -> bytes:
    """Encode lines with their terminators."""
    return '\r\n'.join((*lines, '')).encode(_ENCODING, errors='replace')


def error_line(code: statements.Code, detail: str) -> str:
    """Return an ERROR line."""
    text = detail or NONE
    return f'ERROR {_CODE_WORDS[code]} {text}'


def ready_line(
    state: statements.State,
    position: records.Position | None,
) -> str:
    """Return the READY line that ends an answer."""
    shown = NONE if position is None else str(position)
    return f'READY {_STATE_WORDS[state]} {shown}'


def ready_state(line: str) -> statements.State | None:
    """Return the state in a READY line, or None for any other line."""
    word, _, rest = line.partition(' ')
    if word != 'READY':
        return None
    return STATES.get(rest[:1], statements.State.FAILED)


def encode_accept() -> bytes:
    """Return the answer to a START line that opens a session."""
    return encode([ready_line(statements.State.IDLE, None)])


def encode_refusal(code: statements.Code) -> bytes:
    """Return the answer to a START line that is refused."""
    return encode([error_line(code, '')])
