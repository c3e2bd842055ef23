"""Limit of the statements that one owner sends to one instance by itself.

It matters when the load is light: then owners need no permits, and no owner
may occupy so many slots that the statements of the others wait behind its
own. An owner whose limit is reached asks for permits (`permits`).
"""

import math

# Statements of all owners in flight for each slot of an instance: one that is
# executing, one that is queued there and one in transit.
_PER_SLOT = 3
# Factor by which a refusal shrinks the window.
_SHRINK = 0.5
# Refusals within this time after a shrink are ignored, since they answer
# statements that were sent before it.
_HOLD_MS = 100


class Window:
    """Window of one node for one instance.

    Attributes:
      limit: Upper bound of the size.
      size: Number of statements that may be in flight now.
      shrunk_ms: Time of the last shrink.
    """

    __slots__ = ('limit', 'size', 'shrunk_ms')

    def __init__(self) -> None:
        """Create a window with the smallest upper bound."""
        self.limit = 1
        self.size = float(1)
        self.shrunk_ms = -_HOLD_MS

    def resize(self, slots: int, owners: int) -> None:
        """Set the upper bound.

        Args:
          slots: Statements that the instance executes at the same time.
          owners: Number of nodes that send statements to it.
        """
        limit = max(math.ceil(_PER_SLOT * slots / owners), 1)
        if limit != self.limit:
            self.limit = limit
            self.size = float(limit)

    def allows(self, in_flight: int) -> bool:
        """Return whether one more statement may be sent."""
        return in_flight < int(self.size)

    def shrunk_at(self, now_ms: int) -> bool:
        """Return whether a refusal has shrunk the window recently."""
        return now_ms - self.shrunk_ms < _HOLD_MS

    def grow(self) -> None:
        """Grow the window after a statement was executed."""
        self.size = min(self.size + 1 / self.size, self.limit)

    def shrink(self, now_ms: int) -> None:
        """Shrink the window after the queue of the instance was full."""
        if not self.shrunk_at(now_ms):
            self.shrunk_ms = now_ms
            self.size = max(self.size * _SHRINK, 1.0)
