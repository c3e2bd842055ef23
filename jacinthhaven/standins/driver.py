"""Poller that tests run step by step on a clock of their own."""

import threading
import typing

import circuits
from circuits.core import events

from jacinthhaven.adapters import poller
from jacinthhaven.kernel import clock

HOST = '127.0.0.1'
# A condition that does not hold after this many steps is never met; each
# step handles every ready socket.
_MAX_STEPS = 100_000


class NeverHeldError(AssertionError):
    """A condition did not hold after the largest number of steps."""


class Driver:
    """Poller whose timers follow a manual clock."""

    def __init__(self) -> None:
        """Create the poller; no thread is started."""
        self.clock = clock.ManualClock(1)
        self.loop = poller.Poller()
        self.loop.clock = self.clock
        self.application = circuits.Component()
        self.loop.register(self.application)
        self.lock = threading.RLock()

    def step(self) -> None:
        """Handle the sockets and timers that are ready now."""
        self.application.fire(events.generate_events(self.lock, 0), '*')
        self.application.flush()

    def run_until(
        self,
        condition: typing.Callable[[], typing.Any],
        step_ms: int = 0,
    ) -> None:
        """Handle sockets until a condition holds.

        Args:
          condition: Function that returns whether to stop.
          step_ms: Milliseconds that the clock moves in each step.

        Raises:
          NeverHeldError: If it does not hold after many steps.
        """
        steps = 0
        while not condition():
            if steps == _MAX_STEPS:
                raise NeverHeldError(steps)
            steps += 1
            self.advance(step_ms)

    def advance(self, step_ms: int) -> None:
        """Move the clock and run the timers that are due."""
        self.clock.advance(step_ms)
        self.step()
