"""Statements that wait for a link, and which of them are refused.

The load that this answers: more statements than the slots of the instances
can execute in time. Within a priority, short statements go first, so that
the slots serve as many callers as they can. A statement that cannot be
executed within its target while others still can is refused at once: its
client can come back or try another node, and nobody else becomes late.
"""

import bisect
import typing

from jacinthhaven.sql import records, sessions

# Part of the target latency that a statement may be expected to wait.
WAIT_SHARE = 0.9
# Part of the target latency that a statement waits for a primary that no
# election is about to replace.
_NO_PRIMARY_SHARE = 0.24
# Time that a statement needs after it was sent, kept free before its
# deadline.
_RUN_RESERVE_MS = 60
# How long a refusal for lack of slots counts as a sign of too much load.
_PRESSED_MS = 1000
# Assumed time of one statement until some were measured.
_FIRST_SERVICE_MS = 25.0
# Weight of one sample of a time that varies from statement to statement.
_SAMPLE_WEIGHT = 0.05


class Backlog:
    """Waiting statements of one service, most important first.

    Attributes:
      waiting: Statements in the order in which they are offered links.
      service_ms: Moving averages of how long statements hold a link, by the
        mode of their route.
      pressed_ms: When a statement was last refused for lack of slots.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[sessions.Work] = []
        self.service_ms = dict.fromkeys(records.Mode, _FIRST_SERVICE_MS)
        self.pressed_ms: int | None = None

    def sample(self, mode: records.Mode, spent_ms: int) -> None:
        """Add how long one statement held its link."""
        average = self.service_ms[mode]
        self.service_ms[mode] += _SAMPLE_WEIGHT * (spent_ms - average)

    def add(self, work: sessions.Work) -> None:
        """Insert a statement behind those that go first."""
        work.service_ms = self.service_ms[work.route.mode]
        bisect.insort_right(self.waiting, work, key=_order)

    def remove(self, work: sessions.Work) -> None:
        """Drop a statement that found a link or lost its client."""
        if work in self.waiting:
            self.waiting.remove(work)

    def expected_wait_ms(self, work: sessions.Work, links: int) -> float:
        """Return how long a new statement is expected to wait.

        Args:
          work: Statement that has just arrived.
          links: Links that may execute it.
        """
        work.service_ms = self.service_ms[work.route.mode]
        ahead_ms = sum(
            waiting.service_ms
            for waiting in self.waiting
            if _order(waiting) <= _order(work)
            and (waiting.needs_primary or not work.needs_primary)
        )
        return ahead_ms / max(links, 1)

    def accepts(self, work: sessions.Work, links: int) -> bool:
        """Return whether a new statement can be expected to be in time."""
        limit_ms = work.route.target_ms * WAIT_SHARE
        accepted = self.expected_wait_ms(work, links) <= limit_ms
        if not accepted:
            self.pressed_ms = work.arrived_ms
        return accepted

    def pressed_at(self, now_ms: int) -> bool:
        """Return whether there are more statements than the slots take."""
        if self.pressed_ms is None:
            return False
        return now_ms - self.pressed_ms <= _PRESSED_MS

    def expired(
        self,
        now_ms: int,
        primary_ms: int | None,
        served: typing.Callable[[sessions.Work], bool],
    ) -> list[sessions.Work]:
        """Return the statements that must be refused now.

        Args:
          now_ms: Current time.
          primary_ms: When a primary is expected to serve again, or None if
            that is not known.
          served: Whether some instance can serve a statement at present.
        """
        crowded = any(_in_time(work, now_ms) for work in self.waiting)

        def is_expired(work: sessions.Work) -> bool:  # noqa: WPS430
            if _too_late(work, now_ms):
                return True
            if served(work):
                late = crowded and not _in_time(work, now_ms)
                if late:
                    self.pressed_ms = now_ms
                return late
            return _hopeless(work, now_ms, primary_ms)

        return [work for work in self.waiting if is_expired(work)]


def _order(work: sessions.Work) -> tuple[int, float, int]:
    return (work.route.priority, work.service_ms, work.arrived_ms)


def _in_time(work: sessions.Work, now_ms: int) -> bool:
    """Return whether a statement may still be executed within its target."""
    waited_ms = now_ms - work.arrived_ms
    return waited_ms + work.service_ms < work.route.target_ms


def _too_late(work: sessions.Work, now_ms: int) -> bool:
    return now_ms >= work.deadline_ms - _RUN_RESERVE_MS


def _hopeless(
    work: sessions.Work,
    now_ms: int,
    primary_ms: int | None,
) -> bool:
    if primary_ms is not None:
        return primary_ms > work.deadline_ms - _RUN_RESERVE_MS
    waited_ms = now_ms - work.arrived_ms
    return waited_ms >= work.route.target_ms * _NO_PRIMARY_SHARE
