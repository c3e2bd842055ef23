"""Keywords and line format of the protocol of clients and instances.

A line is a keyword followed by its fields, separated by spaces and terminated
by CR LF. The last field extends to the end of the line.
"""

import types

from jacinthhaven.sql import records, statements

END = b'\r\n'
MAX_LINE_BYTES = 1_048_576
NONE = '-'
# Size from which the beginning of an unfinished line becomes a block.
_BLOCK_BYTES = 16_384

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
    """Splits received bytes into lines with a size limit.

    The bytes of an unfinished line are kept in blocks, which are joined once.

    Attributes:
      blocks: Beginning of an unfinished line, without an end of a line.
      pending: Bytes after these blocks.
      scanned: Number of pending bytes that contain no end of a line.
      blocks_size: Size of all blocks.
    """

    __slots__ = ('blocks', 'pending', 'scanned', 'blocks_size')

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.blocks: list[bytes] = []
        self.pending = bytearray()
        self.scanned = 0
        self.blocks_size = 0

    @property
    def size(self) -> int:
        """Return the number of bytes that were not returned as lines."""
        return self.blocks_size + len(self.pending)

    def add(self, chunk: bytes) -> None:
        """Add received bytes."""
        self.pending += chunk

    def next_line(self) -> str | None:
        """Remove and return the next complete line, or None if there is none.

        The time is linear in the received bytes, whatever their pieces: each
        byte is searched once and copied a few times.

        Raises:
          MalformedLineError: If a line is longer than the limit.
        """
        end = self.pending.find(END, self.scanned)
        length = end
        if end < 0:
            # The last byte may be the first one of an end.
            half_ended = self.pending.endswith(END[:1])
            length = len(self.pending) - half_ended
        if self.blocks_size + length > MAX_LINE_BYTES:
            raise MalformedLineError('line exceeds the size limit')
        if end < 0:
            self.scanned = length
            if length >= _BLOCK_BYTES:
                self._store_block(length)
            return None
        return self._take(end)

    def starts_with(self, line: bytes) -> bool:
        """Return whether the next line is a given one with its end."""
        return not self.blocks and self.pending.startswith(line)

    def take_rest(self) -> bytes:
        """Remove and return all bytes that were not returned as lines."""
        rest = b''.join((*self.blocks, self.pending))
        self._clear_blocks()
        self.pending.clear()
        self.scanned = 0
        return rest

    def feed(self, chunk: bytes) -> list[str]:
        """Add received bytes and return the lines that they complete.

        Raises:
          MalformedLineError: If a line is longer than the limit.
        """
        self.add(chunk)
        lines = []
        line = self.next_line()
        while line is not None:
            lines.append(line)
            line = self.next_line()
        return lines

    def _take(self, end: int) -> str:
        line = self.pending[:end]
        if self.blocks:
            line = b''.join((*self.blocks, line))
            self._clear_blocks()
        self._drop(end + len(END))
        return line.decode(_ENCODING)

    def _store_block(self, length: int) -> None:
        self.blocks.append(bytes(self.pending[:length]))
        self.blocks_size += length
        self._drop(length)

    def _drop(self, length: int) -> None:
        # This moves the start of the buffer and copies nothing.
        del self.pending[:length]  # noqa: WPS420
        self.scanned = 0

    def _clear_blocks(self) -> None:
        self.blocks = []
        self.blocks_size = 0


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
