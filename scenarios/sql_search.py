"""Command `python -m scenarios.sql_search`: random faults under SQL traffic.

Prints the seeds whose faults break a promise to callers.
"""

import contextlib
import enum
import sys
import typing

import typer

from scenarios import sql_faults, sql_variants

Variant = enum.Enum('Variant', {name: name for name in sql_variants.VARIANTS})

app = typer.Typer(add_completion=False)


def failing_seeds(
    seeds: typing.Iterable[int], *, fenced: bool, variant: str = ''
) -> dict[int, list[str]]:
    """Return what was violated, by the seeds whose faults broke a promise.

    Args:
      seeds: Seeds of the faults and the traffic.
      fenced: Whether the platform checks fencing tokens.
      variant: Name of a broken variant to search with, or ''.
    """
    broken = contextlib.nullcontext
    if variant:
        broken = sql_variants.VARIANTS[variant]
    found = {}
    with broken():
        for seed in seeds:
            violations = sql_faults.TrafficSearch(seed, fenced=fenced).run()
            if violations:
                found[seed] = violations
    return found


@app.command()
def main(
    count: typing.Annotated[int, typer.Option(help='Number of seeds.')] = 100,
    seed: typing.Annotated[int, typer.Option(help='First seed.')] = 1,
    fenced: typing.Annotated[
        bool, typer.Option(help='The platform checks fencing tokens.')
    ] = True,
    variant: typing.Annotated[
        Variant | None, typer.Option(help='Broken variant to search with.')
    ] = None,
) -> None:
    """Play random faults and print the seeds that break a promise."""
    found = failing_seeds(
        range(seed, seed + count),
        fenced=fenced,
        variant='' if variant is None else variant.value,
    )
    for number, violations in found.items():
        for violation in violations:
            typer.echo(f'seed {number}: {violation}')
    typer.echo(f'{count} seeds from {seed}, {len(found)} with violations')
    sys.exit(bool(found))


if __name__ == '__main__':
    app()
