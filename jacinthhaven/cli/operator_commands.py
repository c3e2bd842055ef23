"""Commands that talk to the operator endpoint of a proxy."""

import importlib
import typing
import uuid

import msgspec
import typer

from jacinthhaven.cli import connection, exits, operator_client, output

preset_app = typer.Typer(
    help='List, show and switch presets.',
    no_args_is_help=True,
)
config_app = typer.Typer(
    help='Show and replace the configuration document.',
    no_args_is_help=True,
)

PresetName = typing.Annotated[
    str,
    typer.Argument(metavar='NAME', help='Name of the preset.'),
]
ShownName = typing.Annotated[
    str,
    typer.Argument(
        metavar='NAME',
        help='Name of the preset; the one in force if omitted.',
        show_default=False,
    ),
]
ExpectOption = typing.Annotated[
    int,
    typer.Option(
        min=0,
        metavar='REVISION',
        help='Revision that the change is based on. If another change came '
        'first, this one is refused as a conflict.',
    ),
]
OptionalExpect = typing.Annotated[
    int | None,
    typer.Option(
        min=0,
        metavar='REVISION',
        help='Revision that the change is based on; read from the proxy '
        'just before the change if omitted.',
        show_default=False,
    ),
]
ConfigFile = typing.Annotated[
    str,
    typer.Argument(metavar='FILE', help='Document in YAML or JSON.'),
]


def status(target: connection.Connection) -> None:
    """Show the state of one proxy."""
    shown = target.client.read(operator_client.STATUS_PATH)
    output.show(shown, output.as_yaml(shown), target.json)


def drain(target: connection.Connection) -> None:
    """Start the planned stop of one proxy.

    The proxy finishes requests in flight for up to drain_ms, releases its
    connection slots and exits.
    """
    answer = target.client.drain()
    output.show(answer, 'The proxy is draining.', target.json)


@preset_app.command('list')
@connection.connected
def preset_list(target: connection.Connection) -> None:
    """List the presets and the revision; `*` marks the one in force."""
    shown = target.client.read(operator_client.PRESETS_PATH)
    lines = [f'revision {shown.get("revision")}']
    for name in sorted(shown.get('presets', ())):
        mark = '*' if name == shown.get('in_force') else ' '
        lines.append(f'{mark} {name}')
    output.show(shown, '\n'.join(lines), target.json)


@preset_app.command('show')
@connection.connected
def preset_show(target: connection.Connection, name: ShownName = '') -> None:
    """Show the parameters of one preset."""
    shown = target.client.read(operator_client.PRESETS_PATH)
    name = name or shown.get('in_force', '')
    found = shown.get('presets', {}).get(name)
    if found is None:
        raise exits.RefusedError(
            f'there is no preset {name!r}',
            {'error': 'unknown_preset', 'revision': shown.get('revision')},
        )
    document = {name: found}
    output.show(document, output.as_yaml(document), target.json)


@preset_app.command('switch')
@connection.connected
def preset_switch(
    target: connection.Connection,
    name: PresetName,
    expect: OptionalExpect = None,
) -> None:
    """Put a preset in force on all nodes.

    The answer arrives after all live members have confirmed the switch and
    unreachable ones no longer serve under the old preset, which takes about
    six seconds if a member is unreachable.
    """
    if expect is None:
        shown = target.client.read(operator_client.PRESETS_PATH)
        expect = shown.get('revision', 0)
    answer = target.client.change(
        operator_client.PRESET_PATH,
        {'name': name, 'expect': expect, 'change_id': _change_id()},
    )
    output.show(answer, _accepted(f'Preset {name}', answer), target.json)


@config_app.command('show')
@connection.connected
def config_show(target: connection.Connection) -> None:
    """Print the configuration document in the form that `apply` reads."""
    shown = target.client.read(operator_client.PRESETS_PATH)
    document = {'presets': shown.get('presets', {})}
    text = (
        f'# revision {shown.get("revision")}, '
        f'preset {shown.get("in_force")} in force\n'
        f'{output.as_yaml(document)}'
    )
    output.show(shown, text, target.json)


@config_app.command('apply')
@connection.connected
def config_apply(
    target: connection.Connection,
    document_file: ConfigFile,
    expect: ExpectOption,
) -> None:
    """Replace the configuration document with all its presets.

    The document is checked before it is sent. The revision to expect is
    printed by `preset list` and `config show`.
    """
    checks = importlib.import_module('jacinthhaven.cli.checks')
    document = msgspec.to_builtins(checks.load_configuration(document_file))
    document.pop('change_id')
    answer = target.client.change(
        operator_client.CONFIG_PATH,
        {'document': document, 'expect': expect, 'change_id': _change_id()},
    )
    output.show(answer, _accepted('Configuration', answer), target.json)


def _change_id() -> str:
    return uuid.uuid4().hex


def _accepted(what: str, answer: dict[str, typing.Any]) -> str:
    text = f'{what} accepted as revision {answer.get("revision")}.'
    if answer.get('read_back'):
        return f'{text} The answer was lost; the change was read back.'
    if answer.get('in_force'):
        return f'{text} In force on all nodes.'
    return f'{text} Not yet confirmed by all nodes.'
