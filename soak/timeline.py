"""Timeline of one run: faults above, answers of the clients below."""

import collections
import pathlib
import time
import typing

import matplotlib as mpl

_SIZE_INCHES = (11, 6)
_DPI = 90
_STEP_S = 0.25
# Faults without a duration are drawn this wide.
_SHORTEST_S = 0.06
_SERVED = 'served'
_REFUSED = 'refused'
_UNKNOWN = 'unknown'
_COLORS = ((_SERVED, 'tab:green'), (_REFUSED, 'tab:orange'), (_UNKNOWN, 'red'))


class Span(typing.NamedTuple):
    """Fault from its begin to its end, on the monotonic clock."""

    name: str
    begin_s: float
    end_s: float


class Recorder:
    """Spans of faults, in the order of their begin."""

    def __init__(self) -> None:
        """Start without spans."""
        self.spans: list[Span] = []

    def record(self, name: str, inject: typing.Callable[[], None]) -> None:
        """Inject a fault and keep its span."""
        begin_s = time.monotonic()
        inject()
        self.spans.append(Span(name, begin_s, time.monotonic()))


def kind_of(code: str, promises: typing.Container[str]) -> str:
    """Return how a kind of answer counts on the timeline.

    Args:
      code: Code as the clients count it.
      promises: Codes that say that nothing is kept.
    """
    if code in {'done', 'read'}:
        return _SERVED
    return _REFUSED if code in promises else _UNKNOWN


def draw(
    name: pathlib.Path,
    spans: list[Span],
    marks: list[tuple[float, str]],
) -> None:
    """Draw a timeline into a PNG file.

    Args:
      name: File to write.
      spans: All faults.
      marks: Time and kind of each answer.
    """
    mpl.use('Agg')
    # Imported after the choice of the file backend.
    from matplotlib import figure  # noqa: PLC0415, WPS433

    plot = figure.Figure(figsize=_SIZE_INCHES, dpi=_DPI)
    above, below = plot.subplots(2, sharex=True)
    start_s = min(when for when, _kind in marks)
    _draw_faults(above, start_s, spans)
    _draw_answers(below, start_s, marks)
    plot.tight_layout()
    plot.savefig(name)


def _draw_faults(
    axes: typing.Any,
    start_s: float,
    spans: list[Span],
) -> None:
    for row, span in enumerate(spans):
        left_s = span.begin_s - start_s
        width_s = max(span.end_s - span.begin_s, _SHORTEST_S)
        axes.barh(row, width_s, left=left_s)
        axes.text(left_s, row, f' {span.name}', va='center', fontsize=7)
    axes.invert_yaxis()
    axes.set_yticks([])
    axes.set_title('faults')


def _draw_answers(
    axes: typing.Any,
    start_s: float,
    marks: list[tuple[float, str]],
) -> None:
    counts: collections.Counter[tuple[str, int]] = collections.Counter(
        (kind, int((when - start_s) / _STEP_S)) for when, kind in marks
    )
    steps = range(max(step for _kind, step in counts) + 1)
    bottom = [0 for _step in steps]
    for kind, color in _COLORS:
        heights = [counts[kind, step] for step in steps]
        axes.bar(
            [step * _STEP_S for step in steps],
            heights,
            _STEP_S,
            bottom,
            align='edge',
            color=color,
            label=kind,
        )
        bottom = [sum(pair) for pair in zip(bottom, heights, strict=True)]
    axes.set_xlabel('seconds')
    axes.set_ylabel(f'answers in {_STEP_S} s')
    axes.legend(loc='upper right', fontsize=8)
