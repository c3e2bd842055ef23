"""Plots of the measured series, one small PNG file for each."""

import types

import matplotlib as mpl

from bench import results

IMAGES = results.ROOT / 'docs' / 'img'
_SIZE_INCHES = (4.2, 2.8)
_DPI = 80
# Axis labels of the series whose names do not say them.
_AXES = types.MappingProxyType(
    {
        'control_plane': ('nodes', ''),
        'control_memory': ('nodes', 'KB'),
        'idle by members': ('members', '% of a core'),
        'idle by groups': ('groups', '% of a core'),
        'memory by members': ('members', 'KB'),
        'memory by groups': ('groups', 'KB'),
        'idle': ('connections', 'KB'),
        'rate by processes': ('processes', 'statements/s'),
        'status bytes by owned groups': ('owned groups', 'B/s'),
        'promotion by databases': ('databases', 'ms'),
        'promotion processor time': ('databases', 'ms'),
    },
)


def draw(measured: list[results.Result]) -> None:
    """Draw every series to `docs/img`."""
    mpl.use('Agg')
    IMAGES.mkdir(parents=True, exist_ok=True)
    for result in measured:
        for name, points in result.series.items():
            _draw_one(result.name, name, points)


def _draw_one(measurement: str, name: str, points: results.Points) -> None:
    # Imported after the choice of the file backend.
    from matplotlib import figure  # noqa: PLC0415, WPS433

    plot = figure.Figure(figsize=_SIZE_INCHES, dpi=_DPI)
    axes = plot.subplots()
    axes.plot(*zip(*points, strict=True), marker='o')
    axis = _AXES.get(name) or _AXES.get(measurement, ('', ''))
    axes.set_xlabel(axis[0])
    axes.set_ylabel(axis[1])
    axes.set_ylim(bottom=0)
    axes.set_title(name, fontsize=9)
    plot.tight_layout()
    plot.savefig(IMAGES / f'{measurement}-{_slug(name)}.png')


def _slug(name: str) -> str:
    letters = [letter if letter.isalnum() else '-' for letter in name.lower()]
    return '-'.join(''.join(letters).replace('-', ' ').split())
