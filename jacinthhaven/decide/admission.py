"""Bounded priority queue of one database with load shedding.

Work waits in one of two lanes, because reads that a replica may serve must
not wait behind writes that need a primary. The limit covers both lanes.
"""

import collections
import typing

from jacinthhaven.records import callers

PRIMARY_LANE = 'primary'
REPLICA_LANE = 'replica'
LANES = (PRIMARY_LANE, REPLICA_LANE)


class Queueable(typing.Protocol):
    """Attributes that the queue requires of its elements."""

    lane: str
    priority: str
    deadline_ms: int


class AdmissionQueue:
    """Queue of one database; one deque for each lane and priority."""

    __slots__ = ('queues', 'size')

    def __init__(self) -> None:
        """Create an empty queue."""
        self.queues: dict[tuple[str, str], collections.deque] = {
            (lane, priority): collections.deque()
            for lane in LANES
            for priority in callers.PRIORITIES
        }
        self.size = 0

    def push(self, work: Queueable, limit: int) -> list[typing.Any]:
        """Append work and shed what exceeds the limit.

        The newest work of the lowest priority is shed first, because the
        oldest has used most of its waiting time already.

        Args:
          work: Work to add.
          limit: Largest number of waiting requests.

        Returns:
          The work that was removed; it may include `work` itself.
        """
        self.queues[work.lane, work.priority].append(work)
        self.size += 1
        shed = []
        while self.size > limit:
            shed.append(self._shed_lowest())
        return shed

    def push_front(self, work: Queueable) -> None:
        """Put dequeued work back at the front of its lane; sheds nothing."""
        self.queues[work.lane, work.priority].appendleft(work)
        self.size += 1

    def peek(self, lane: str) -> typing.Any | None:
        """Return the next work of a lane without removing it."""
        for priority in callers.PRIORITIES:
            queue = self.queues[lane, priority]
            if queue:
                return queue[0]
        return None

    def pop(self, lane: str) -> typing.Any:
        """Remove and return the next work of a lane.

        Raises:
          IndexError: If the lane is empty.
        """
        for priority in callers.PRIORITIES:
            queue = self.queues[lane, priority]
            if queue:
                self.size -= 1
                return queue.popleft()
        raise IndexError(lane)

    def remove_if(
        self,
        condition: typing.Callable[[typing.Any], bool],
    ) -> list[typing.Any]:
        """Remove and return all work that meets a condition."""
        removed = []
        for key, queue in self.queues.items():
            found = [work for work in queue if condition(work)]
            if found:
                removed.extend(found)
                self.queues[key] = collections.deque(
                    work for work in queue if not condition(work)
                )
        self.size -= len(removed)
        return removed

    def _shed_lowest(self) -> typing.Any:
        for priority in reversed(callers.PRIORITIES):
            longest = max(
                (self.queues[lane, priority] for lane in LANES),
                key=len,
            )
            if longest:
                self.size -= 1
                return longest.pop()
        raise IndexError(self.size)
