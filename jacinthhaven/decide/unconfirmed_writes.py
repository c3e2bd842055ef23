"""Executed writes that wait until a majority has their log position."""

import heapq
import itertools

from jacinthhaven.decide import work


class UnconfirmedWrites:
    """Unconfirmed writes of one database in one term, by log position."""

    __slots__ = ('term', 'heap', 'sequence')

    def __init__(self) -> None:
        """Start in term 0 without writes."""
        self.term = 0
        self.heap: list[tuple[int, int, work.Work]] = []
        self.sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of unconfirmed writes."""
        return len(self.heap)

    def add(self, job: work.Work) -> list[work.Work]:
        """Add a write that waits for its position in its term.

        Returns:
          Writes of an earlier term, which can no longer be confirmed in
          that term. Whether they survive depends on the log of the new one.
        """
        stale = self.start_term(job.term)
        entry = (job.position, next(self.sequence), job)
        heapq.heappush(self.heap, entry)
        return stale

    def start_term(self, term: int) -> list[work.Work]:
        """Enter a higher term and return the writes of the previous one."""
        if term <= self.term:
            return []
        stale = [job for _position, _number, job in self.heap]
        self.term = term
        self.heap = []
        return stale

    def clear(self) -> list[work.Work]:
        """Remove and return all writes."""
        waiting = [job for _position, _number, job in self.heap]
        self.heap = []
        return waiting

    def drop_finished(self) -> None:
        """Remove the writes that were answered without confirmation."""
        self.heap = [entry for entry in self.heap if not entry[2].finished]
        heapq.heapify(self.heap)

    def pop_confirmed(self, position: int) -> list[work.Work]:
        """Remove and return the writes up to a confirmed position."""
        found = []
        while self.heap and self.heap[0][0] <= position:
            found.append(heapq.heappop(self.heap)[2])
        return found
