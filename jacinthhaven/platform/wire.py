"""Codec of the line protocol that clients and instances speak.

A line is a word and its fields, separated by blanks and ended by CR LF; the
last field extends to the end of the line.
"""

import types
import typing

from jacinthhaven.sql import records, statements

END = b'\r\n'
MAX_LINE_BYTES = 1_048_576
NONE = '-'

_ENCODING = 'latin-1'

_CODES = types.MappingProxyType(
    {
        'BUSY': statements.Code.BUSY,
        'ABORTED': statements.Code.ABORTED,
        # The instance has not applied the position asked for.
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
    },
)
_WORDS = types.MappingProxyType(
    {code: word for word, code in _CODES.items()},
)
_STATES = types.MappingProxyType(
    {
        'I': statements.State.IDLE,
        'T': statements.State.OPEN,
        'E': statements.State.FAILED,
    },
)
_STATE_WORDS = types.MappingProxyType(
    {state: word for word, state in _STATES.items()},
)
_NAMED = types.MappingProxyType(
    {
        'SET': statements.Verb.SET,
        'PREPARE': statements.Verb.PREPARE,
        'EXECUTE': statements.Verb.EXECUTE,
        'DEALLOC': statements.Verb.DEALLOCATE,
    },
)
_PLAIN = types.MappingProxyType(
    {
        'COMMIT': statements.Verb.COMMIT,
        'ROLLBACK': statements.Verb.ROLLBACK,
    },
)
_WITH_DATA = types.MappingProxyType(
    {
        'READ': statements.Verb.READ,
        'WRITE': statements.Verb.WRITE,
    },
)
_PREPARED_KINDS = types.MappingProxyType({'READ': False, 'WRITE': True})


class MalformedLineError(Exception):
    """A line does not follow the protocol."""


class LineReader:
    """Splits received bytes into lines with a size limit."""

    __slots__ = ('rest',)

    def __init__(self) -> None:
        """Start without bytes."""
        self.rest = b''

    def feed(self, chunk: bytes) -> list[str]:
        """Return the lines that are complete now.

        Raises:
          MalformedLineError: If a line is longer than the limit.
        """
        *lines, self.rest = (self.rest + chunk).split(END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self.rest)) > MAX_LINE_BYTES:
            raise MalformedLineError('line too long')
        return [line.decode(_ENCODING) for line in lines]


def decode_start(line: str) -> str:
    """Return the database name of a client's first line.

    Raises:
      MalformedLineError: If it is something else.
    """
    word, _, rest = line.partition(' ')
    database = rest.partition(' ')[0]
    if word != 'START' or not database:
        raise MalformedLineError('expected the start of a session')
    return database


PING = 'PING'
PONG = 'PONG'
_RELAYED = 'SESSION'


def encode_relayed(database: str, version: int) -> bytes:
    """Return the first line to an owner, which executes a session."""
    return _encode([f'{_RELAYED} {version} {database}'])


def decode_relayed(line: str) -> tuple[int, str] | None:
    """Return the version and database of a relayed session, or None."""
    match line.split(' '):
        case [word, version, database] if word == _RELAYED:
            return int(version), database
    return None


def encode_query(statement: statements.Statement) -> bytes:
    """Return the line of a client's statement."""
    return _encode([f'QUERY {statement.request_id} {statement.text}'])


def decode_loan(line: str) -> tuple[str, str]:
    """Return the service and instance of a node's first line.

    Raises:
      MalformedLineError: If it is something else.
    """
    match line.split(' '):
        case ['START', service, _node, instance]:
            return service, instance
    raise MalformedLineError('expected the request of a link')


def ready_state(line: str) -> statements.State | None:
    """Return the state in a line that ends a reply, or None."""
    word, _, rest = line.partition(' ')
    if word != 'READY':
        return None
    return _STATES.get(rest[:1], statements.State.FAILED)


def encode_line(line: str) -> bytes:
    """Return the bytes of a line that is passed on unchanged."""
    return _encode([line])


def decode_query(line: str) -> statements.Statement | None:
    """Return the statement of a client's line, or None if it says goodbye.

    Raises:
      MalformedLineError: If it is something else.
    """
    word, _, rest = line.partition(' ')
    if word == 'TERMINATE':
        return None
    request_id, _, text = rest.partition(' ')
    if word != 'QUERY' or not request_id:
        raise MalformedLineError('unknown word')
    return _decode_text(request_id, text)


def _decode_text(request_id: str, text: str) -> statements.Statement:
    word, _, rest = text.partition(' ')
    name, _, argument = rest.partition(' ')
    verb = statements.Verb.INVALID
    if word == 'BEGIN' and rest in {'', 'READ'}:
        verb = statements.Verb.BEGIN
        if rest:
            verb = statements.Verb.BEGIN_READ
    elif word in _NAMED and name:
        verb = _named_verb(word, argument)
    elif word in _WITH_DATA and name:
        verb = _WITH_DATA[word]
    elif word in _PLAIN and not rest:
        verb = _PLAIN[word]
    if verb is statements.Verb.PREPARE:
        kind, _, shape = argument.partition(' ')
        argument = f'{kind.lower()} {shape}'
    return statements.Statement(request_id, verb, name, argument, text)


