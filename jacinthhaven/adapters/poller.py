"""Poller for the circuits event loop that calls socket owners directly.

The pollers of circuits fire one event for each readable or writable
socket, which takes longer than processing a statement. This poller
replaces them as the `generate_events` handler of the loop and calls the
owner of a socket directly. It also runs timers on the monotonic clock,
since the timers of circuits follow the wall clock.
"""

import collections
import heapq
import itertools
import select
import typing

from circuits.core import handlers, pollers

from jacinthhaven.kernel import clock

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_MS_PER_S = 1000
# Longest wait in epoll, so that signals and events fired by other handlers
# are processed in time.
_MAX_SLEEP_MS = 1000

Callback = typing.Callable[[int], None]
Action = typing.Callable[[], None]


class Poller(pollers.BasePoller):
    """Poller that maps each file descriptor to the callback of its owner."""

    channel = 'poller'

    def __init__(self) -> None:
        """Create the epoll object with no registered socket."""
        super().__init__(channel=self.channel)
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callback] = {}
        self.timers: list[tuple[int, int, Action]] = []
        self.soon: collections.deque = collections.deque()
        self.sequence = itertools.count()
        self.clock = clock.MonotonicClock()
        self.epoll.register(self._ctrl_recv, READABLE)
        self.callbacks[self._ctrl_recv] = self._on_control

    def watch(self, fd: int, mask: int, callback: Callback) -> None:
        """Call `callback(ready_mask)` whenever the descriptor is ready."""
        if fd in self.callbacks:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.register(fd, mask)
        self.callbacks[fd] = callback

    def forget(self, fd: int) -> None:
        """Stop watching a descriptor; call it before closing the socket."""
        if self.callbacks.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def call_later(
        self,
        delay_ms: int,
        callback: Action,
    ) -> None:
        """Call a function once after a delay in milliseconds."""
        due = self.clock.now_ms() + delay_ms
        heapq.heappush(self.timers, (due, next(self.sequence), callback))

    def call_soon(self, callback: Action) -> None:
        """Call a function once after the current callbacks have run."""
        self.soon.append(callback)

    @handlers.handler('generate_events', priority=-9, override=True)
    def _on_generate_events(self, event: typing.Any) -> None:
        event.stop()
        self._run_soon()
        for fd, mask in self.epoll.poll(self._timeout_s(event.time_left)):
            callback = self.callbacks.get(fd)
            if callback is not None:
                callback(mask)
        self._run_soon()
        self._run_timers()

    def _run_soon(self) -> None:
        # Callbacks added during this call run in the next one. Each callback
        # is removed before it runs, so that an exception drops no other.
        remaining = len(self.soon)
        while remaining:
            remaining -= 1
            self.soon.popleft()()

    def _timeout_s(self, time_left_s: float) -> float:
        if self.soon or time_left_s == 0:
            return 0
        sleep_ms = _MAX_SLEEP_MS
        if time_left_s > 0:
            sleep_ms = min(sleep_ms, int(time_left_s * _MS_PER_S))
        if self.timers:
            due_ms = self.timers[0][0] - self.clock.now_ms()
            sleep_ms = min(sleep_ms, max(due_ms, 0))
        return sleep_ms / _MS_PER_S

    def _run_timers(self) -> None:
        now_ms = self.clock.now_ms()
        while self.timers and self.timers[0][0] <= now_ms:
            heapq.heappop(self.timers)[2]()

    def _on_control(self, mask: int) -> None:
        self._read_ctrl()
