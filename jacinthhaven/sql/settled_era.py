"""Whether locks of the time before a restore of the store may still be in use.

A restore loses the promotion locks, but their holders may not know that yet. They
stop by their own clocks within the time to live of a lock. Where the platform checks
no fencing tokens, nobody orders a promotion until then unless all owners have
agreed, and a node that has just started confirms no term, since it cannot learn of
a promotion that is under way. A record in the store tells nodes that start later
that this time is over.
"""

import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import promotion_lock, scripts

# Time after which locks of an earlier era have ended.
_LOCKS_END_MS = promotion_lock.LOCK_TTL_MS
# Delay of a node's record for each node that sorts before it, so that usually only
# one node writes it.
_STAGGER_STEP_MS = 500
# Interval of attempts to write the record.
_RETRY_MS = 1000


class SettledEra:
    """Knowledge of one node about the era of the store.

    Attributes:
      era: Era of the store; 0 while unknown.
      since_ms: When this node learned of the era.
      record: Text of the record, which is the era that was settled last; ''
        without one.
      revision: Revision of the record; `history.NONE` without one.
      writing: Whether a write of the record is under way.
      next_write_ms: Earliest time of the next write.
    """

    __slots__ = (
        'key',
        'perform',
        'era',
        'since_ms',
        'record',
        'revision',
        'writing',
        'next_write_ms',
    )

    def __init__(self, key: str, perform: scripts.Perform) -> None:
        """Start without knowing the era.

        Args:
          key: Key of the record.
          perform: Calls the store.
        """
        self.key = key
        self.perform = perform
        self.era = 0
        self.since_ms = 0
        self.record = ''
        self.revision = history.NONE
        self.writing = False
        self.next_write_ms = 0

    @property
    def is_recorded(self) -> bool:
        """Return whether the record says that the era is settled."""
        return self.record == str(self.era)

    def is_settled(self, now_ms: int) -> bool:
        """Return whether no lock of an earlier era is in use any more."""
        if self.era <= history.FIRST_ERA or self.is_recorded:
            return True
        return now_ms - self.since_ms >= _LOCKS_END_MS

    def on_key(self, text: str | None, revision: history.EraNumber) -> None:
        """Accept the record, or None if there is none."""
        self.revision = history.NONE if text is None else revision
        self.record = text or ''

    def on_restored(self, now_ms: int) -> None:
        """Wait again, since the store was restored."""
        self.since_ms = now_ms

    def on_era(self, era: int, now_ms: int) -> None:
        """Set the era of the store; 0 while it is unknown."""
        if era != self.era:
            self.era = era
            self.since_ms = now_ms

    def record_if_due(self, rank: int, now_ms: int) -> None:
        """Write the record once the era is settled.

        Args:
          rank: Number of nodes that sort before this one.
          now_ms: Current time.
        """
        if self.era <= history.FIRST_ERA or self.is_recorded or self.writing:
            return
        due_ms = self.since_ms + _LOCKS_END_MS + rank * _STAGGER_STEP_MS
        if now_ms < max(due_ms, self.next_write_ms):
            return
        self.next_write_ms = now_ms + _RETRY_MS
        self.writing = True
        request = store.SwapRequest(
            (store.Compare(self.key, self.revision),),
            (store.Put(self.key, str(self.era)),),
        )
        self.perform(request, self._on_written)

    def _on_written(self, _reply: typing.Any) -> None:
        # The watch reports the record, also that of another node.
        self.writing = False
