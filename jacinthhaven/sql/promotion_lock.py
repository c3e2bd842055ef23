"""Distributed lock for promotions, held under a lease in the store.

A node acquires the lock by compare-and-swap on its key. The revision of the
key is the fencing token, so every attempt has a higher one than all attempts
before, also if the store is restored in between.
"""

from jacinthhaven.records import history, store
from jacinthhaven.sql import scripts

# Time to live of the lock; no other node starts a promotion meanwhile.
LOCK_TTL_MS = 3000
# Part at the end of the lease in which the holder sends no promotion order:
# an order takes a moment to arrive, and the store counts the lease from the
# arrival of the call while this node counts it from its sending.
_SAFETY_MARGIN_MS = 300
# The lease is renewed when less time than this is left.
_RENEW_BELOW_MS = 1500


class PromotionLock:
    """Lock of one service; its holder may promote an instance.

    Attributes:
      key: Key of the lock in the store.
      node: Name of this node.
      revision: Revision of the key; `history.NONE` while no node holds the lock.
      holder: Node that holds the lock, or ''.
      fence: Fencing token of this node's own attempt; it does not change
        when other nodes acquire the lock.
      until_ms: Time until which this node may send an order as the holder.
      lease: Lease of this node's own attempt.
    """

    __slots__ = (
        'key',
        'node',
        'revision',
        'holder',
        'fence',
        'until_ms',
        'lease',
    )

    def __init__(self, key: str, node: str) -> None:
        """Start without a known holder."""
        self.key = key
        self.node = node
        self.revision = history.NONE
        self.holder = ''
        self.fence = history.NONE
        self.until_ms = 0
        self.lease = history.NONE

    @property
    def held_by_other(self) -> bool:
        """Return whether another node holds the lock."""
        return self.revision > 0 and self.holder != self.node

    def on_holder(
        self,
        holder: str | None,
        revision: history.EraNumber,
    ) -> None:
        """Accept the current holder, or None if no node holds the lock."""
        self.revision = history.NONE if holder is None else revision
        self.holder = holder or ''

    def on_restored(self) -> None:
        """Give the lock up, since the store has lost its lease."""
        self.on_holder(None, history.NONE)
        self.lease = history.NONE
        self.until_ms = 0

    def acquire(self, clock: scripts.Now) -> scripts.Script:
        """Acquire the lock; return the fencing token, or 0 on failure."""
        # Another node may acquire the lock while the lease is granted.
        free_revision = self.revision
        sent_ms = clock()
        lease = yield store.LeaseRequest(LOCK_TTL_MS)
        if not isinstance(lease, store.LeaseReply) or not lease.lease:
            return 0
        reply = yield store.SwapRequest(
            (store.Compare(self.key, free_revision),),
            (store.Put(self.key, self.node, lease.lease),),
        )
        if not isinstance(reply, store.SwapReply) or not reply.succeeded:
            return 0
        self.on_holder(self.node, reply.revision)
        self.fence = reply.revision
        self.lease = lease.lease
        self.until_ms = sent_ms + LOCK_TTL_MS - _SAFETY_MARGIN_MS
        return reply.revision

    def extend(self, clock: scripts.Now) -> scripts.Script:
        """Renew the lease if little time is left.

        Returns:
          Whether the lock is held for long enough to send an order.
        """
        if not self.lease:
            return False
        if self.until_ms - clock() >= _RENEW_BELOW_MS:
            return True
        sent_ms = clock()
        lease = yield store.KeepAliveRequest(self.lease)
        if not isinstance(lease, store.LeaseReply) or not lease.ttl_ms:
            return False
        self.until_ms = sent_ms + LOCK_TTL_MS - _SAFETY_MARGIN_MS
        return True
