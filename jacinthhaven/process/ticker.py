"""Periodic timer of the decision code."""

import typing

from jacinthhaven.adapters import poller

# The shortest timeouts of the decision code are tens of milliseconds.
TICK_MS = 20


class Ticker:
    """Calls a function every `TICK_MS` milliseconds until stopped."""

    def __init__(
        self,
        loop: poller.Poller,
        on_tick: typing.Callable[[], None],
    ) -> None:
        """Schedule the first tick."""
        self.poller = loop
        self.on_tick = on_tick
        self.stopped = False
        loop.call_later(TICK_MS, self._fire)

    def stop(self) -> None:
        """Schedule no further tick."""
        self.stopped = True

    def _fire(self) -> None:
        if not self.stopped:
            self.poller.call_later(TICK_MS, self._fire)
            self.on_tick()
