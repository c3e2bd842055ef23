"""Connection pool of one slot to one instance.

The pool never holds more connections than the slot's share, in whatever
state they are, so the connections of all slots together stay within the
instance's limit.
"""

import collections
import itertools

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 2000
# A responding instance opens a connection in 10 to 30 ms.
OPEN_TIMEOUT_MS = 3000

OpenRequests = list[messages.BackendOpen]


class Pool:
    """Data connections to one instance."""

    __slots__ = (
        'instance',
        'share',
        'slot',
        'numbers',
        'idle',
        'busy',
        'opening',
        'backoff_ms',
        'retry_at_ms',
        'started_ms',
    )

    def __init__(
        self,
        instance: str,
        share: int,
        slot: backend.ConnectRequest,
        numbers: itertools.count,
    ) -> None:
        """Create a pool without connections.

        Args:
          instance: Name of the instance.
          share: Maximum number of connections that the pool may hold.
          slot: Slot and epoch that the connections belong to.
          numbers: Process-wide counter of connection numbers.
        """
        self.instance = instance
        self.share = share
        self.slot = slot
        self.numbers = numbers
        self.idle: collections.deque[int] = collections.deque()
        self.busy: set[int] = set()
        # Time of the request for each connection that is not open yet.
        self.opening: dict[int, int] = {}
        self.backoff_ms = 0
        self.retry_at_ms = 0
        self.started_ms = 0

    @property
    def size(self) -> int:
        """Return the number of connections that are open or opening."""
        return self.available + len(self.busy)

    @property
    def available(self) -> int:
        """Return the number of connections that are idle or opening."""
        return len(self.idle) + len(self.opening)

    def open_more(self, wanted: int, now_ms: int) -> OpenRequests:
        """Open connections until `wanted` are idle or opening.

        Args:
          wanted: Number of connections that waiting requests could use now.
          now_ms: Current time.
        """
        opened: OpenRequests = []
        if now_ms < self.retry_at_ms:
            return opened
        missing = min(wanted - self.available, self.share - self.size)
        for _ in range(missing):
            number = next(self.numbers)
            self.opening[number] = now_ms
            opened.append(
                messages.BackendOpen(number, self.instance, self.slot),
            )
        return opened

    def acquire(self) -> int:
        """Take an idle connection.

        Raises:
          IndexError: If none is idle.
        """
        # Take the most recently used connection first, so that surplus
        # connections stay unused.
        connection = self.idle.pop()
        self.busy.add(connection)
        return connection

    def release(self, connection: int) -> None:
        """Return a connection to the pool after its call was answered."""
        if connection in self.busy:
            self.busy.discard(connection)
            self.idle.append(connection)

    def on_opened(self, connection: int, now_ms: int) -> None:
        """Record that a connection is open and accepts calls."""
        if connection in self.opening:
            self.opening.pop(connection)
            self.idle.append(connection)
            self.backoff_ms = 0
            self.started_ms = self.started_ms or now_ms

    def on_lost(
        self,
        connection: int,
        failure: failures.Failure,
        now_ms: int,
    ) -> None:
        """Remove a lost connection; back off if it was still opening."""
        was_opening = connection in self.opening
        self.discard(connection)
        if was_opening:
            self._back_off(now_ms)

    def expire_opening(self, now_ms: int) -> list[messages.BackendClose]:
        """Close connections that did not open within the timeout.

        After a lost packet or with a hung instance, an attempt gets no
        result at all, and each such attempt counts towards the share.
        """
        late = [
            number
            for number, asked_ms in self.opening.items()
            if now_ms - asked_ms >= OPEN_TIMEOUT_MS
        ]
        for number in late:
            self.opening.pop(number)
        if late:
            self._back_off(now_ms)
        return [messages.BackendClose(closing) for closing in late]

    def discard(self, connection: int) -> None:
        """Remove a closed connection."""
        self.opening.pop(connection, None)
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_all(self) -> list[messages.BackendClose]:
        """Close every connection."""
        numbers = [*self.idle, *self.busy, *self.opening]
        self.idle.clear()
        self.busy.clear()
        self.opening.clear()
        return [messages.BackendClose(closing) for closing in numbers]

    def slow_start_limit(self, slow_start_ms: int, now_ms: int) -> int:
        """Return how many connections may be busy during slow start.

        Args:
          slow_start_ms: Time from the first open connection until the full
            share may be used; 0 allows it at once.
          now_ms: Current time.
        """
        if slow_start_ms <= 0:
            return self.share
        elapsed_ms = now_ms - self.started_ms
        if elapsed_ms >= slow_start_ms:
            return self.share
        return max(1, self.share * elapsed_ms // slow_start_ms)

    def _back_off(self, now_ms: int) -> None:
        doubled = max(_MIN_BACKOFF_MS, 2 * self.backoff_ms)
        self.backoff_ms = min(doubled, _MAX_BACKOFF_MS)
        self.retry_at_ms = now_ms + self.backoff_ms
