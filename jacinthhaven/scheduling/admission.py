"""Admission of new statements to the queue of all owners.

A statement that is expected to get a slot soon is admitted in time. Others
are deferred: they get the slots that those in time leave free. A deferred
statement that is not expected to be answered before its timeout is refused.
"""

import collections
import math
import typing

from jacinthhaven.scheduling import queue_order

# Maximum expected wait of a statement that is admitted in time, as a fraction
# of the shortest target among the routes of its priority. A longer queue would
# not serve more statements in time but make all of them wait longer.
_ADMISSION_SHARE = 0.3
# Statements are deferred only where the timeout is at least this multiple of
# the target. Elsewhere, what has to wait too long has no time left.
_DEFERRAL_RATIO = 2
# Expected rest of an overload, as a multiple of the time that it has lasted. With
# 1.5, refusals at three times the load came too late for their clients to repeat
# the request; in proportion to the excess of the load, which includes repetitions,
# lookups were refused that could be served in time after a burst.
_OVERLOAD_FACTOR = 2
# Longest queue of deferred statements, in the time that all slots need for it, as
# a fraction of the shortest target of their priority. With a longer one they would
# become late, and each report of an owner has all its waiting statements.
_DEFERRED_SHARE = 0.5
# Time constant of the measured load. It is short against timeouts, so that the
# end of a burst is noticed while its last statements can still be served.
_LOAD_MS = 250

Limits = typing.Mapping[int, int]
Added = typing.Container[tuple[str, int]]
Capacity = typing.Callable[[queue_order.Entry], int]


class InTimeLoad:
    """Slots that the statements arriving now need, as a moving average.

    It counts those that are refused, too: they show that statements in time will
    take all slots, so that none is left for deferred ones.

    Attributes:
      slots: Slots that were needed at `at_ms`.
      at_ms: Time of the last statement.
      exceeds_ms: Time since which they are more than there are, or None.
    """

    __slots__ = ('slots', 'at_ms', 'exceeds_ms')

    def __init__(self) -> None:
        """Start without load."""
        self.slots: float = 0
        self.at_ms = 0
        self.exceeds_ms: int | None = None

    def add(self, service_ms: float, now_ms: int) -> None:
        """Add a new statement that may be served in time."""
        self.slots = self.slots_at(now_ms) + service_ms / _LOAD_MS
        self.at_ms = now_ms

    def expected_ms(self, slots: int, now_ms: int) -> float:
        """Return how long more than the given slots are expected to be needed.

        Until then, statements in time take all slots.
        """
        if self.slots_at(now_ms) < slots:
            self.exceeds_ms = None
            return 0
        if self.exceeds_ms is None:
            self.exceeds_ms = now_ms
        return (now_ms - self.exceeds_ms) * _OVERLOAD_FACTOR

    def slots_at(self, now_ms: int) -> float:
        """Return the slots that are needed at a time."""
        return self.slots * math.exp((self.at_ms - now_ms) / _LOAD_MS)


class Decision(typing.NamedTuple):
    """What becomes of a statement that is not admitted in time.

    Attributes:
      entry: The statement.
      wait_ms: Its expected wait.
      refused: Whether it is refused; otherwise it is deferred.
    """

    entry: queue_order.Entry
    wait_ms: float
    refused: bool


class Ahead:
    """Work that is ahead of a statement while the queue is walked.

    Attributes:
      added: Owners and numbers of the new statements.
      capacity: Returns the number of slots that a statement can wait for.
      work_ms: Work so far, by whether it needs the primary.
      in_time_ms: The part of it that was admitted in time.
    """

    __slots__ = ('added', 'capacity', 'work_ms', 'in_time_ms')

    def __init__(self, added: Added, capacity: Capacity) -> None:
        """Start at the head of the queue."""
        self.added = added
        self.capacity = capacity
        self.work_ms: collections.Counter[bool] = collections.Counter()
        self.in_time_ms: dict[bool, int] = {}

    def is_new(self, entry: queue_order.Entry) -> bool:
        """Return whether a statement is decided on now."""
        return (entry.owner, entry.number) in self.added

    def wait_ms(self, entry: queue_order.Entry) -> float:
        """Return the wait of a statement if nothing overtakes it."""
        return self.work_ms[entry.needs_primary] / self.capacity(entry)

    def deferred_wait_ms(self, entry: queue_order.Entry) -> float:
        """Return the part of the wait that is due to deferred statements."""
        pool = entry.needs_primary
        work_ms = self.work_ms[pool] - self.in_time_ms.get(pool, 0)
        return work_ms / self.capacity(entry)

    def add(self, entry: queue_order.Entry) -> None:
        """Add a statement to the work ahead of the next ones."""
        self.work_ms[entry.needs_primary] += entry.waiting.service_ms


