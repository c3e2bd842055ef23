"""Plot of an experiment: what callers got in each second of arrival."""

import pathlib
import typing

import matplotlib as mpl
from matplotlib import axes as mpl_axes

from jacinthhaven.lab import experiment, report

_WIDTH_INCHES = 7
_HEIGHT_INCHES = 2.2
_DPI = 90
_PERCENT = 100
_MS_PER_S = 1000
_FAULT_ALPHA = 0.15


def draw(
    name: pathlib.Path,
    described: experiment.Experiment,
    found: typing.Sequence[report.Result],
) -> None:
    """Draw one plot for each kind, with faults and bursts marked."""
    mpl.use('Agg')
    # Imported after the choice of the file backend.
    from matplotlib import figure  # noqa: PLC0415, WPS433

    size = (_WIDTH_INCHES, _HEIGHT_INCHES * len(described.load))
    sheet = figure.Figure(figsize=size, dpi=_DPI)
    plots = sheet.subplots(len(described.load), squeeze=False)
    for row, kind in zip(plots, described.load, strict=True):
        _draw_kind(row[0], kind, described, found)
    sheet.tight_layout()
    sheet.savefig(name)


def _draw_kind(
    axes: mpl_axes.Axes,
    kind: str,
    described: experiment.Experiment,
    found: typing.Sequence[report.Result],
) -> None:
    for variant in described.variants:
        wanted = (variant, kind)
        own = [each for each in found if (each.variant, each.kind) == wanted]
        seconds = sorted({second for each in own for second in each.by_second})
        shares = [_mean_at(own, second) for second in seconds]
        axes.plot(seconds, shares, marker='.', label=variant)
    for fault in described.faults:
        _mark(axes, fault.at_ms, fault.for_ms, 'tab:red')
    for burst in described.bursts:
        _mark(axes, burst.at_ms, burst.for_ms, 'tab:orange')
    axes.set_title(kind, fontsize=9)
    axes.set_xlabel('second of arrival')
    axes.set_ylabel('in time %')
    axes.set_ylim(0, _PERCENT + 2)
    axes.legend(fontsize=7)


def _mean_at(own: list[report.Result], second: int) -> float:
    shares = [
        result.by_second[second] for result in own if second in result.by_second
    ]
    return _PERCENT * sum(shares) / len(shares)


def _mark(axes: mpl_axes.Axes, at_ms: int, for_ms: int, colour: str) -> None:
    axes.axvspan(
        at_ms / _MS_PER_S,
        (at_ms + for_ms) / _MS_PER_S,
        alpha=_FAULT_ALPHA,
        color=colour,
    )
