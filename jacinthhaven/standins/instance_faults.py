"""Faults of the database instance process and the work that they hold back.

Work that a fault holds back runs later in its original order, as in a
process that was paused and finds the requests in its socket buffers.
"""

import collections
import typing

import msgspec

from jacinthhaven.standins import control

Action = typing.Callable[[], None]


class Faults(control.Settings):
    """Settable faults of an instance; the defaults mean no fault.

    Attributes:
      lag_ms: Delay until replicated entries become visible.
      open_delay_ms: Time that opening a connection takes.
      answer_delay_ms: Delay of every answer after its execution.
      drop_answers: Number of next statements and resolve requests that are
        executed but whose connection is closed without the answer.
      freeze: Whether the instance does nothing at all.
      cut_proxies: Whether requests of database connections are held back
        while replication continues.
      cut: Names of the instances without replication in either direction.
      leaving: Whether the instance was told to shut down.
    """

    lag_ms: int = 0
    open_delay_ms: int = 0
    answer_delay_ms: int = 0
    drop_answers: int = 0
    freeze: bool = False
    cut_proxies: bool = False
    cut: list[str] = msgspec.field(default_factory=list)
    leaving: bool = False


class Gate:
    """Queue of actions that run at once while it is open."""

    def __init__(self) -> None:
        """Start open."""
        self.closed = False
        self.held: collections.deque[Action] = collections.deque()

    def run(self, action: Action) -> None:
        """Run an action now, or in order once the gate is open."""
        if self.closed:
            self.held.append(action)
        else:
            action()

    def move(self, closed: bool) -> None:
        """Close the gate, or open it and run the held actions."""
        self.closed = closed
        while self.held and not self.closed:
            self.held.popleft()()


def take_drop(faults: Faults) -> bool:
    """Return whether to drop this answer, and count it."""
    if not faults.drop_answers:
        return False
    faults.drop_answers -= 1
    return True
