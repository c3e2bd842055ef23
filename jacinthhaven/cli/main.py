"""Entry point of the command line.

Modules with a long import time are imported inside the commands that use
them, so that operator commands start fast.
"""

import importlib
import typing

import typer

from jacinthhaven import version
from jacinthhaven.cli import (
    connection,
    exits,
    lab_commands,
    operator_commands,
    output,
    route_commands,
)

_HELP = """
Database proxy with session consistency.

Operator commands talk to the operator endpoint of any proxy. The options
--address and --key-file can be given as the environment variables
JACINTHHAVEN_ADDRESS and JACINTHHAVEN_KEY_FILE.

\b
Exit codes:
  0  done
  1  refused: invalid input, conflict with another change, wrong key
  2  wrong usage, or a file that cannot be read
  3  proxy not reached; nothing was changed
  4  outcome of a change unknown
"""

# Tracebacks with local variables could show keys.
app = typer.Typer(
    help=_HELP,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.add_typer(operator_commands.preset_app, name='preset')
app.add_typer(operator_commands.config_app, name='config')
app.add_typer(lab_commands.lab_app, name='lab')
app.command()(connection.connected(operator_commands.status))
app.command()(connection.connected(operator_commands.drain))
app.command(name='check-routes')(route_commands.check_routes)


def _print_version(chosen: bool) -> None:
    if chosen:
        typer.echo(f'jacinthhaven {version.current()}')
        raise typer.Exit


VersionOption = typing.Annotated[
    bool,
    typer.Option(
        '--version',
        callback=_print_version,
        is_eager=True,
        help='Print the version and exit.',
    ),
]
SettingsOption = typing.Annotated[
    str,
    typer.Option(
        '--settings',
        metavar='FILE',
        help='Settings of this proxy in YAML.',
    ),
]
SqlSettingsOption = typing.Annotated[
    str,
    typer.Option(
        '--settings',
        metavar='FILE',
        envvar='JACINTHHAVEN_NODE_FILE',
        help='Settings of this SQL session proxy in YAML.',
    ),
]
CheckedFiles = typing.Annotated[
    list[str],
    typer.Argument(
        metavar='FILE',
        help='Settings files and configuration documents.',
    ),
]
SkipFilesOption = typing.Annotated[
    bool,
    typer.Option(
        '--skip-files',
        help='Do not check that the key, certificate and CA files named by '
        'the settings are readable on this machine.',
    ),
]


@app.callback()
def options(show_version: VersionOption = False) -> None:  # noqa: ARG001
    """Take the options that precede the command."""


@app.command()
def proxy(settings: SettingsOption) -> None:
    """Run a proxy until it is stopped by SIGTERM or drained."""
    checks = importlib.import_module('jacinthhaven.cli.checks')
    try:
        loaded = checks.load_settings(settings)
    except exits.CommandError as error:
        output.fail(error, json=False)
    application = importlib.import_module('jacinthhaven.process.application')
    raise typer.Exit(application.run(loaded) or 0)


@app.command(name='sql-proxy')
def sql_proxy(settings: SqlSettingsOption) -> None:
    """Run a SQL session proxy until it is stopped by SIGTERM.

    `python -m jacinthhaven.process` does the same and starts faster.
    """
    start = importlib.import_module('jacinthhaven.process.start')
    raise typer.Exit(start.run_sql_proxy(settings))


@app.command()
def check(
    files: CheckedFiles,
    skip_files: SkipFilesOption = False,
    json: connection.JsonOption = False,
) -> None:
    """Check files and print every error with its line.

    A file with the key `presets` is checked as a configuration document,
    any other file as the settings of a proxy.
    """
    checks = importlib.import_module('jacinthhaven.cli.checks')
    exit_code = exits.ExitCode.OK
    documents = []
    for name in files:
        try:
            errors = checks.check(name, not skip_files)
        except exits.UnusableInputError as error:
            exit_code = exits.ExitCode.UNREADABLE
            documents.append(
                {
                    'file': name,
                    'message': error.detail.removeprefix(f'{name}: '),
                }
            )
            continue
        if errors:
            exit_code = max(exit_code, exits.ExitCode.REFUSED)
        documents.extend(checks.error_document(name, error) for error in errors)
    _print_check(documents, json)
    raise typer.Exit(int(exit_code))


def _print_check(documents: list[dict], json: bool) -> None:
    if json:
        typer.echo(output.as_json({'errors': documents}))
        return
    for document in documents:
        typer.echo(output.error_line(document))
