"""Tests of the ticks of a process that has just started."""

from jacinthhaven.kernel import clock
from jacinthhaven.process import ticker


class _Loop:
    """Loop that keeps the callbacks."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(1000)
        self.soon = []

    def call_later(self, delay_ms, callback) -> None:
        """Ignore the regular ticks."""

    def call_soon(self, callback) -> None:
        """Keep a callback."""
        self.soon.append(callback)


def test_replies_of_one_moment_cause_one_tick_and_only_at_the_start():
    """Guards against ticks that grow with the replies of the store."""
    loop = _Loop()
    ticks = []
    tested = ticker.Ticker(loop, lambda: ticks.append(1))
    tested.expedite()
    tested.expedite()
    loop.soon.pop()()
    tested.expedite()
    loop.soon.pop()()
    assert len(ticks) == 2
    loop.clock.advance(1001)
    tested.expedite()
    assert not loop.soon
