"""Statements that wait for a link, and which of them are refused.

The load that this answers: more statements than the slots of the instances
can execute in time. A statement that will not be executed within its
target is refused at once, so that its client can try another node, and the
statements that remain are executed early enough to count.
"""

import bisect
import typing

from jacinthhaven.sql import sessions

# Part of the target latency that a statement may be expected to wait.
WAIT_SHARE = 0.9
# Part of the target latency that a statement waits for a primary that no
# election is about to replace.
_NO_PRIMARY_SHARE = 0.24
# Time that a statement needs after it was sent, kept free before its
# deadline.
_RUN_RESERVE_MS = 60
# Assumed time of one statement until some were measured.
_FIRST_SERVICE_MS = 25.0
_SAMPLE_WEIGHT = 0.05


class Backlog:
    """Waiting statements of one service, most important first.

    Attributes:
      waiting: Statements in the order in which they are offered links.
      service_ms: Moving average of how long a statement holds a link.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[sessions.Work] = []
        self.service_ms = _FIRST_SERVICE_MS

    def sample(self, spent_ms: int) -> None:
        """Add how long one statement held its link."""
        self.service_ms += _SAMPLE_WEIGHT * (spent_ms - self.service_ms)

    def add(self, work: sessions.Work) -> None:
        """Insert a statement behind those that are as important."""
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
        ahead = [
            waiting
            for waiting in self.waiting
            if _order(waiting) <= _order(work)
        ]
        if work.needs_primary:
            ahead = [waiting for waiting in ahead if waiting.needs_primary]
        return len(ahead) * self.service_ms / max(links, 1)

    def accepts(self, work: sessions.Work, links: int) -> bool:
        """Return whether a new statement can be expected to be in time."""
        limit_ms = work.route.target_ms * WAIT_SHARE
        return self.expected_wait_ms(work, links) <= limit_ms

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
        return [
            work
            for work in self.waiting
            if _too_late(work, now_ms)
            or not served(work)
            and _hopeless(work, now_ms, primary_ms)
        ]


def _order(work: sessions.Work) -> tuple[int, int]:
    return (work.route.priority, work.arrived_ms)


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
