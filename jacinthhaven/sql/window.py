"""Limit of the statements that one node has in flight at one instance.

It matters when more statements arrive than the slots of an instance can
execute. An instance executes its queue in the order of arrival and refuses
statements once the queue is full, whereas the queue of a node is ordered by
priority. All owners together therefore send little more than the slots can
take, and less after refusals: the window grows additively and shrinks
multiplicatively.
"""

# Statements of all owners in flight for each slot of an instance: one that is
# executing, one that is queued there and one in transit.
_PER_SLOT = 3
# Lower bound of the limit, since a node with much of the traffic needs more
# than an even share.
_MIN_LIMIT = 2
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
        self.limit = _MIN_LIMIT
        self.size = float(_MIN_LIMIT)
        self.shrunk_ms = -_HOLD_MS

    def resize(self, slots: int, owners: int) -> None:
        """Set the upper bound.

        Args:
          slots: Statements that the instance executes at the same time.
          owners: Number of nodes that send statements to it.
        """
        limit = max(round(_PER_SLOT * slots / owners), _MIN_LIMIT)
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
