"""Encoder of the commands that this process sends to instances."""

import types
import typing

from jacinthhaven.platform import words
from jacinthhaven.sql import commands, records


# Name of the caller on links that belong to no customer.
_OWN_NAME = 'jacinthhaven'


def encode_start(instance: records.Instance, customer: str = '') -> bytes:
    """Return the START line, which verifies the identity of an instance.

    Args:
      instance: Instance to which the link is opened.
      customer: Name of the customer that the link belongs to, or ''.
    """
    # Instances expect the name of the service in the field where clients
    # send the name of a database.
    caller = customer or _OWN_NAME
    fields = ('START', instance.service, caller, instance.name)
    return words.encode([' '.join(fields)])


def decode_start(fields: list[str]) -> tuple[str, str, str]:
    """Return the service, customer and instance in a START line's fields."""
    _word, service, caller, name = fields
    return service, '' if caller == _OWN_NAME else caller, name


def encode_command(command: commands.Command) -> bytes:
    """Return the QUERY lines of a command to an instance."""
    return words.encode(
        [_query_line(step) for step in commands.steps_of(command)]
    )


def _query_line(command: commands.Command) -> str:
    request_id = words.NONE
    if isinstance(command, commands.Run):
        request_id = command.statement.request_id
    text = _ENCODERS[type(command)](command)
    return f'QUERY {request_id} {text}'


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
