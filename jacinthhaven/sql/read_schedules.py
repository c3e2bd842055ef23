"""Schedules of the reads of the registry and of the member list."""

# Interval of registry reads, of which every third one is fresh. A stale read
# costs a tenth of a fresh one; fresh reads bound the age of the known registry.
_STALE_READ_MS = 900
_FRESH_READ_EVERY = 3
# Faster interval while instances are missing after a store outage: entries that
# expired during the outage return within two seconds after its end. The period
# is limited, since a service may really have lost its instances.
_MISSING_READ_MS = 250
_MISSING_READ_FOR_MS = 6000
# Intervals of member reads: the first one doubles after each read, up to the
# limit for nodes that own services or the limit for the others.
_FIRST_MEMBERS_MS = 400
_OWNER_MEMBERS_MS = 2000
_IDLE_MEMBERS_MS = 6000
# Shortest interval between member reads when no owner could be reached.
_UNREACHABLE_MEMBERS_MS = 1000
# Delay of the member read after a restore of the store, which has lost the keys
# of all nodes: they write them again within a renewal of their leases.
_RESTORED_MEMBERS_MS = 1500
# Factor of the registry interval on a node that owns no service; it needs the
# registry only when no owner can be reached.
_IDLE_REGISTRY_FACTOR = 5


class RegistrySchedule:
    """Schedule of registry reads, and which of them may be stale.

    Attributes:
      next_ms: When the next read is due.
      reads: Successful reads; every third one is fresh. Reset to 0 to make
        the next read fresh.
      running: Whether a read is in progress.
      expedite_until_ms: Until when the registry is read often because instances
        are missing.
      needs_fresh: Whether a new owner still needs its first fresh read.
      known: Whether a read has succeeded. Until then a failed read is repeated
        as soon as the store may be called, since no client can be served.
    """

    __slots__ = (
        'next_ms',
        'reads',
        'running',
        'expedite_until_ms',
        'needs_fresh',
        'known',
    )

    def __init__(self) -> None:
        """Schedule the first read at once."""
        self.next_ms = 0
        self.reads = 0
        self.running = False
        self.expedite_until_ms = 0
        self.needs_fresh = False
        self.known = False

    def due(self, now_ms: int) -> bool:
        """Return whether the next read is due."""
        return not self.running and (self.needs_fresh or now_ms >= self.next_ms)

    def require_fresh(self) -> None:
        """Schedule a fresh read at once, for a new owner."""
        self.needs_fresh = True

    def start(self, now_ms: int, *, owns_service: bool) -> bool:
        """Start a read; return whether it must be fresh."""
        self.running = True
        factor = 1 if owns_service else _IDLE_REGISTRY_FACTOR
        self.next_ms = now_ms + _STALE_READ_MS * factor
        fresh = self.needs_fresh or self.reads % _FRESH_READ_EVERY == 0
        self.needs_fresh = self.needs_fresh and not owns_service
        return owns_service and fresh

    def expedite(self, now_ms: int) -> None:
        """Read often for some time while instances are missing."""
        self.expedite_until_ms = now_ms + _MISSING_READ_FOR_MS

    def finish(self, complete: bool | None, now_ms: int) -> None:
        """Handle the end of a read.

        Args:
          complete: Whether each service has instances; None if the read failed.
          now_ms: Current time.
        """
        self.running = False
        if complete is None:
            self.reads = 0
            if not self.known:
                self.next_ms = now_ms
            return
        self.known = True
        self.reads += 1
        if not complete and now_ms < self.expedite_until_ms:
            self.reads = 0
            self.next_ms = now_ms + _MISSING_READ_MS


class MemberSchedule:
    """Schedule of member reads.

    Attributes:
      next_ms: When the next read is due.
      last_ms: When the last read was sent.
      pause_ms: Pause after the next read, before the upper limit is applied.
      known: Whether a read has succeeded.
    """

    __slots__ = ('next_ms', 'last_ms', 'pause_ms', 'known')

    def __init__(self) -> None:
        """Schedule the first read at once."""
        self.next_ms = 0
        self.last_ms = 0
        self.pause_ms = _FIRST_MEMBERS_MS
        self.known = False

    def start(self, now_ms: int, *, owns_service: bool) -> None:
        """Start a read and schedule the next one."""
        longest_ms = _OWNER_MEMBERS_MS if owns_service else _IDLE_MEMBERS_MS
        pause_ms = min(self.pause_ms, longest_ms)
        self.pause_ms = pause_ms * 2
        self.last_ms = now_ms
        self.next_ms = now_ms + pause_ms

    def finish(self, *, succeeded: bool, now_ms: int) -> None:
        """Handle the end of a read.

        Until one has succeeded, a failed read is repeated as soon as the store
        may be called.
        """
        self.known = self.known or succeeded
        if not self.known:
            self.next_ms = now_ms
            self.pause_ms = _FIRST_MEMBERS_MS

    def on_restored(self, now_ms: int) -> None:
        """Read again once the nodes have written their keys again."""
        self.pause_ms = _FIRST_MEMBERS_MS
        self.next_ms = now_ms + _RESTORED_MEMBERS_MS

    def expedite(self) -> None:
        """Read earlier, since no known owner could be reached."""
        self.next_ms = min(self.next_ms, self.last_ms + _UNREACHABLE_MEMBERS_MS)
