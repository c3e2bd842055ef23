"""Limit of the statements that one node has in flight at one instance.

The load that this answers: more statements than the slots of an instance
can execute. What waits at the instance is executed in the order of arrival
and refused once its queue is full; what waits here goes by importance. So
all owners together send little more than the slots can take, and less after
refusals.
"""

# Statements of all owners in flight for each slot of an instance: one that
# runs, one that follows and one on its way.
_PER_SLOT = 3
# A node with much of the traffic needs more than its even part.
_MIN_LARGEST = 2
# After a refusal the window shrinks by this factor.
_SHRINK = 0.5
# Refusals within this time answer statements sent before the last change.
_HOLD_MS = 100


class Window:
    """Window of one instance, as one node sees it.

    Attributes:
      largest: Size that is never exceeded.
      size: Statements that may be in flight now.
    """

    __slots__ = ('largest', 'size', 'changed_ms')

    def __init__(self) -> None:
        """Start with the smallest limit."""
        self.largest = _MIN_LARGEST
        self.size = float(_MIN_LARGEST)
        self.changed_ms = -_HOLD_MS

    def resize(self, slots: int, owners: int) -> None:
        """Set the limit for an instance and the number of its users."""
        largest = max(round(_PER_SLOT * slots / owners), _MIN_LARGEST)
        if largest != self.largest:
            self.largest = largest
            self.size = float(largest)

    def allows(self, running: int) -> bool:
        """Return whether one more statement may be sent."""
        return running < int(self.size)

    def shrunk_at(self, now_ms: int) -> bool:
        """Return whether the instance has refused statements just now."""
        return now_ms - self.changed_ms < _HOLD_MS

    def executed(self) -> None:
        """Note that a statement was executed."""
        self.size = min(self.size + 1 / self.size, self.largest)

    def refused(self, now_ms: int) -> None:
        """Note that the queue of the instance was full."""
        if not self.shrunk_at(now_ms):
            self.changed_ms = now_ms
            self.size = max(self.size * _SHRINK, 1.0)
