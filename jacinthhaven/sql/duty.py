"""Duty to promote: taken by compare-and-swap, held under a lease.

The revision of the duty's key is the fencing number, so that each attempt
has a higher one than all before.
"""

from jacinthhaven.records import store
from jacinthhaven.sql import scripts

# Time to live of the duty; nobody else acts meanwhile.
DUTY_MS = 3000
# The holder sends no order in the last part of its lease: the store counts it
# from the arrival of the call, this node from its sending, and the order is
# under way for a moment.
_RESERVE_MS = 300
# The lease is renewed when less than this is left.
_RENEW_MS = 1500


class Duty:
    """Duty to promote an instance of one service.

    Attributes:
      key: Its key in the store.
      node: Name of this node.
      revision: Revision of the key; 0 while nobody has the duty.
      holder: Node that has it, or ''.
      fence: Fencing number of this node's own attempt; what others hold does
        not change it.
      until_ms: Until when this node may send an order as its holder.
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
        """Know of no holder."""
        self.key = key
        self.node = node
        self.revision = 0
        self.holder = ''
        self.fence = 0
        self.until_ms = 0
        self.lease = 0

    @property
    def held_elsewhere(self) -> bool:
        """Return whether another node has the duty."""
        return self.revision > 0 and self.holder != self.node

    def learn(self, holder: str | None, revision: int) -> None:
        """Accept the present holder, or None if nobody has the duty."""
        self.revision = 0 if holder is None else revision
        self.holder = holder or ''

    def take(self, clock: scripts.Now) -> scripts.Script:
        """Return the fencing number, or 0 if the duty was not obtained."""
        sent_ms = clock()
        lease = yield store.LeaseRequest(DUTY_MS)
        if not isinstance(lease, store.LeaseReply) or not lease.lease:
            return 0
        reply = yield store.SwapRequest(
            (store.Compare(self.key, self.revision),),
            (store.Put(self.key, self.node, lease.lease),),
        )
        if not isinstance(reply, store.SwapReply) or not reply.succeeded:
            return 0
        self.learn(self.node, reply.revision)
        self.fence = reply.revision
        self.lease = lease.lease
        self.until_ms = sent_ms + DUTY_MS - _RESERVE_MS
        return reply.revision

    def keep(self, clock: scripts.Now) -> scripts.Script:
        """Return whether the duty lasts long enough to send an order."""
        if self.until_ms - clock() >= _RENEW_MS:
            return True
        sent_ms = clock()
        lease = yield store.KeepAliveRequest(self.lease)
        if not isinstance(lease, store.LeaseReply) or not lease.ttl_ms:
            return False
        self.until_ms = sent_ms + DUTY_MS - _RESERVE_MS
        return True
