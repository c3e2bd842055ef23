"""Store keys of the SQL proxy, and the stored record of the leader."""

import msgspec

from jacinthhaven.records import store

# Time in which an unanswered promotion order may still be carried out.
LATE_ORDER_MS = 12_000
# Time within which an accepted promotion is expected to be complete.
PROMOTE_LIMIT_MS = 4000


class LeaderRecord(msgspec.Struct):
    """Stored record of the leader of a service, or of its successor.

    Attributes:
      instance: Instance that leads, or that is to be promoted.
      term: Its term.
      moving: Whether the promotion order may not have been carried out yet.
      fence: Fencing token of the promotion.
      accepted: Whether the platform has accepted the order, which then is
        not carried out much later.
    """

    instance: str
    term: int
    moving: bool
    fence: int = 0
    accepted: bool = False


class Keys:
    """Names of the store keys that the nodes write."""

    def __init__(self, prefix: str) -> None:
        """Put all names under a prefix."""
        self.prefix = prefix

    def suspicion(self, service: str, node: str) -> str:
        """Return the key of a node's suspicion about the primary."""
        return f'{self.prefix}doubt/{service}/{node}'

    def promotion_lock(self, service: str) -> str:
        """Return the key of the promotion lock."""
        return f'{self.prefix}duty/{service}'

    def leader(self, service: str) -> str:
        """Return the key of the leader record."""
        return f'{self.prefix}lead/{service}'


def write_request(
    keys: Keys, service: str, record: LeaderRecord
) -> store.SwapRequest:
    """Return the request that writes a leader record.

    It succeeds only while the node of the record's fencing token holds the
    promotion lock.
    """
    text = msgspec.json.encode(record).decode()
    return store.SwapRequest(
        (store.Compare(keys.promotion_lock(service), record.fence),),
        (store.Put(keys.leader(service), text),),
    )


class PendingOrders:
    """Promotion orders that may still be carried out.

    Attributes:
      record: Last leader record.
      record_ms: When this node learned of the record's content.
      unanswered_until_ms: Time until which an unanswered order of this node may
        still be carried out.
    """

    __slots__ = ('record', 'record_ms', 'unanswered_until_ms')

    def __init__(self) -> None:
        """Start without a known order."""
        self.record: LeaderRecord | None = None
        self.record_ms = 0
        self.unanswered_until_ms = 0

    @property
    def moving(self) -> bool:
        """Return whether the last order may not be carried out yet."""
        return self.record is not None and self.record.moving

    def on_record(self, record: LeaderRecord, now_ms: int) -> None:
        """Accept a leader record; a repeated one keeps its first time."""
        known = self.record
        self.record = record
        if known is None or _without_fence(known) != _without_fence(record):
            self.record_ms = now_ms

    def on_unanswered(self, now_ms: int) -> None:
        """Record that an order had no answer."""
        self.unanswered_until_ms = now_ms + LATE_ORDER_MS

    def pending(self, term: int, fence: int, now_ms: int) -> str:
        """Return the instance of an earlier order that may still act, or ''.

        Args:
          term: Newest known term.
          fence: Fencing token of the current promotion.
          now_ms: Current time.
        """
        record = self.record
        if record is None or not record.moving or record.term <= term:
            return ''
        if now_ms < self.unanswered_until_ms:
            return record.instance
        limit_ms = PROMOTE_LIMIT_MS if record.accepted else LATE_ORDER_MS
        if record.fence == fence or now_ms - self.record_ms >= limit_ms:
            return ''
        return record.instance

    def repeat(self) -> None:
        """Keep the limit of an order whose record is written again."""
        self.unanswered_until_ms = max(
            self.unanswered_until_ms,
            self.record_ms + LATE_ORDER_MS,
        )


def _without_fence(record: LeaderRecord) -> tuple[str, int, bool, bool]:
    """Return the content of a record apart from its fencing token."""
    return (record.instance, record.term, record.moving, record.accepted)
