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


class SlotTime:
    """Time for which statements have occupied slots, in milliseconds.

    Attributes:
      in_time_ms: Requests that were served in time.
      late_ms: Requests that were served late.
      unserved_ms: Requests that were not served.
      repeated_ms: Further executions of the same statement.
    """

    __slots__ = ('in_time_ms', 'late_ms', 'unserved_ms', 'repeated_ms')

    def __init__(self) -> None:
        """Start without statements."""
        self.in_time_ms: float = 0
        self.late_ms: float = 0
        self.unserved_ms: float = 0
        self.repeated_ms: float = 0

    @property
    def total_ms(self) -> float:
        """Return the time of all statements."""
        served_ms = self.in_time_ms + self.late_ms
        return served_ms + self.unserved_ms + self.repeated_ms

    def add(self, outcome: Outcome, once_ms: float, in_slots_ms: float) -> None:
        """Add one statement.

        Args:
          outcome: Outcome of its request.
          once_ms: Time that one execution takes.
          in_slots_ms: Time for which it has occupied slots.
        """
        first_ms = min(once_ms, in_slots_ms)
        self.repeated_ms += in_slots_ms - first_ms
        match outcome:
            case Outcome.IN_TIME:
                self.in_time_ms += first_ms
            case Outcome.LATE:
                self.late_ms += first_ms
            case _:
                self.unserved_ms += first_ms


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