def _named_verb(word: str, argument: str) -> statements.Verb:
    verb = _NAMED[word]
    if verb is statements.Verb.PREPARE:
        kind, _, shape = argument.partition(' ')
        if kind not in _PREPARED_KINDS or not shape:
            return statements.Verb.INVALID
    return verb


def encode_answer(answer: statements.Answer) -> bytes:
    """Return the lines of an answer to a client."""
    lines = [f'DATAROW {row}' for row in answer.rows]
    if answer.code is None:
        lines.append(f'COMPLETE {answer.signature}')
    else:
        lines.append(_error(answer.code, answer.detail))
    lines.append(_ready(answer.state, answer.position))
    return _encode(lines)


def encode_accept() -> bytes:
    """Return the answer to a client whose session is open."""
    return _encode([_ready(statements.State.IDLE, None)])


def encode_refusal(code: statements.Code) -> bytes:
    """Return the answer to a client whose session is refused."""
    return _encode([_error(code, '')])


def encode_start(instance: records.Instance) -> bytes:
    """Return the first line to an instance, which proves its identity."""
    # The first field is the name of the service, although clients send the
    # name of a database there.
    return _encode([f'START {instance.service} jacinthhaven {instance.name}'])


def encode_command(command: statements.Command) -> bytes:
    """Return the line of a command to an instance."""
    request_id = NONE
    if isinstance(command, statements.Run):
        request_id = command.statement.request_id
    return _encode([f'QUERY {request_id} {_command_text(command)}'])


def _command_text(command: statements.Command) -> str:  # noqa: WPS212, C901
    match command:
        case statements.Run():
            return f'{_after(command.after)}{_run_text(command)}'
        case statements.Begin(read_only=read_only, after=after):
            kind = ' READ' if read_only else ''
            return f'{_after(after)}BEGIN{kind}'
        case statements.Rollback():
            return 'ROLLBACK'
        case statements.Reset():
            return 'RESET'
        case statements.SetValue(name=name, text=text):
            return f'SET {name} {text}'
        case statements.Prepare(name=name, prepared=prepared):
            kind = 'WRITE' if prepared.writes else 'READ'
            return f'PREPARE {name} {kind} {prepared.shape}'
        case statements.AskStatus():
            return 'STATUS'
        case statements.Pause(term=term):
            return f'PAUSE {term}'
        case statements.Resume():
            return 'RESUME'
    typing.assert_never(command)


def _run_text(command: statements.Run) -> str:
    if command.prepared_name:
        argument = command.statement.argument
        return f'EXECUTE {command.prepared_name} {argument}'
    return command.statement.text


def _after(position: records.Position | None) -> str:
    return '' if position is None else f'WAITPOS {position} '


def _error(code: statements.Code, detail: str) -> str:
    text = detail or NONE
    return f'ERROR {_WORDS[code]} {text}'


def _ready(
    state: statements.State,
    position: records.Position | None,
) -> str:
    shown = NONE if position is None else str(position)
    return f'READY {_STATE_WORDS[state]} {shown}'


def _encode(lines: list[str]) -> bytes:
    return '\r\n'.join((*lines, '')).encode(_ENCODING, errors='replace')


class ReplyReader:
    """Collects the lines of one reply of an instance."""

    __slots__ = ('reply', 'wants_status')

    def __init__(self) -> None:
        """Start without a line."""
        self.reply = statements.Reply()
        self.wants_status = False

    def feed(self, line: str) -> statements.Reply | None:
        """Add a line and return the reply if it is complete.

        Raises:
          MalformedLineError: If the line is not part of a reply.
        """
        word, _, rest = line.partition(' ')
        reply = self.reply
        match word:
            case 'DATAROW':
                reply.rows = (*reply.rows, rest)
            case 'COMPLETE':
                reply.signature = rest
            case 'ERROR':
                self._fail(rest)
            case 'READY':
                return self._finish(rest)
            case _:
                raise MalformedLineError(line)
        return None

    def _fail(self, rest: str) -> None:
        word, _, detail = rest.partition(' ')
        self.reply.code = _CODES.get(word, statements.Code.FAILED)
        self.reply.detail = detail

    def _finish(self, rest: str) -> statements.Reply:
        word, _, position = rest.partition(' ')
        reply = self.reply
        if word not in _STATES:
            raise MalformedLineError(rest)
        reply.state = _STATES[word]
        reply.position = decode_position(position)
        if self.wants_status and reply.code is None and reply.rows:
            reply.status = _decode_status(reply.rows[0])
        self.reply = statements.Reply()
        return reply


def decode_position(text: str) -> records.Position | None:
    """Return the position in a field, or None if it holds none.

    Raises:
      MalformedLineError: If the field holds something else.
    """
    if text in {'', NONE}:
        return None
    term, _, number = text.partition('.')
    try:
        return records.Position(int(term), int(number))
    except ValueError as error:
        raise MalformedLineError(text) from error


def _decode_status(row: str) -> records.InstanceStatus:
    # The fields after the received position (highest paused term, lag,
    # running statements, connections) are not used.
    fields = row.split(' ')
    try:
        role, term, received = fields[:3]
        return records.InstanceStatus(
            role == 'primary',
            int(term),
            decode_position(received),
        )
    except ValueError as error:
        raise MalformedLineError(row) from error
