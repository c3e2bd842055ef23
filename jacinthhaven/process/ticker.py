"""Periodic timer of the decision code."""

import typing

from jacinthhaven.adapters import poller

# The shortest timeouts of the decision code are tens of milliseconds.
TICK_MS = 20
# Time after the start in which the function may be called before its time. Until
# the first answer, each step would wait for a tick; later ones are not urgent.
_EARLY_MS = 1000


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
        self.expedited = False
        self.early_until_ms = loop.clock.now_ms() + _EARLY_MS
        loop.call_later(TICK_MS, self._fire)

    def stop(self) -> None:
        """Schedule no further tick."""
        self.stopped = True

    def expedite(self) -> None:
        """Call the function after the current callbacks, soon after the start."""
        if self.expedited:
            return
        if self.poller.clock.now_ms() < self.early_until_ms:
            self.expedited = True
            self.poller.call_soon(self._fire_early)

    def _fire_early(self) -> None:
        self.expedited = False
        if not self.stopped:
            self.on_tick()

    def _fire(self) -> None:
        if not self.stopped:
            self.poller.call_later(TICK_MS, self._fire)
            self.on_tick()
