"""Results of an experiment as records, a table and a plot."""

import typing

import msgspec

from jacinthhaven.lab import experiment, outcomes, player

_PERCENT = 100
_MEDIAN = 0.5
_TAIL = 0.99
_COLUMNS = (
    'variant',
    'kind',
    'requests',
    'in time %',
    'spread',
    'late %',
    'refused %',
    'in doubt %',
    'failed %',
    'worst second %',
    'p50 ms',
    'p99 ms',
    'refused after p50 ms',
)


class Result(msgspec.Struct, frozen=True):
    """Outcome of one kind in one play, as written to a file.

    Attributes:
      variant: Name of the variant.
      seed: Seed of the play.
      kind: Name of the kind of requests.
      requests: How many there were.
      shares: Part of the requests by outcome.
      worst_second: Smallest part in time among the seconds.
      p50_ms: Median time until success.
      p99_ms: 99th percentile of it.
      refused_p50_ms: Median time until a final refusal.
      by_second: Part in time for each second of arrival.
    """

    variant: str
    seed: int
    kind: str
    requests: int
    shares: dict[str, float]
    worst_second: float
    p50_ms: float
    p99_ms: float
    refused_p50_ms: float
    by_second: dict[int, float]


def results_of(variant: str, seed: int, played: player.Player) -> list[Result]:
    """Return the results of one play."""
    return [
        _result(variant, seed, kind, tally)
        for kind, tally in played.tallies.items()
    ]


def encode(result: Result) -> str:
    """Return a result as one line of JSON."""
    return msgspec.json.encode(result).decode()


def decode(line: str) -> Result:
    """Return the result in a line.

    Raises:
      msgspec.DecodeError: If it holds something else.
    """
    return msgspec.json.decode(line, type=Result)


def table(
    described: experiment.Experiment,
    found: typing.Sequence[Result],
) -> str:
    """Return a Markdown table with one row for each variant and kind.

    Shares are means over the seeds; the spread is the difference between the
    best and the worst seed, below which a difference means nothing.
    """
    rows = [_line(_COLUMNS), _line(['---' for _column in _COLUMNS])]
    for kind in described.load:
        for variant in described.variants:
            own = [
                result
                for result in found
                if result.variant == variant and result.kind == kind
            ]
            if own:
                rows.append(_row(variant, kind, own))
    return '\n'.join(rows)


def _result(
    variant: str,
    seed: int,
    kind: str,
    tally: outcomes.Tally,
) -> Result:
    in_time = outcomes.Outcome.IN_TIME
    return Result(
        variant,
        seed,
        kind,
        tally.total,
        {known.value: tally.share(known) for known in outcomes.Outcome},
        tally.worst_second(),
        outcomes.quantile_ms(tally.latency, _MEDIAN),
        outcomes.quantile_ms(tally.latency, _TAIL),
        outcomes.quantile_ms(tally.refusal, _MEDIAN),
        {
            second: counts[in_time] / sum(counts.values())
            for second, counts in sorted(tally.by_second.items())
        },
    )


def _row(variant: str, kind: str, own: list[Result]) -> str:
    in_time = [result.shares[outcomes.Outcome.IN_TIME.value] for result in own]
    spread = max(in_time) - min(in_time)
    shares = [
        _percent(_mean([result.shares[known.value] for result in own]))
        for known in outcomes.Outcome
    ]
    fields = [
        variant,
        kind,
        str(sum(result.requests for result in own)),
        shares[0],
        _percent(spread),
        *shares[1:],
        _percent(_mean([result.worst_second for result in own])),
        _whole([result.p50_ms for result in own]),
        _whole([result.p99_ms for result in own]),
        _whole([result.refused_p50_ms for result in own]),
    ]
    return _line(fields)


def _line(fields: typing.Iterable[str]) -> str:
    joined = ' | '.join(fields)
    return f'| {joined} |'


def _mean(numbers: list[float]) -> float:
    return sum(numbers) / len(numbers)


def _percent(share: float) -> str:
    percent = share * _PERCENT
    return f'{percent:.1f}'


def _whole(numbers: list[float]) -> str:
    mean = _mean(numbers)
    return f'{mean:.0f}'
