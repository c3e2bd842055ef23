"""What callers got: served in time, late, refused, failed or in doubt."""

import collections
import enum
import typing

import ddsketch

# Relative error of the latency quantiles.
_ACCURACY = 0.01
_MS_PER_S = 1000


class Outcome(enum.Enum):
    """What one request of a client came to."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    IN_DOUBT = 'in doubt'
    FAILED = 'failed'


class Tally:
    """Outcomes of one kind of requests.

    Attributes:
      counts: Requests by outcome.
      by_second: Requests by second of arrival and outcome.
      latency: Milliseconds until success.
      refusal: Milliseconds until a final refusal.
    """

    __slots__ = ('counts', 'by_second', 'latency', 'refusal')

    def __init__(self) -> None:
        """Start without requests."""
        self.counts: collections.Counter[Outcome] = collections.Counter()
        self.by_second: dict[int, collections.Counter[Outcome]] = (
            collections.defaultdict(collections.Counter)
        )
        self.latency = ddsketch.DDSketch(_ACCURACY)
        self.refusal = ddsketch.DDSketch(_ACCURACY)

    def add(self, outcome: Outcome, arrived_ms: int, spent_ms: int) -> None:
        """Add one request."""
        self.counts[outcome] += 1
        self.by_second[arrived_ms // _MS_PER_S][outcome] += 1
        if outcome in {Outcome.IN_TIME, Outcome.LATE}:
            self.latency.add(spent_ms)
        elif outcome is Outcome.REFUSED:
            self.refusal.add(spent_ms)

    @property
    def total(self) -> int:
        """Return how many requests there were."""
        return sum(self.counts.values())

    def share(self, outcome: Outcome) -> float:
        """Return the part of the requests with an outcome."""
        return self.counts[outcome] / self.total if self.total else 0

    def worst_second(self) -> float:
        """Return the smallest part in time among the seconds of arrival."""
        shares = [
            counts[Outcome.IN_TIME] / sum(counts.values())
            for counts in self.by_second.values()
        ]
        return min(shares, default=0)


Tallies = typing.Mapping[str, Tally]


def quantile_ms(sketch: typing.Any, share: float) -> float:
    """Return a quantile in milliseconds; 0 without samples."""
    found = sketch.get_quantile_value(share)
    return float(found or 0)
