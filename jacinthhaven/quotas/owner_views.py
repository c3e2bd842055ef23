"""What a node knows, and has known, of the set of owners."""

import functools

from jacinthhaven.kernel import ranking
from jacinthhaven.quotas import messages

# Two nodes may know different owners for so long. A former set of owners is
# remembered for this time.
MEMORY_MS = 10_000
# Former sets that are remembered. With more changes than that, the memory
# counts as lost, so that a message fits in one datagram.
_MAX_FORMER = 6
_CACHED_RANKS = 4096

Names = tuple[str, ...]


@functools.lru_cache(maxsize=_CACHED_RANKS)
def accountant(customer: str, owners: Names) -> str:
    """Return the accountant of a customer, or '' if there are no owners."""
    ranked = ranking.ranked(customer, owners)
    return ranked[0] if ranked else ''


class OwnerViews:
    """Owners as one node knows them now, and knew them before.

    Attributes:
      node: Name of the node; '' until the owners are known.
      owners: Names of the owners, sorted.
      former: Owners known before and when they were replaced, the newest
        first.
      since_ms: Time since which `former` is complete; None before the start.
      owner_since_ms: Time since which the node is an owner itself, or None.
    """

    __slots__ = ('node', 'owners', 'former', 'since_ms', 'owner_since_ms')

    def __init__(self) -> None:
        """Know no owners."""
        self.node = ''
        self.owners: Names = ()
        self.former: list[tuple[Names, int]] = []
        self.since_ms: int | None = None
        self.owner_since_ms: int | None = None

    def start(self, now_ms: int) -> None:
        """Note the time of the first call, from which on nothing is missed."""
        if self.since_ms is None:
            self.since_ms = now_ms

    def update(self, names: Names, node: str, now_ms: int) -> bool:
        """Set the owners; return whether they have changed."""
        self.node = node
        if names == self.owners:
            return False
        if self.owners:
            self.former.insert(0, (self.owners, now_ms))
        self.owners = names
        if len(self.former) > _MAX_FORMER:
            self.former.pop()
            self.since_ms = now_ms
        if node not in names:
            self.owner_since_ms = None
        elif self.owner_since_ms is None:
            self.owner_since_ms = now_ms
        return True

    def forget_old(self, now_ms: int) -> None:
        """Forget the sets of owners that no node uses any more."""
        oldest_ms = now_ms - MEMORY_MS
        while self.former and self.former[-1][1] <= oldest_ms:
            self.former.pop()

    def memory_ms(self, now_ms: int) -> int:
        """Return the time for which no change was missed or forgotten."""
        return 0 if self.since_ms is None else now_ms - self.since_ms

    def described(self, now_ms: int) -> tuple[messages.FormerOwners, ...]:
        """Return the former owners and their ages."""
        self.forget_old(now_ms)
        return tuple(
            messages.FormerOwners(names, now_ms - replaced_ms)
            for names, replaced_ms in self.former
        )

    def owner_for_ms(self, now_ms: int) -> int:
        """Return the time for which this node is an owner, or -1."""
        if self.owner_since_ms is None:
            return -1
        return now_ms - self.owner_since_ms

    def largest_count(self, now_ms: int) -> int:
        """Return the largest number of owners in any remembered set."""
        self.forget_old(now_ms)
        largest = len(self.owners)
        for names, _replaced_ms in self.former:
            largest = max(largest, len(names))
        return largest
