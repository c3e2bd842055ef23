"""Codec of the line protocol between this process and instances."""

import types
import typing

from jacinthhaven.platform import words
from jacinthhaven.sql import commands, records, statements

_STATUS_FIELDS = 3


def encode_start(instance: records.Instance) -> bytes:
    """Return the START line, which verifies the identity of an instance."""
    # Instances expect the name of the service in the field where clients
    # send the name of a database.
    fields = ('START', instance.service, 'jacinthhaven', instance.name)
    return words.encode([' '.join(fields)])


def encode_command(command: commands.Command) -> bytes:
    """Return the QUERY line of a command to an instance."""
    request_id = words.NONE
    if isinstance(command, commands.Run):
        request_id = command.statement.request_id
    text = _ENCODERS[type(command)](command)
    return words.encode([f'QUERY {request_id} {text}'])


def _encode_run(command: commands.Run) -> str:
    after = _wait_prefix(command.after)
    if command.prepared_name:
        name = command.prepared_name
        argument = command.statement.argument
        return f'{after}EXECUTE {name} {argument}'
    return after + command.statement.text


def _encode_begin(command: commands.Begin) -> str:
    kind = ' READ' if command.read_only else ''
    return f'{_wait_prefix(command.after)}BEGIN{kind}'


def _encode_set(command: commands.SetValue) -> str:
    return f'SET {command.name} {command.text}'


def _encode_prepare(command: commands.Prepare) -> str:
    kind = 'WRITE' if command.prepared.writes else 'READ'
    shape = command.prepared.shape
    return f'PREPARE {command.name} {kind} {shape}'


def _encode_pause(command: commands.Pause) -> str:
    return f'PAUSE {command.term}'


def _encode_demote(command: commands.Demote) -> str:
    return f'DEMOTE {command.term}'


def _wait_prefix(position: records.Position | None) -> str:
    return '' if position is None else f'WAITPOS {position} '


def _constant_text(text: str) -> typing.Callable[[commands.Command], str]:
    return lambda _command: text


_ENCODERS: typing.Mapping[type, typing.Callable] = types.MappingProxyType(
    {
        commands.Run: _encode_run,
        commands.Begin: _encode_begin,
        commands.Rollback: _constant_text('ROLLBACK'),
        commands.Reset: _constant_text('RESET'),
        commands.SetValue: _encode_set,
        commands.Prepare: _encode_prepare,
        commands.AskStatus: _constant_text('STATUS'),
        commands.Pause: _encode_pause,
        commands.Resume: _constant_text('RESUME'),
        commands.Demote: _encode_demote,
    },
)


class ReplyReader:
    """Assembles replies of an instance from their lines."""

    __slots__ = ('reply', 'wants_status')

    def __init__(self) -> None:
        """Start with an empty reply."""
        self.reply = statements.Reply()
        self.wants_status = False

    def feed(self, line: str) -> statements.Reply | None:
        """Add a line and return the reply if this line completes it.

        Raises:
          words.MalformedLineError: If the line is not part of a reply.
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
                raise words.MalformedLineError(line)
        return None

    def _fail(self, rest: str) -> None:
        word, _, detail = rest.partition(' ')
        self.reply.code = words.CODES.get(word, statements.Code.FAILED)
        self.reply.detail = detail

    def _finish(self, rest: str) -> statements.Reply:
        word, _, position = rest.partition(' ')
        reply = self.reply
        if word not in words.STATES:
            raise words.MalformedLineError(rest)
        reply.state = words.STATES[word]
        reply.position = decode_position(position)
        if self.wants_status and reply.code is None and reply.rows:
            reply.status = _decode_status(reply.rows[0])
        self.reply = statements.Reply()
        return reply


def decode_position(text: str) -> records.Position | None:
    """Decode a position field, or return None if it is empty.

    Raises:
      words.MalformedLineError: If the field is not a position.
    """
    if text in {'', words.NONE}:
        return None
    term, _, number = text.partition('.')
    try:
        return records.Position(int(term), int(number))
    except ValueError as error:
        raise words.MalformedLineError(text) from error


def _decode_status(row: str) -> records.InstanceStatus:
    # The fields after the received position are ignored: highest paused
    # term, lag, running statements and connections.
    fields = row.split(' ')[:_STATUS_FIELDS]
    try:
        role, term, received = fields
        return records.InstanceStatus(
            role == 'primary',
            int(term),
            decode_position(received),
        )
    except ValueError as error:
        raise words.MalformedLineError(row) from error