class Admission:
    """Decides on new statements by the expected waits.

    Attributes:
      load: Load of new statements, by whether they need the primary.
      limits_ms: Shortest target of the routes of each priority.
    """

    def __init__(self) -> None:
        """Start without load and limits."""
        self.load = {True: InTimeLoad(), False: InTimeLoad()}
        self.limits_ms: Limits = {}

    def decide(
        self,
        queue: list[queue_order.Entry],
        added: Added,
        capacity: Capacity,
        now_ms: int,
    ) -> list[Decision]:
        """Return which statements are deferred or refused.

        New statements are deferred if they are expected to be answered before
        their timeout, and refused once they are not any more.

        Args:
          queue: All waiting statements in their order.
          added: Owners and numbers of the new ones.
          capacity: Returns the number of slots that a statement can wait for.
          now_ms: Current time.
        """
        ahead = Ahead(added, capacity)
        behind = []
        decisions = []
        for entry in queue:
            if entry.standing is not queue_order.Standing.IN_TIME:
                behind.append(entry)
                continue
            wait_ms = ahead.wait_ms(entry)
            if self._is_in_time(entry, ahead, now_ms):
                ahead.add(entry)
            elif _is_deferrable(entry):
                behind.append(entry)
            else:
                decisions.append(Decision(entry, wait_ms, refused=True))
        return decisions + self._defer(behind, ahead, now_ms)

    def _defer(
        self, behind: list[queue_order.Entry], ahead: Ahead, now_ms: int
    ) -> list[Decision]:
        """Return the decisions on statements that wait behind others."""
        decisions = []
        ahead.in_time_ms = dict(ahead.work_ms)
        for entry in behind:
            load = self.load[entry.needs_primary]
            wait_ms = ahead.wait_ms(entry)
            over_ms = load.expected_ms(ahead.capacity(entry), now_ms)
            refused = wait_ms + over_ms > _longest_wait_ms(entry)
            if ahead.is_new(entry):
                limit_ms = self.limits_ms.get(entry.priority, math.inf)
                deferred_ms = ahead.deferred_wait_ms(entry)
                refused |= deferred_ms > limit_ms * _DEFERRED_SHARE
            if refused or ahead.is_new(entry):
                decisions.append(Decision(entry, wait_ms, refused))
            if not refused:
                ahead.add(entry)
        return decisions

    def _is_in_time(
        self, entry: queue_order.Entry, ahead: Ahead, now_ms: int
    ) -> bool:
        """Return whether a statement is admitted in time, or was before."""
        if not ahead.is_new(entry):
            return True
        load = self.load[entry.needs_primary]
        load.add(entry.waiting.service_ms, now_ms)
        limit_ms = self.limits_ms.get(entry.priority)
        if limit_ms is None:
            return True
        return ahead.wait_ms(entry) <= limit_ms * _ADMISSION_SHARE


def _longest_wait_ms(entry: queue_order.Entry) -> float:
    """Return how long a statement may wait to be answered in its timeout."""
    return entry.waiting.left_ms - entry.waiting.service_ms


def _is_deferrable(entry: queue_order.Entry) -> bool:
    """Return whether the timeout of a statement is several times its target.

    Owners that report no timeout run a build that refuses late statements.
    """
    waiting = entry.waiting
    timeout_ms = waiting.left_ms + waiting.waited_ms
    target_ms = waiting.in_time_ms + waiting.waited_ms
    return waiting.left_ms >= 0 and may_wait(target_ms, timeout_ms)


def may_wait(target_ms: int, timeout_ms: int) -> bool:
    """Return whether statements of a route may wait beyond their target."""
    return timeout_ms >= target_ms * _DEFERRAL_RATIO
