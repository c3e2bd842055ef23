"""Sequences of calls written as generators.

A script yields a call and is resumed with its result. The caller of a
script only needs to provide what the calls do.
"""

import dataclasses
import typing

from jacinthhaven.records import store
from jacinthhaven.sql import commands


@dataclasses.dataclass(frozen=True, slots=True)
class Sleep:
    """Wait for a time."""

    delay_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskAll:
    """Send a command to several instances and wait for all replies.

    The result maps each instance to its status, or to None.
    """

    instances: tuple[str, ...]
    command: commands.Command


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Order a promotion; the result is an `OrderResult`.

    Attributes:
      service: Name of the service.
      instance: Instance that is to lead.
      fence: Fencing number.
      until_ms: Time after which the order is not sent any more.
    """

    service: str
    instance: str
    fence: int
    until_ms: int


Call = Sleep | AskAll | Promote | store.Request
Script = typing.Generator[Call, typing.Any, typing.Any]
Now = typing.Callable[[], int]
OnResult = typing.Callable[[typing.Any], None]
Perform = typing.Callable[[Call, OnResult], None]


class Sleepers:
    """Scripts that wait for a time."""

    def __init__(self) -> None:
        """Start without scripts."""
        self.waiting: list[tuple[int, OnResult]] = []

    def add(self, due_ms: int, on_result: OnResult) -> None:
        """Resume a script at a time."""
        self.waiting.append((due_ms, on_result))

    def wake(self, now_ms: int) -> None:
        """Resume the scripts that are due."""
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
          perform: Makes a call and passes on its result later.
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
