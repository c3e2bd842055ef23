"""Priority queue of statements that wait for a link or a permit.

It matters when more statements arrive than the slots of the instances can
execute in time. Statements of the same priority keep the order of their
arrival, so that all routes of a priority wait equally long. A statement that
has become late while others can still be executed in time is refused: its
client can retry, and it does not make other statements late.
"""

import bisect
import typing

from jacinthhaven.sql import records, sessions

# Maximum wait for a missing primary that no election is about to replace, as
# a fraction of the target latency.
_NO_PRIMARY_SHARE = 0.24
# Time reserved before the deadline for the execution of a statement after it
# was sent.
_EXECUTION_RESERVE_MS = 60
# Time for which a refusal for lack of slots counts as a sign of overload.
_OVERLOAD_MS = 1000
# Execution time that is assumed until statements were measured.
_INITIAL_SERVICE_MS = 25.0
# Weight of a sample; small, since times vary from statement to statement.
_SAMPLE_WEIGHT = 0.05


class Backlog:
    """Waiting statements of one service, highest priority first.

    Attributes:
      waiting: Statements in the order in which they get links.
      service_ms: Moving averages of the time for which statements hold a
        link, by the mode of their route.
      overloaded_ms: Time of the last refusal for lack of slots, or None.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.waiting: list[sessions.Work] = []
        self.service_ms = dict.fromkeys(
            records.ConsistencyLevel, _INITIAL_SERVICE_MS
        )
        self.overloaded_ms: int | None = None

    def sample(self, mode: records.ConsistencyLevel, spent_ms: int) -> None:
        """Add the time for which one statement held its link."""
        average = self.service_ms[mode]
        self.service_ms[mode] += _SAMPLE_WEIGHT * (spent_ms - average)

    def add(self, work: sessions.Work) -> None:
        """Insert a statement in the order of the queue."""
        work.service_ms = self.service_ms[work.route.mode]
        bisect.insort_right(self.waiting, work, key=_queue_key)

    def remove(self, work: sessions.Work) -> None:
        """Remove a statement, if it is queued."""
        if work in self.waiting:
            self.waiting.remove(work)

    def overloaded_at(self, now_ms: int) -> bool:
        """Return whether a statement was refused for lack of slots recently."""
        if self.overloaded_ms is None:
            return False
        return now_ms - self.overloaded_ms <= _OVERLOAD_MS

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
        others_in_time = any(
            _can_meet_target(work, now_ms) for work in self.waiting
        )

        def is_expired(work: sessions.Work) -> bool:  # noqa: WPS430
            if _cannot_meet_deadline(work, now_ms):
                return True
            if can_serve(work):
                late = others_in_time and not _can_meet_target(work, now_ms)
                if late:
                    self.overloaded_ms = now_ms
                return late
            return _primary_is_too_late(work, now_ms, primary_ms)

        return [work for work in self.waiting if is_expired(work)]


def _queue_key(work: sessions.Work) -> tuple[int, int]:
    return (work.route.priority, work.arrived_ms)


def _can_meet_target(work: sessions.Work, now_ms: int) -> bool:
    """Return whether a statement can still meet its target latency."""
    waited_ms = now_ms - work.arrived_ms
    return waited_ms + work.service_ms < work.route.target_ms


def _cannot_meet_deadline(work: sessions.Work, now_ms: int) -> bool:
    return now_ms >= work.deadline_ms - _EXECUTION_RESERVE_MS


def _primary_is_too_late(
    work: sessions.Work,
    now_ms: int,
    primary_ms: int | None,
) -> bool:
    if primary_ms is not None:
        return primary_ms > work.deadline_ms - _EXECUTION_RESERVE_MS
    waited_ms = now_ms - work.arrived_ms
    return waited_ms >= work.route.target_ms * _NO_PRIMARY_SHARE
