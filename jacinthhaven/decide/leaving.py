"""Flags that mark backend servers as leaving.

A flag names one start of an instance, so it does not affect the instance
after a restart. Flags are not kept in the store: each has a counter of its
changes, and the higher counter wins when flags of several nodes are merged.
"""

import collections
import typing
import zlib

from jacinthhaven.records import gossip

PREFIX = 'leaving/'
# Cleared flags are kept for members that were out of contact this long.
_CLEARED_RETENTION_MS = 600_000


class LeavingFlags:
    """Flags by instance.

    Attributes:
      entries: Newest entry by key; a deleted entry is a cleared flag.
      digest: Hash of the flags that are set.
      unsent_changes: Whether a change was not yet sent to other members.
    """

    def __init__(self) -> None:
        """Start without flags."""
        self.entries: dict[str, gossip.Entry] = {}
        self.digest = 0
        self.unsent_changes = False
        self.cleared: collections.deque = collections.deque()

    def set_flag(self, instance: str, boot: str, now_ms: int) -> None:
        """Mark this start of an instance as leaving.

        Args:
          instance: Name of the instance.
          boot: Its current start; empty if unknown, which means the next
            start that is reported.
          now_ms: Current time.
        """
        if not self.is_leaving(instance, boot):
            self._change(instance, boot, cleared=False, now_ms=now_ms)

    def record_start(self, instance: str, boot: str, now_ms: int) -> None:
        """Record the start that an instance reports.

        This clears a flag of another start, and binds a flag without a
        start to this one.
        """
        flag = self.entries.get(PREFIX + instance)
        if flag is None or flag.deleted or flag.value == boot:
            return
        self._change(instance, boot, cleared=bool(flag.value), now_ms=now_ms)

    def is_leaving(self, instance: str, boot: str) -> bool:
        """Return whether this start of an instance is leaving."""
        flag = self.entries.get(PREFIX + instance)
        if flag is None or flag.deleted:
            return False
        return flag.value in {boot, ''}

    def merge(
        self,
        entries: typing.Iterable[gossip.Entry],
        now_ms: int,
    ) -> None:
        """Adopt the newer flags of another member."""
        newer = [entry for entry in entries if self._is_newer(entry)]
        for entry in newer:
            self.entries[entry.key] = entry
            if entry.deleted:
                self.cleared.append((now_ms, entry))
        if newer:
            self.unsent_changes = True
            self.digest = self._hash_set_flags()

    def expire(self, now_ms: int) -> None:
        """Drop flags that were cleared long ago."""
        while (
            self.cleared and self.cleared[0][0] < now_ms - _CLEARED_RETENTION_MS
        ):
            _, flag = self.cleared.popleft()
            if self.entries.get(flag.key) == flag:
                self.entries.pop(flag.key)

    def _change(
        self,
        instance: str,
        boot: str,
        cleared: bool,
        now_ms: int,
    ) -> None:
        key = PREFIX + instance
        old = self.entries.get(key)
        count = old.revision + 1 if old else 1
        self.merge([gossip.Entry(key, boot, count, 0, cleared)], now_ms)

    def _hash_set_flags(self) -> int:
        set_flags = [
            f'{flag.key}\0{flag.value}'
            for flag in self.entries.values()
            if not flag.deleted
        ]
        return zlib.crc32('\0'.join(sorted(set_flags)).encode())

    def _is_newer(self, entry: gossip.Entry) -> bool:
        old = self.entries.get(entry.key)
        return old is None or _precedence(entry) > _precedence(old)


def _precedence(entry: gossip.Entry) -> tuple[int, bool, str]:
    # Two nodes may change a flag at the same time; the set flag wins.
    return entry.revision, not entry.deleted, entry.value
