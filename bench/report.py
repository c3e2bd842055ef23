"""Statistics over the samples of a load."""

import collections
import dataclasses
import statistics
import typing

import msgspec

from bench import load_tool

_PERCENT = 100
_TAIL_PERCENT = 99
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class Summary:
    """Figures of one load.

    Attributes:
      requests: Answered requests.
      rate: Answered requests per second.
      median_ms: Median latency of all requests.
      p99_ms: 99th percentile of the latency.
      replica_share: Share of the reads that allow an age served by replicas.
      stale_reads: Reads that missed the caller's own confirmed write.
      gap_ms: Longest time without a confirmed write, by database.
    """

    requests: int
    rate: float
    median_ms: float
    p99_ms: float
    replica_share: float
    stale_reads: int
    gap_ms: dict[str, float]


def summarise(samples: list[load_tool.Sample]) -> Summary:
    """Return the figures of a list of samples; it must not be empty."""
    latencies = sorted(
        sample.ended_ms - sample.started_ms for sample in samples
    )
    span_ms = max(sample.ended_ms for sample in samples) - min(
        sample.started_ms for sample in samples
    )
    reads = [sample for sample in samples if sample.kind == 'read']
    by_replica = sum(sample.answer.role == 'replica' for sample in reads)
    return Summary(
        len(samples),
        len(samples) / span_ms * _MS_PER_S,
        statistics.median(latencies),
        _percentile(latencies, _TAIL_PERCENT),
        by_replica / len(reads) if reads else 0,
        sum(_is_stale(sample) for sample in reads),
        write_gaps(samples),
    )


def write_gaps(samples: typing.Iterable[load_tool.Sample]) -> dict[str, float]:
    """Return the longest time between two confirmed writes by database."""
    times: dict[str, list[float]] = collections.defaultdict(list)
    for sample in samples:
        if sample.kind == 'write':
            times[sample.database].append(sample.ended_ms)
    return {
        name: max(
            (
                later - earlier
                for earlier, later in zip(
                    sorted(ended),
                    sorted(ended)[1:],
                    strict=False,
                )
            ),
            default=0,
        )
        for name, ended in times.items()
    }


def _percentile(ordered: list[float], percent: int) -> float:
    return ordered[len(ordered) * percent // _PERCENT]


def _is_stale(sample: load_tool.Sample) -> bool:
    found = msgspec.json.decode(sample.answer.result)
    return (found or 0) < sample.expected
