"""Priority queue of statements that wait for a link or a permit.

It matters when more statements arrive than the slots of the instances can
execute in time. Statements of the same priority are ordered by the shares of
their customers (`shares`) and keep the order of their arrival otherwise, so
that all routes of a priority wait equally long. A statement that has become
late waits behind those that are still in time, since a late answer is worth
less; it is refused when it cannot be answered before its timeout.
"""

import bisect
import typing

from jacinthhaven.scheduling import shares
from jacinthhaven.sql import sessions

# Maximum wait for a missing primary that no election is about to replace, as
# a fraction of the target latency.
_NO_PRIMARY_SHARE = 0.24
# Shortest time reserved before the deadline for the execution of a statement
# after it was sent.
_EXECUTION_RESERVE_MS = 60
# Largest reserve, as a fraction of the timeout. Measured times that exceed
# the timeout must not keep statements from being sent and measured again.
_MAX_RESERVE_SHARE = 0.5
# Age of the oldest statement in time, as a fraction of its target, from which
# no slot is expected to be left for late statements, and the time for which it
# must have been exceeded: a queue that waited for a primary drains meanwhile.
_PRESSED_SHARE = 0.5
_PRESSED_MS = 100
# Time for which a lack of slots counts as a sign of overload.
_OVERLOAD_MS = 1000
# Execution time that is assumed until statements were measured.
_INITIAL_SERVICE_MS = 25.0
# Weight of a sample; small, since times vary from statement to statement.
_SAMPLE_WEIGHT = 0.05


class Turn:
    """Place of a statement in the queue.

    Attributes:
      service_ms: Execution time that was expected when it was queued.
      start_ms: Virtual start by the share of its customer.
      late: Whether it waits behind statements that are still in time.
    """

    __slots__ = ('service_ms', 'start_ms', 'late')

    def __init__(self, service_ms: float, start_ms: float) -> None:
        """Start in time."""
        self.service_ms = service_ms
        self.start_ms = start_ms
        self.late = False


class Backlog:
    """Waiting statements of one service, those in time first.

    Attributes:
      waiting: Statements in the order in which they get links.
      service_ms: Moving averages of the time for which statements hold a
        link, by the database name of their route.
      shares: Shares of the customers in each priority.
      pressed_ms: Time since which those in time have waited so long that no
        slot is left for late statements, or None.
      overloaded_ms: Time of the last sign of too few slots, or None: a
        statement became late or was refused.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.waiting: list[sessions.Work] = []
        self.service_ms: dict[str, float] = {}
        self.shares = shares.SharesByPriority()
        self.pressed_ms: int | None = None
        self.overloaded_ms: int | None = None

    def sample(self, database: str, spent_ms: int) -> None:
        """Add the time for which one statement of a route held its link."""
        average = self.service_ms.get(database, _INITIAL_SERVICE_MS)
        average += _SAMPLE_WEIGHT * (spent_ms - average)
        self.service_ms[database] = average

    def retain(self, databases: typing.Container[str]) -> None:
        """Forget the measured times of routes that were removed."""
        self.service_ms = {
            database: average
            for database, average in self.service_ms.items()
            if database in databases
        }

    def add(self, work: sessions.Work) -> None:
        """Insert a statement in the order of the queue."""
        route = work.route
        service_ms = self.service_ms.get(route.database, _INITIAL_SERVICE_MS)
        if not self.waiting:
            self.shares = shares.SharesByPriority()
        start_ms = self.shares.charge(route.priority, work.customer, service_ms)
        work.turn = Turn(service_ms, start_ms)
        bisect.insort_right(self.waiting, work, key=_queue_key)

    def remove(self, work: sessions.Work) -> None:
        """Remove a statement, if it is queued."""
        if work in self.waiting:
            self.waiting.remove(work)

    def place(self, work: sessions.Work) -> None:
        """Remove a statement that is sent, and count it for its customer."""
        self.shares.advance(work.route.priority, work.turn.start_ms)
        self.remove(work)

    def overloaded_at(self, now_ms: int) -> bool:
        """Return whether statements lacked slots recently."""
        if self.overloaded_ms is None:
            return False
        return now_ms - self.overloaded_ms <= _OVERLOAD_MS

    def defer_late(
        self, now_ms: int, can_serve: typing.Callable[[sessions.Work], bool]
    ) -> None:
        """Move statements that have become late behind those in time.

        Args:
          now_ms: Current time.
          can_serve: Returns whether some instance can serve a statement now.
        """
        late = [
            work
            for work in self.waiting
            if not work.turn.late and not _can_meet_target(work, now_ms)
        ]
        if late:
            for overdue in late:
                overdue.turn.late = True
            self.waiting.sort(key=_queue_key)
            if any(map(can_serve, late)):
                self.overloaded_ms = now_ms
        if not any(_has_waited_long(queued, now_ms) for queued in self.waiting):
            self.pressed_ms = None
        elif self.pressed_ms is None:
            self.pressed_ms = now_ms

    def expired(
        self,
        now_ms: int,
        primary_ms: int | None,
        can_serve: typing.Callable[[sessions.Work], bool],
    ) -> list[sessions.Work]:
        """Return the statements that must be refused now.

        Args:
          now_ms: Current time.
          primary_ms: Time at which a primary is expected to serve again, or
            None if that is not known.
          can_serve: Returns whether some instance can serve a statement now.
        """

        pressed = (
            self.pressed_ms is not None
            and now_ms - self.pressed_ms >= _PRESSED_MS
        )

        def is_expired(work: sessions.Work) -> bool:  # noqa: WPS430
            if now_ms >= _latest_start_ms(work):
                return True
            if can_serve(work):
                return work.turn.late and pressed
            return _primary_is_too_late(work, now_ms, primary_ms)

        return [work for work in self.waiting if is_expired(work)]


def _queue_key(work: sessions.Work) -> tuple[bool, int, float, int]:
    turn = work.turn
    return (turn.late, work.route.priority, turn.start_ms, work.arrived_ms)


def _can_meet_target(work: sessions.Work, now_ms: int) -> bool:
    """Return whether a statement can still meet its target latency."""
    waited_ms = now_ms - work.arrived_ms
    return waited_ms + work.turn.service_ms < work.route.target_ms


def _has_waited_long(work: sessions.Work, now_ms: int) -> bool:
    """Return whether a statement in time has used much of its target."""
    waited_ms = now_ms - work.arrived_ms
    limit_ms = work.route.target_ms * _PRESSED_SHARE
    return not work.turn.late and waited_ms >= limit_ms


def _latest_start_ms(work: sessions.Work) -> float:
    """Return when a statement must be sent to be answered in its timeout."""
    longest_ms = work.route.timeout_ms * _MAX_RESERVE_SHARE
    reserve_ms = max(
        _EXECUTION_RESERVE_MS, min(work.turn.service_ms, longest_ms)
    )
    return work.deadline_ms - reserve_ms


def _primary_is_too_late(
    work: sessions.Work,
    now_ms: int,
    primary_ms: int | None,
) -> bool:
    if primary_ms is not None:
        return primary_ms > _latest_start_ms(work)
    waited_ms = now_ms - work.arrived_ms
    return waited_ms >= work.route.target_ms * _NO_PRIMARY_SHARE
