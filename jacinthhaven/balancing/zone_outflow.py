"""Share of the work of one zone that is sent to other zones.

Traffic between zones is slower and costs money, yet the servers of a zone are
sometimes too few. Leaving the zone has a price in milliseconds: work leaves
only while the own zone is slower than another one by more than the price.

Every node decides by itself. The share therefore moves in small steps, each of
which needs a measurement of the other zones, so that nodes with the same view do
not move all their work at once.
"""

import typing

from jacinthhaven.records import sql_settings

DEFAULT_LEAVING_COST_MS = sql_settings.DEFAULT_LEAVING_COST_MS
# Upper bound of the share. A zone with 2.6 times its load has an excess of 0.62;
# the rest always stays, so that the own zone is measured and never emptied.
MAX_SHARE = 0.65
# A share that would be smaller is zero.
_MIN_SHARE = 0.02
# Share while no other zone has been measured. It yields the first measurements.
_PROBE_SHARE = 0.05
# Shortest time between two steps, and the longest that counts. Nodes with few
# sessions take fewer and larger steps.
_STEP_MS = 250
_MAX_STEP_MS = 1000
# Largest change of the share in a second. The shortest bursts take 3 s. In the model
# of `balancing/builders`, 0.24 left 1 to 2% more statements late when callers moved.
_MAX_CHANGE_PER_S = 0.4
_MS_PER_S = 1000
# Advantage of leaving, relative to the times, above which a share starts and
# above which it grows; below the last one it shrinks, and in between it stands still.
# In times, 0.33, 0.2 and 0.1 are factors of 2, 1.5 and 1.2.
_START = 0.33
_GROW = 0.2
_SHRINK = 0.1
# Change of the share in a second for each unit of the advantage, how many times as
# fast it is taken back, and change for each unit of the change of the advantage.
# The last one damps: a queue that already shrinks needs no further step.
_GAIN_PER_S = 0.4
_RETURN_FACTOR = 2
_DAMPING = 0.3
# Weight with which the time of the own zone raises the time that counts as calm,
# for each step. A burst of 7 s raises it by a twentieth of the difference.
_CALM_WEIGHT = 0.002
# Times above this never count as calm, so that a node that starts while its zone is
# slow notices it.
_MAX_CALM_MS = 20.0
# Time without a new attempt after the other zones have proved to be no better.
_RETRY_MS = 3000


class Times(typing.NamedTuple):
    """Measured times of the zones, in milliseconds.

    Times include queueing and the way to the zone.

    Attributes:
      own_ms: Time of the own zone, or None if it was not measured.
      others_ms: Time of each other zone that has servers, by its name; None if
        it was not measured recently.
    """

    own_ms: float | None
    others_ms: typing.Mapping[str, float | None]


