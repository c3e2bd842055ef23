"""Bounded queue of one database with priorities, deadlines and shedding.

Work waits in one of two lanes, since reads that a replica may serve must
not wait behind writes that need a primary. The bound counts both lanes.
"""

import collections
import typing

from jacinthhaven.records import callers

PRIMARY_LANE = 'primary'
REPLICA_LANE = 'replica'
LANES = (PRIMARY_LANE, REPLICA_LANE)


class Waiting(typing.Protocol):
    """What the queue needs to know of a piece of work."""

    lane: str
    priority: str
    deadline_ms: int


class Admission:
    """Queue of one database."""

    __slots__ = ('queues', 'size')

    def __init__(self) -> None:
        """Create an empty queue."""
        self.queues: dict[tuple[str, str], collections.deque] = {
            (lane, priority): collections.deque()
            for lane in LANES
            for priority in callers.PRIORITIES
        }
        self.size = 0

    def push(self, work: Waiting, limit: int) -> list[typing.Any]:
        """Add work and shed what exceeds the limit.

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
            shed.append(self._drop_lowest())
        return shed

    def push_front(self, work: Waiting) -> None:
        """Return work that was taken already; it is never shed."""
        self.queues[work.lane, work.priority].appendleft(work)
        self.size += 1

    def peek(self, lane: str) -> typing.Any | None:
        """Return the next work of a lane without taking it."""
        for priority in callers.PRIORITIES:
            queue = self.queues[lane, priority]
            if queue:
                return queue[0]
        return None

    def pop(self, lane: str) -> typing.Any:
        """Take the next work of a lane.

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

    def _drop_lowest(self) -> typing.Any:
        for priority in reversed(callers.PRIORITIES):
            longest = max(
                (self.queues[lane, priority] for lane in LANES),
                key=len,
            )
            if longest:
                self.size -= 1
                return longest.pop()
        raise IndexError(self.size)
