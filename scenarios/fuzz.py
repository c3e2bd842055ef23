"""Command `python -m scenarios.fuzz`: long runs of generated fault orders."""

import sys
import typing

import typer

from scenarios import checker, generator, simulation

app = typer.Typer(add_completion=False)


@app.command()
def main(
    count: typing.Annotated[int, typer.Option(help='Fault orders.')] = 100,
    seed: typing.Annotated[int, typer.Option(help='First seed.')] = 1,
) -> None:
    """Run generated fault orders and print the seeds that fail."""
    failed = 0
    gap_ms = 0
    for number in range(seed, seed + count):
        report = simulation.run(generator.scenario(number))
        gap_ms = max(gap_ms, report.gap_ms)
        failed += bool(report.violations)
        for line in checker.describe(report.violations):
            typer.echo(f'seed {number}: {line}')
    typer.echo(
        f'{count} histories from seed {seed}, {failed} with violations, '
        f'longest gap {gap_ms} ms',
    )
    sys.exit(failed > 0)


if __name__ == '__main__':
    app()
