"""Store keys of the SQL proxy, and the stored record of the leader."""

import msgspec

from jacinthhaven.records import history, store

# Time in which an unanswered promotion order may still be carried out.
LATE_ORDER_MS = 12_000
# Time within which an accepted promotion is expected to be complete.
PROMOTE_LIMIT_MS = 4000
# Delay of the write of a lost record for each node that sorts before, and the
# interval of a node's attempts.
_REWRITE_STEP_MS = 300
_REWRITE_RETRY_MS = 1000


class LeaderRecord(msgspec.Struct):
    """Stored record of the leader of a service, or of its successor.

    Attributes:
      instance: Instance that leads, or that is to be promoted; '' if a promotion
        was given up while no leader was known.
      term: Its term; 0 without an instance.
      moving: Whether the promotion order may not have been carried out yet.
      fence: Fencing token of the promotion.
      accepted: Whether the platform has accepted the order, which then is
        not carried out much later.
    """

    instance: str
    term: int
    moving: bool
    fence: history.EraNumber = history.NONE
    accepted: bool = False

    @property
    def progress(self) -> tuple[history.EraNumber, bool, bool]:
        """Return the place of the record among all records of a service."""
        return self.fence, not self.moving, self.accepted

    def supersedes(self, other: 'LeaderRecord | None') -> bool:
        """Return whether this record is newer than another one."""
        return other is None or self.progress > other.progress


# What decoding text of another writer may raise; deep nesting is one cause.
MALFORMED = (msgspec.DecodeError, RecursionError)
_decoder = msgspec.json.Decoder(LeaderRecord, dec_hook=history.decode_hook)
_encoder = msgspec.json.Encoder(enc_hook=history.encode_hook)


def decode(text: str) -> LeaderRecord:
    """Return the leader record in a JSON text.

    Raises:
      MALFORMED: If the text is not a leader record.
    """
    return _decoder.decode(text)


def encode(record: LeaderRecord) -> str:
    """Return a leader record as JSON."""
    return _encoder.encode(record).decode()


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

    @property
    def settled_era(self) -> str:
        """Return the key of the era whose predecessors left no locks."""
        return f'{self.prefix}era'


def write_request(
    keys: Keys, service: str, record: LeaderRecord
) -> store.SwapRequest:
    """Return the request that writes a leader record.

    It succeeds only while the node of the record's fencing token holds the
    promotion lock.
    """
    return store.SwapRequest(
        (store.Compare(keys.promotion_lock(service), record.fence),),
        (store.Put(keys.leader(service), encode(record)),),
    )


class StoredLeader:
    """Leader record of one service as the store has it.

    A restored store may have lost the newest record. The owners know it still, and
    one of them writes it again, so that nodes that start later find it.

    Attributes:
      key: Key of the record.
      record: Record, or None if there is no usable one.
      revision: Its revision; `history.NONE` without one.
      next_ms: Earliest time of the next write, or None if none is due.
    """

    __slots__ = ('key', 'record', 'revision', 'next_ms')

    def __init__(self, key: str) -> None:
        """Start without a record."""
        self.key = key
        self.record: LeaderRecord | None = None
        self.revision = history.NONE
        self.next_ms: int | None = None

    def on_key(
        self, record: LeaderRecord | None, revision: history.EraNumber
    ) -> None:
        """Accept the record, or None if there is no usable one."""
        self.record = record
        self.revision = revision

    def rewrite(
        self, known: LeaderRecord | None, rank: int, now_ms: int
    ) -> store.SwapRequest | None:
        """Return the request that writes a lost record again, if it is due.

        Args:
          known: Newest record that this node knows.
          rank: Number of nodes that sort before this one; they write earlier.
          now_ms: Current time.
        """
        if known is None or not known.supersedes(self.record):
            self.next_ms = None
            return None
        if self.next_ms is None:
            self.next_ms = now_ms + rank * _REWRITE_STEP_MS
        if now_ms < self.next_ms:
            return None
        self.next_ms = now_ms + _REWRITE_RETRY_MS
        return store.SwapRequest(
            (store.Compare(self.key, self.revision),),
            (store.Put(self.key, encode(known)),),
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

    def moves_beyond(self, term: int) -> bool:
        """Return whether an order of a later term may not be carried out yet."""
        record = self.record
        return record is not None and record.moving and record.term > term

    def on_record(self, record: LeaderRecord, now_ms: int) -> None:
        """Accept a leader record; a repeated one keeps its first time."""
        known = self.record
        self.record = record
        if known is None or _without_fence(known) != _without_fence(record):
            self.record_ms = now_ms

    def on_unanswered(self, now_ms: int) -> None:
        """Record that an order had no answer."""
        self.unanswered_until_ms = now_ms + LATE_ORDER_MS

    def pending(
        self,
        term: int,
        fence: history.EraNumber,
        now_ms: int,
    ) -> str:
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
