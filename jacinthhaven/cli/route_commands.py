"""Command that checks an operator's configuration before it is sent."""

import importlib
import typing

import typer

from jacinthhaven.cli import connection, exits, output

CheckedFile = typing.Annotated[
    str,
    typer.Argument(metavar='FILE', help='Configuration in JSON.'),
]
InForceOption = typing.Annotated[
    str | None,
    typer.Option(
        '--in-force',
        metavar='FILE',
        help='Configuration in force; differences to it are printed.',
    ),
]
ReplicasOption = typing.Annotated[
    int,
    typer.Option('--replicas', min=0, help='Replicas of each service.'),
]
OwnersOption = typing.Annotated[
    int,
    typer.Option(
        '--owners',
        min=1,
        help='Nodes that open connections to one service: two in each zone, '
        'or all if there are up to 9.',
    ),
]


def check_routes(
    name: CheckedFile,
    in_force: InForceOption = None,
    replicas: ReplicasOption = 2,
    owners: OwnersOption = 6,
    json: connection.JsonOption = False,
) -> None:
    """Check the configuration of SQL session proxies before it is sent.

    Prints errors, entries without effect, limits that contradict each other, and
    differences to the version in force. Exit code 1 means that there are
    errors; warnings and differences alone give 0. Keys are never printed.
    """
    checks = importlib.import_module('jacinthhaven.cli.route_checks')
    try:
        found = checks.check(
            name, in_force, checks.rules.Deployment(replicas, owners)
        )
    except exits.CommandError as error:
        output.fail(error, json)
    if json:
        typer.echo(output.as_json({'findings': found}))
    else:
        for finding in found:
            typer.echo(_as_line(finding))
    refused = checks.has_errors(found)
    raise typer.Exit(
        int(exits.ExitCode.REFUSED if refused else exits.ExitCode.OK)
    )


def _as_line(finding: dict[str, typing.Any]) -> str:
    message = f'{finding["level"]}: {finding["message"]}'
    return output.error_line({**finding, 'message': message})
