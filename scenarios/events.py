"""Virtual time, ordered connections and network faults of one scenario.

Events run in the order of their time and, at the same time, of their
creation, so that a seed determines the whole run.
"""

import collections
import functools
import heapq
import itertools
import random
import typing

from jacinthhaven.kernel import clock

Action = typing.Callable[[], typing.Any]
US_PER_MS = 1000
# Relative spread of the latency of one message.
_JITTER = 0.3


class Events:
    """Queue of actions with their virtual time in microseconds."""

    def __init__(self, seed: int) -> None:
        """Start at time 0 without events."""
        self.clock = clock.ManualClock()
        self.rng = random.Random(seed)  # noqa: S311
        self.now_us = 0
        self.queue: list[tuple[int, int, Action]] = []
        self.sequence = itertools.count()

    @property
    def now_ms(self) -> int:
        """Return the reading of the clock in milliseconds."""
        return self.clock.now_ms()

    def at(self, due_us: int, action: Action) -> None:
        """Run an action at a time."""
        entry = (max(due_us, self.now_us), next(self.sequence), action)
        heapq.heappush(self.queue, entry)

    def after(self, delay_ms: float, action: Action) -> None:
        """Run an action after a delay in milliseconds."""
        self.at(self.now_us + int(delay_ms * US_PER_MS), action)

    def run(self, end_ms: int) -> None:
        """Run all events up to a time."""
        while self.queue and self.queue[0][0] <= end_ms * US_PER_MS:
            due_us, _number, action = heapq.heappop(self.queue)
            self.now_us = due_us
            self.clock.advance(self.now_us // US_PER_MS - self.now_ms)
            action()


class Network:
    """Latency between places and the pairs of places that are cut.

    Attributes:
      zones: Availability zone by place; callers have none.
      between_ms: One-way latency between zones.
      caller_ms: One-way latency between callers and proxies.
      cuts: Pairs of places without delivery in either direction.
      slow: Extra latency in milliseconds by pair of places.
    """

    def __init__(
        self,
        events: Events,
        between_ms: float,
        caller_ms: float,
    ) -> None:
        """Create a network without faults."""
        self.events = events
        self.between_ms = between_ms
        self.caller_ms = caller_ms
        self.zones: dict[str, str] = {}
        # Dictionaries keep the order of insertion. The order of a set
        # depends on hash seeds and addresses, which differ between runs.
        self.cuts: dict[frozenset[str], None] = {}
        self.slow: dict[frozenset[str], int] = {}
        self.pipes: dict[frozenset[str], dict[Pipe, None]] = (
            collections.defaultdict(dict)
        )

    def latency_us(self, ends: frozenset[str]) -> int:
        """Return the latency of the next message between two places."""
        zones = [self.zones.get(end, '') for end in ends]
        base_ms = self.between_ms
        if '' in zones:
            base_ms = self.caller_ms
        elif len(set(zones)) == 1:
            base_ms = self.between_ms / 5
        base_ms += self.slow.get(ends, 0)
        spread = 1 + _JITTER * self.events.rng.random()
        return int(base_ms * spread * US_PER_MS)

    def pipe(self, source: str, target: str) -> 'Pipe':
        """Return a new ordered connection direction."""
        ends = frozenset((source, target))
        pipe = Pipe(self, ends)
        self.pipes[ends][pipe] = None
        return pipe

    def cut(self, ends: frozenset[str]) -> None:
        """Stop the delivery between two places."""
        self.cuts[ends] = None

    def heal(self, ends: frozenset[str]) -> None:
        """Resume the delivery; what was held arrives late."""
        self.cuts.pop(ends, None)
        self.slow.pop(ends, None)
        for pipe in tuple(self.pipes[ends]):
            pipe.resume()


class Pipe:
    """One direction of a connection: ordered, held while it is cut.

    Messages wait during a cut because TCP sends them again until the
    connection is closed.
    """

    __slots__ = ('network', 'ends', 'free_us', 'held', 'closed')

    def __init__(self, network: Network, ends: frozenset[str]) -> None:
        """Create an open pipe between two places."""
        self.network = network
        self.ends = ends
        self.free_us = 0
        self.held: collections.deque[Action] = collections.deque()
        self.closed = False

    def send(self, action: Action) -> None:
        """Run an action at the other end after the latency."""
        if self.closed:
            return
        events = self.network.events
        due_us = events.now_us + self.network.latency_us(self.ends)
        self.free_us = max(due_us, self.free_us)
        events.at(self.free_us, functools.partial(self._arrive, action))

    def close(self) -> None:
        """Lose everything that has not arrived."""
        self.closed = True
        self.held.clear()
        self.network.pipes[self.ends].pop(self, None)

    def resume(self) -> None:
        """Deliver what was held, before anything that is on its way."""
        while self.held and self.ends not in self.network.cuts:
            self.held.popleft()()

    def _arrive(self, action: Action) -> None:
        if self.closed:
            return
        if self.held or self.ends in self.network.cuts:
            self.held.append(action)
        else:
            action()
