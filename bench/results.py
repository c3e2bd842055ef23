"""Results of the measurements: rows, JSON files and the printed table."""

import datetime
import os
import pathlib
import subprocess
import typing

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUT = ROOT / 'bench' / 'out'
_DIGITS = 4


Points = list[tuple[float, float]]


class Row(msgspec.Struct):
    """One measured figure.

    Attributes:
      name: What was measured.
      figure: Measured value.
      unit: Unit of the values.
      baseline: Value of the baseline, or None if there is none.
      note: Conditions and what the baseline is.
    """

    name: str
    figure: float
    unit: str
    baseline: float | None = None
    note: str = ''


class Result(msgspec.Struct):
    """All figures of one measurement.

    Attributes:
      name: Name of the measurement.
      rows: Figures.
      series: Points for the plots, by name.
      commit: Commit that was measured.
      cores: Processor cores of the host.
      load: Load average of the host at the end.
      date: Time of the end.
      seconds: Duration.
    """

    name: str
    rows: list[Row] = msgspec.field(default_factory=list)
    series: dict[str, Points] = msgspec.field(default_factory=dict)
    commit: str = ''
    cores: int = 0
    load: float = 0
    date: str = ''
    seconds: float = 0

    def add(
        self,
        name: str,
        figure: float,
        unit: str,
        note: str = '',
        *,
        baseline: float | None = None,
    ) -> None:
        """Add a figure."""
        self.rows.append(Row(name, figure, unit, baseline, note))


def write(result: Result) -> None:
    """Write a result to `bench/out/<name>.json`."""
    result.commit = commit()
    result.cores = os.cpu_count() or 0
    result.load = round(os.getloadavg()[0], 1)
    now = datetime.datetime.now(datetime.UTC)
    result.date = now.isoformat(timespec='seconds')
    OUT.mkdir(exist_ok=True)
    document = msgspec.json.format(msgspec.json.encode(result))
    (OUT / f'{result.name}.json').write_bytes(document)


def read() -> list[Result]:
    """Return the results in `bench/out`, by name."""
    return [
        msgspec.json.decode(path.read_bytes(), type=Result)
        for path in sorted(OUT.glob('*.json'))
    ]


def commit() -> str:
    """Return the short id of the commit, with `+` for changed code."""
    found = _git('rev-parse', '--short', 'HEAD')
    changed = _git('status', '--porcelain', '--', '*.py')
    return f'{found}+' if changed else found


def table(measured: typing.Iterable[Result]) -> str:
    """Return the figures as a table in Markdown."""
    lines = [
        '| measurement | figure | unit | baseline | conditions |',
        '| --- | ---: | --- | ---: | --- |',
    ]
    for result in measured:
        for row in result.rows:
            baseline = '' if row.baseline is None else shown(row.baseline)
            cells = [
                f'{result.name}: {row.name}',
                shown(row.figure),
                row.unit,
                baseline,
                row.note,
            ]
            lines.append(' | '.join(['', *cells, '']).strip())
    return '\n'.join(lines)


def shown(number: float) -> str:
    """Return a number with about three significant digits."""
    if abs(number) >= 100:
        return f'{number:,.0f}'
    return f'{number:.3g}'


def _git(*arguments: str) -> str:
    found = subprocess.run(
        ['git', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()
