"""What a node knows, and has known, of the set of owners."""

import functools
import typing

from jacinthhaven.kernel import ranking
from jacinthhaven.quotas import messages

# Two nodes may know different owners for so long. A former set of owners is
# remembered for this time.
MEMORY_MS = 10_000
# Former sets that are remembered. With more changes than that, the memory
# counts as lost, so that a message fits in one datagram.
_MAX_FORMER = 6
# An owner that was not heard for this time, in which it sends three questions,
# is not considered as an accountant, at least for the second time, so that a bad
# link changes the accountants rarely.
SILENT_MS = 1200
_AVOID_MS = 5000
# After a longer time between two checks, this node stood still itself, and must
# not take the others for silent.
_MAX_CHECK_GAP_MS = 300
# Age at which owners that another node still knows are remembered anew. Pledges
# by what this node itself knew then are over.
_REFRESH_MS = 2000
_CACHED_RANKS = 4096

Names = tuple[str, ...]


class Owners(typing.NamedTuple):
    """Owners as one node knows them at a time.

    Attributes:
      names: Names of all owners, sorted; a majority of them must be pledged to
        an accountant.
      candidates: Those that may be accountants.
    """

    names: Names = ()
    candidates: Names = ()


def without(names: Names, silent: typing.Container[str]) -> Owners:
    """Return owners, some of which may not be accountants."""
    return Owners(names, tuple(name for name in names if name not in silent))


@functools.lru_cache(maxsize=_CACHED_RANKS)
def accountant(customer: str, candidates: Names) -> str:
    """Return the accountant of a customer, or '' without candidates."""
    ranked = ranking.ranked(customer, candidates)
    return ranked[0] if ranked else ''


class OwnerViews:
    """Owners as one node knows them now, and knew them before.

    Attributes:
      node: Name of the node; '' until the owners are known.
      owners: Owners now.
      former: Owners known before and when they were replaced, the newest
        first.
      since_ms: Time since which `former` is complete; None before the start.
      owner_since_ms: Time since which the node is an owner itself, or None.
      heard_ms: When each owner was last heard.
      avoided_ms: When each silent owner was found to be silent.
      checked_ms: When silent owners were last looked for.
      grace_until_ms: Time before which no owner is found to be silent.
    """

    __slots__ = (
        'node',
        'owners',
        'former',
        'since_ms',
        'owner_since_ms',
        'heard_ms',
        'avoided_ms',
        'checked_ms',
        'grace_until_ms',
    )

    def __init__(self) -> None:
        """Know no owners."""
        self.node = ''
        self.owners = Owners()
        self.former: list[tuple[Owners, int]] = []
        self.since_ms: int | None = None
        self.owner_since_ms: int | None = None
        self.heard_ms: dict[str, int] = {}
        self.avoided_ms: dict[str, int] = {}
        self.checked_ms = 0
        self.grace_until_ms = 0

    def start(self, now_ms: int) -> None:
        """Note the time of the first call, from which on nothing is missed."""
        if self.since_ms is None:
            self.since_ms = now_ms

    def update(self, names: Names, node: str, now_ms: int) -> bool:
        """Set the owners; return whether they have changed."""
        self.node = node
        for name in names:
            if name not in self.owners.names:
                self.heard_ms[name] = now_ms
        if node not in names:
            self.owner_since_ms = None
        elif self.owner_since_ms is None:
            self.owner_since_ms = now_ms
        return self._replace(names, now_ms)

    def learn(self, owners: Owners, now_ms: int) -> bool:
        """Remember owners that another node knows.

        A node that has just started remembers none; the accountant of others
        that it does not know may still act.

        Returns:
          Whether they were not known.
        """
        if not owners.names or owners.names == self.owners.names:
            return False
        for index, (known, replaced_ms) in enumerate(self.former):
            if known.names == owners.names:
                if now_ms - replaced_ms > _REFRESH_MS:
                    self.former.pop(index)
                    self._remember(owners, now_ms)
                return False
        self._remember(owners, now_ms)
        return True

    def update_silent(self, now_ms: int) -> bool:
        """Find the silent owners; return whether they have changed."""
        gap_ms = now_ms - self.checked_ms
        self.checked_ms = now_ms
        if gap_ms > _MAX_CHECK_GAP_MS:
            self.grace_until_ms = now_ms + SILENT_MS
        if now_ms < self.grace_until_ms or self.owner_since_ms is None:
            return False
        for name in self.owners.names:
            silent = now_ms - self.heard_ms.get(name, now_ms) >= SILENT_MS
            if silent and name != self.node:
                self.avoided_ms.setdefault(name, now_ms)
            elif now_ms - self.avoided_ms.get(name, now_ms) >= _AVOID_MS:
                self.avoided_ms.pop(name)
        return self._replace(self.owners.names, now_ms)

    def described(self, now_ms: int) -> tuple[messages.FormerOwners, ...]:
        """Return the former owners and their ages."""
        self._forget_old(now_ms)
        return tuple(
            messages.FormerOwners(
                owners.names, owners.candidates, now_ms - replaced_ms
            )
            for owners, replaced_ms in self.former
        )

    def memory_ms(self, now_ms: int) -> int:
        """Return the time for which no change was missed or forgotten."""
        return 0 if self.since_ms is None else now_ms - self.since_ms

    def owner_for_ms(self, now_ms: int) -> int:
        """Return the time for which this node is an owner, or -1."""
        if self.owner_since_ms is None:
            return -1
        return now_ms - self.owner_since_ms

    def largest_count(self, now_ms: int) -> int:
        """Return the largest number of owners in any remembered set."""
        self._forget_old(now_ms)
        largest = len(self.owners.names)
        for owners, _replaced_ms in self.former:
            largest = max(largest, len(owners.names))
        return largest

    def _replace(self, names: Names, now_ms: int) -> bool:
        """Set what is known now, and remember what was known before."""
        owners = without(names, self.avoided_ms)
        if owners == self.owners:
            return False
        if self.owners.names:
            self._remember(self.owners, now_ms)
        self.owners = owners
        return True

    def _remember(self, owners: Owners, now_ms: int) -> None:
        self.former.insert(0, (owners, now_ms))
        if len(self.former) > _MAX_FORMER:
            self.former.pop()
            self.since_ms = now_ms

    def _forget_old(self, now_ms: int) -> None:
        """Forget the sets of owners that no node uses any more."""
        oldest_ms = now_ms - MEMORY_MS
        while self.former and self.former[-1][1] <= oldest_ms:
            self.former.pop()
