"""Virtual time: actions that run in the order of their times."""

import heapq
import itertools
import typing

Action = typing.Callable[[], None]


class Schedule:
    """Actions by time.

    Attributes:
      now_ms: Current time.
    """

    __slots__ = ('now_ms', 'waiting', 'numbers')

    def __init__(self, start_ms: int = 0) -> None:
        """Start without actions."""
        self.now_ms = start_ms
        self.waiting: list[tuple[float, int, Action]] = []
        self.numbers = itertools.count()

    def at(self, at_ms: float, action: Action) -> None:
        """Run an action at a time, after those planned before it."""
        entry = (max(at_ms, self.now_ms), next(self.numbers), action)
        heapq.heappush(self.waiting, entry)

    def run(self, until_ms: int) -> None:
        """Run all actions up to a time."""
        while self.waiting and self.waiting[0][0] <= until_ms:
            at_ms, _number, action = heapq.heappop(self.waiting)
            self.now_ms = int(at_ms)
            action()
        self.now_ms = until_ms
