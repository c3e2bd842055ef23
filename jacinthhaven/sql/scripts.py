"""Generator-based coroutines for sequences of asynchronous calls.

A script yields a call and is resumed with its result. It does no I/O itself:
whoever runs it provides a function that performs the calls.
"""

import typing

import msgspec

from jacinthhaven.records import history, store
from jacinthhaven.sql import commands


class Sleep(msgspec.Struct, frozen=True):
    """Suspend the script; the result is None."""

    delay_ms: int


class Broadcast(msgspec.Struct, frozen=True):
    """Send a command to several instances and wait for all replies.

    The result maps each instance to its status, or to None without one.
    """

    instances: tuple[str, ...]
    command: commands.Command


class Promote(msgspec.Struct, frozen=True):
    """Order a promotion; the result is a `ports.OrderResult`.

    Attributes:
      service: Name of the service.
      instance: Instance to promote to primary.
      fence: Fencing token.
      until_ms: Time after which the order is no longer sent.
    """

    service: str
    instance: str
    fence: history.EraNumber
    until_ms: int


Call = Sleep | Broadcast | Promote | store.Request
Script = typing.Generator[Call, typing.Any, typing.Any]
Now = typing.Callable[[], int]
OnResult = typing.Callable[[typing.Any], None]
Perform = typing.Callable[[Call, OnResult], None]


class Timers:
    """Timers of suspended scripts.

    Attributes:
      waiting: Pairs of a due time in milliseconds and a callback.
    """

    def __init__(self) -> None:
        """Create an empty list of timers."""
        self.waiting: list[tuple[int, OnResult]] = []

    def add(self, due_ms: int, on_result: OnResult) -> None:
        """Add a timer that resumes a script at a time."""
        self.waiting.append((due_ms, on_result))

    def fire(self, now_ms: int) -> None:
        """Resume the scripts whose timers are due."""
        due = [entry for entry in self.waiting if entry[0] <= now_ms]
        self.waiting = [entry for entry in self.waiting if entry[0] > now_ms]
        for _due_ms, on_result in due:
            on_result(None)


class Runner:
    """Runs one script.

    Attributes:
      running: Whether the script has not ended yet.
    """

    def __init__(self, script: Script, perform: Perform) -> None:
        """Start a script.

        Args:
          script: Generator of calls.
          perform: Performs a call and passes its result to a callback.
        """
        self.script = script
        self.perform = perform
        self.running = True
        self._resume(None)

    def _resume(self, outcome: typing.Any) -> None:
        if not self.running:
            return
        try:
            call = self.script.send(outcome)
        except StopIteration:
            self.running = False
            return
        self.perform(call, self._resume)
