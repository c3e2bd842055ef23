"""Commands that play experiments: check, run, compare and report."""

import importlib
import itertools
import pathlib
import typing

import msgspec
import typer

from jacinthhaven.cli import exits, output

lab_app = typer.Typer(
    help='Play a load and faults against the decisions of a proxy.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

ExperimentFile = typing.Annotated[
    str,
    typer.Argument(help='Description of the experiment, a YAML file.'),
]
ResultsOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option('--out', help='Append each result as a line of JSON.'),
]
PlotOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option('--plot', help='Draw the part in time by second as PNG.'),
]


@lab_app.command()
def check(name: ExperimentFile) -> None:
    """Print every error of an experiment with its line."""
    _load(name)


@lab_app.command()
def run(
    name: ExperimentFile,
    variant: typing.Annotated[
        str,
        typer.Option(help='Name of the variant to play.'),
    ],
    out: ResultsOption = None,
) -> None:
    """Play one variant with all seeds and print a table."""
    described = _load(name)
    if variant not in described.variants:
        known = ', '.join(described.variants)
        typer.echo(f'{name}: no variant {variant}; it has {known}', err=True)
        raise typer.Exit(int(exits.ExitCode.UNREADABLE))
    _play(described, (variant,), out)


@lab_app.command()
def compare(
    name: ExperimentFile,
    out: ResultsOption = None,
    plot: PlotOption = None,
) -> None:
    """Play all variants in turn with each seed and print a table."""
    described = _load(name)
    found = _play(described, tuple(described.variants), out)
    if plot is not None:
        plots = importlib.import_module('jacinthhaven.lab.plots')
        plots.draw(plot, described, found)


@lab_app.command()
def report(
    name: ExperimentFile,
    written: typing.Annotated[
        pathlib.Path,
        typer.Argument(help='Results that --out has written.'),
    ],
    plot: PlotOption = None,
) -> None:
    """Print the table of results that were written before."""
    described = _load(name)
    reports = importlib.import_module('jacinthhaven.lab.report')
    try:
        lines = written.read_text().splitlines()
        found = [reports.decode(line) for line in lines]
    except (OSError, msgspec.DecodeError) as error:
        typer.echo(f'{written}: {error}', err=True)
        raise typer.Exit(int(exits.ExitCode.UNREADABLE)) from error
    typer.echo(reports.table(described, found))
    if plot is not None:
        plots = importlib.import_module('jacinthhaven.lab.plots')
        plots.draw(plot, described, found)


def _load(name: str) -> typing.Any:
    """Return the experiment in a file, or end with all its errors."""
    files = importlib.import_module('jacinthhaven.lab.experiment_file')
    text_file = importlib.import_module('jacinthhaven.adapters.text_file')
    try:
        loaded = files.load(name)
    except text_file.UnreadableFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(int(exits.ExitCode.UNREADABLE)) from error
    if not isinstance(loaded, list):
        return loaded
    checks = importlib.import_module('jacinthhaven.cli.checks')
    for found in loaded:
        document = checks.error_document(name, found)
        typer.echo(output.error_line(document), err=True)
    raise typer.Exit(int(exits.ExitCode.UNREADABLE))


def _play(
    described: typing.Any,
    variants: tuple[str, ...],
    out: pathlib.Path | None,
) -> list[typing.Any]:
    """Play variants in turn and print the table of their results.

    Each result is written when its play is over, so that an interrupted
    command leaves those before it.
    """
    player = importlib.import_module('jacinthhaven.lab.player')
    reports = importlib.import_module('jacinthhaven.lab.report')
    found: list[typing.Any] = []
    plays = list(itertools.product(described.seeds, variants))
    for done, (seed, variant) in enumerate(plays, start=1):
        played = player.play(described, variant, seed)
        own = reports.results_of(variant, seed, played)
        found.extend(own)
        if out is not None:
            _append(out, [reports.encode(result) for result in own])
        _show_progress(f'{done}/{len(plays)} {variant} seed {seed}')
    typer.echo(reports.table(described, found))
    return found


def _show_progress(text: str) -> None:
    typer.echo(text, err=True)


def _append(out: pathlib.Path, lines: list[str]) -> None:
    with out.open('a') as target:
        target.writelines(f'{line}\n' for line in lines)
