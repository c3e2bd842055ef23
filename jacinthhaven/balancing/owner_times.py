"""Times in which the owners of services answer, as one relaying node sees them.

What the databases need is left out, since all owners use the same databases:
only the acceptance of a session and statements that an owner answers by itself
are measured. Both wait in the event loop of the owner, so they show its load.
"""

import random
import typing

from jacinthhaven.balancing import zone_outflow

# Weight of a sample that closely follows the previous one: of one above the average,
# and of one below it, since a short queue shows that a long one has ended.
_SAMPLE_WEIGHT = 0.15
_SHORTER_WEIGHT = 0.3
# Time within which new samples replace the old ones, however few they are.
_SMOOTHING_MS = 1000
# Time after which a measurement says nothing any more. A relaying node opens a
# few sessions a second, of which a twentieth may leave the zone.
_VALID_MS = 4000
# A second owner is preferred only if the first needs this many times as long, and
# the price of leaving the zone longer. Smaller differences are chance.
_CLEARLY_SLOWER = 2.0


class OwnerTime:
    """Moving average of the times of one owner.

    Attributes:
      average_ms: Average in milliseconds.
      sampled_ms: Time of the last sample.
    """

    __slots__ = ('average_ms', 'sampled_ms')

    def __init__(self, spent_ms: float, now_ms: int) -> None:
        """Start with the first sample."""
        self.average_ms = spent_ms
        self.sampled_ms = now_ms

    def sample(self, spent_ms: float, now_ms: int) -> None:
        """Add a sample; its weight grows with the time since the last one."""
        elapsed = min((now_ms - self.sampled_ms) / _SMOOTHING_MS, 1)
        shorter = spent_ms < self.average_ms
        weight = max(_SHORTER_WEIGHT if shorter else _SAMPLE_WEIGHT, elapsed)
        self.average_ms += weight * (spent_ms - self.average_ms)
        self.sampled_ms = now_ms

    def freshness(self, now_ms: int) -> float:
        """Return 1 for a measurement of the last second, 0 for an invalid one."""
        left_ms = self.sampled_ms + _VALID_MS - now_ms
        return min(left_ms / (_VALID_MS - _SMOOTHING_MS), 1)


class OwnerTimes:
    """Times of all owners that a node has used.

    Attributes:
      by_owner: Times by the name of the owner.
      rng: Source of the random choices, which differ between nodes.
    """

    __slots__ = ('by_owner', 'rng')

    def __init__(self, rng: random.Random) -> None:
        """Start without measurements."""
        self.by_owner: dict[str, OwnerTime] = {}
        self.rng = rng

    def sample(self, owner: str, spent_ms: float, now_ms: int) -> None:
        """Add the time in which an owner has answered."""
        known = self.by_owner.get(owner)
        if known is None:
            self.by_owner[owner] = OwnerTime(spent_ms, now_ms)
        else:
            known.sample(spent_ms, now_ms)

    def expected_ms(self, owner: str, now_ms: int) -> float | None:
        """Return the time of an owner, or None if it is not known."""
        known = self.by_owner.get(owner)
        if known is None or now_ms - known.sampled_ms >= _VALID_MS:
            return None
        return known.average_ms

    def zone_ms(
        self, owners: typing.Iterable[str], now_ms: int
    ) -> float | None:
        """Return the time of a zone, or None if no owner is measured.

        It is that of the fastest owner: work leaves a zone only when all its
        owners are slow, and one slow owner is avoided within the zone.
        """
        known = (self.expected_ms(owner, now_ms) for owner in owners)
        return min((time for time in known if time is not None), default=None)

    def faded_ms(
        self, owners: typing.Iterable[str], now_ms: int
    ) -> float | None:
        """Return the time of the own zone, which counts less when it is old.

        A node that sends most of its work away measures its own zone rarely. It
        must not go on for seconds because of one measurement.
        """
        known = [
            self.by_owner[name] for name in owners if name in self.by_owner
        ]
        return min(
            (
                owner.average_ms * owner.freshness(now_ms)
                for owner in known
                if now_ms - owner.sampled_ms < _VALID_MS
            ),
            default=None,
        )

    def keep(self, owners: typing.Container[str]) -> None:
        """Forget the owners that are not listed any more."""
        for name in tuple(self.by_owner):
            if name not in owners:
                self.by_owner.pop(name)

    def prefer(
        self, names: list[str], leaving_cost_ms: float, now_ms: int
    ) -> list[str]:
        """Return owners in the order in which a session tries them.

        The first one is compared with another one that is drawn at random and
        may be the first one itself. So an owner that looks slow to all nodes
        still gets some sessions, and one that looks idle never gets all.

        Args:
          names: Owners, in an order that differs from session to session.
          leaving_cost_ms: Difference that does not matter.
          now_ms: Current time.
        """
        if len(names) < 2:
            return names
        first_ms = self.expected_ms(names[0], now_ms)
        if first_ms is None or first_ms <= leaving_cost_ms:
            return names
        other = self.rng.choice(names)
        other_ms = self.expected_ms(other, now_ms)
        if other_ms is None:
            return names
        if first_ms <= other_ms * _CLEARLY_SLOWER + leaving_cost_ms:
            return names
        return [other, *(name for name in names if name != other)]


def zone_times(
    times: OwnerTimes,
    near: typing.Iterable[str],
    far: typing.Mapping[str, typing.Iterable[str]],
    now_ms: int,
) -> zone_outflow.Times:
    """Return the times of the zones.

    Args:
      times: Times of their owners.
      near: Owners in the own zone that can be reached.
      far: The same of the other zones, by the name of the zone.
      now_ms: Current time.
    """
    return zone_outflow.Times(
        times.faded_ms(near, now_ms),
        {zone: times.zone_ms(names, now_ms) for zone, names in far.items()},
    )