class ZoneOutflow:
    """Decision of one node how much of its work leaves the zone.

    Attributes:
      leaving_cost_ms: Price of leaving the zone.
      share: Share that is sent to other zones, from 0 to `MAX_SHARE`.
      targets: Zones that get it, sorted by name.
      calm_ms: Time of the own zone without load.
      advantage: Last relative advantage of leaving, from -1 to 1.
      stepped_ms: Time of the last step.
      next_ms: Time of the next step.
      credit: Part of a session that is due to leave.
    """

    __slots__ = (
        'leaving_cost_ms',
        'share',
        'targets',
        'calm_ms',
        'advantage',
        'stepped_ms',
        'next_ms',
        'credit',
    )

    def __init__(
        self, leaving_cost_ms: float = DEFAULT_LEAVING_COST_MS
    ) -> None:
        """Start with all work in the own zone."""
        self.leaving_cost_ms = leaving_cost_ms
        self.share = float(0)
        self.targets: tuple[str, ...] = ()
        self.calm_ms = _MAX_CALM_MS
        self.advantage = float(0)
        self.stepped_ms = 0
        self.next_ms = 0
        self.credit = float(0)

    def update(self, times: Times, now_ms: int) -> bool:
        """Move the share by at most one step; return whether it changed.

        Args:
          times: Measured times. Without a time of the own zone all work stays.
          now_ms: Current time. Calls before the next step is due are ignored.
        """
        if now_ms < self.next_ms:
            return False
        elapsed_ms = min(now_ms - self.stepped_ms, _MAX_STEP_MS)
        self.stepped_ms = now_ms
        self.next_ms = now_ms + _STEP_MS
        previous = self.share
        if times.own_ms is None:
            self._reset()
            return previous > 0
        self._update_calm(times.own_ms)
        if previous:
            self._move(times, elapsed_ms / _MS_PER_S)
        else:
            self._start(times)
        return self.share != previous

    def leaves(self) -> bool:
        """Return whether the next session is sent to another zone.

        The share is met exactly instead of at random, and the first session
        after a start leaves, so that few sessions give a measurement.
        """
        if not self.share:
            return False
        self.credit += self.share
        if self.credit < 1:
            return False
        self.credit -= 1
        return True

    def _start(self, times: Times) -> None:
        """Begin with a small share if the own zone has become slow.

        Other zones are not measured while nothing is sent there. They are
        expected to be as fast as the own zone without load. Two steps in a row
        must agree, since single events delay a node for a moment.
        """
        expected = _fastest(times.others_ms)
        if expected is None:
            expected = self.calm_ms
        advantage = self._advantage(times.own_ms, expected)
        twice = min(advantage, self.advantage) > _START
        self.advantage = advantage
        if twice and times.others_ms:
            self.share = _PROBE_SHARE
            self.credit = 1 - _PROBE_SHARE
            self.targets = tuple(sorted(times.others_ms))

    def _move(self, times: Times, elapsed_s: float) -> None:
        """Grow, keep or shrink a share."""
        better = self._better(times)
        others = [times.others_ms[zone] for zone in better]
        measured = [time_ms for time_ms in others if time_ms is not None]
        if measured:
            expected = sum(measured) / len(measured)
        else:
            expected = _fastest(times.others_ms) or self.calm_ms
        advantage = self._advantage(times.own_ms, expected)
        step = _step(advantage, advantage - self.advantage, elapsed_s)
        self.advantage = advantage
        if better:
            self.targets = better
        if step > 0 and not measured:
            # Nothing shows that more work would be served faster.
            return
        probing = self.share <= _PROBE_SHARE
        self.share = min(self.share + step, MAX_SHARE)
        if self.share < _MIN_SHARE:
            self._reset()
            if probing:
                self.next_ms = self.stepped_ms + _RETRY_MS

    def _reset(self) -> None:
        """Keep all work in the own zone."""
        self.share = float(0)
        self.advantage = float(0)

    def _better(self, times: Times) -> tuple[str, ...]:
        """Return the zones that are worth their price, or are not measured."""
        limit_ms = times.own_ms - self.leaving_cost_ms
        return tuple(
            sorted(
                zone
                for zone, time_ms in times.others_ms.items()
                if time_ms is None or time_ms < limit_ms
            )
        )

    def _advantage(self, own_ms: float, other_ms: float) -> float:
        """Return how much is gained by leaving, relative to the times."""
        left_ms = other_ms + self.leaving_cost_ms
        return (own_ms - left_ms) / max(own_ms + left_ms, 1)

    def _update_calm(self, own_ms: float) -> None:
        """Follow the lowest time of the own zone, upwards only slowly."""
        if own_ms < self.calm_ms:
            self.calm_ms = own_ms
        else:
            raised_ms = self.calm_ms + _CALM_WEIGHT * (own_ms - self.calm_ms)
            self.calm_ms = min(raised_ms, _MAX_CALM_MS)


def cost_ms(
    expected_ms: float, leaving_cost_ms: float, *, is_own_zone: bool
) -> float:
    """Return what a server costs that is expected to answer in a time.

    Args:
      expected_ms: Expected time of the answer, queueing included.
      leaving_cost_ms: Price of leaving the zone.
      is_own_zone: Whether the server is in the own zone.
    """
    return expected_ms if is_own_zone else expected_ms + leaving_cost_ms


def _step(advantage: float, trend: float, elapsed_s: float) -> float:
    """Return the change of the share for an advantage and its change.

    The damping never turns a step round, so that a share only grows above `_GROW`
    and only shrinks below `_SHRINK`.
    """
    if _SHRINK <= advantage <= _GROW:
        return float(0)
    limit = _MAX_CHANGE_PER_S * elapsed_s
    damping = _DAMPING * trend
    gain = _GAIN_PER_S * elapsed_s * (advantage - _SHRINK)
    if advantage > _GROW:
        return min(max(gain + damping, 0), limit)
    return max(min(gain * _RETURN_FACTOR + damping, 0), -limit)


def _fastest(others_ms: typing.Mapping[str, float | None]) -> float | None:
    """Return the lowest measured time, or None if there is none."""
    measured = [
        time_ms for time_ms in others_ms.values() if time_ms is not None
    ]
    return min(measured, default=None)
