"""Store keys of the SQL proxy, and the stored record of the leader."""

import msgspec

from jacinthhaven.records import store

# Time in which an unanswered promotion order may still be carried out.
LATE_ORDER_MS = 12_000
# Time within which an accepted promotion is expected to be complete.
PROMOTE_LIMIT_MS = 4000


class Lead(msgspec.Struct):
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

    def doubt(self, service: str, node: str) -> str:
        """Return the key of a node's suspicion about the primary."""
        return f'{self.prefix}doubt/{service}/{node}'

    def promotion_lock(self, service: str) -> str:
        """Return the key of the promotion lock."""
        return f'{self.prefix}duty/{service}'

    def lead(self, service: str) -> str:
        """Return the key of the leader record."""
        return f'{self.prefix}lead/{service}'


def write(keys: Keys, service: str, lead: Lead) -> store.SwapRequest:
    """Return the request that writes a leader record.

    It succeeds only while the node of the record's fencing token holds the
    promotion lock.
    """
    text = msgspec.json.encode(lead).decode()
    return store.SwapRequest(
        (store.Compare(keys.promotion_lock(service), lead.fence),),
        (store.Put(keys.lead(service), text),),
    )


class Orders:
    """Promotion orders that may still be carried out.

    Attributes:
      note: Last leader record.
      note_ms: When this node learned of the content of the record.
      unsure_until_ms: Time until which an unanswered order of this node may
        still be carried out.
    """

    __slots__ = ('note', 'note_ms', 'unsure_until_ms')

    def __init__(self) -> None:
        """Start without a known order."""
        self.note: Lead | None = None
        self.note_ms = 0
        self.unsure_until_ms = 0

    @property
    def moving(self) -> bool:
        """Return whether the last order may not be carried out yet."""
        return self.note is not None and self.note.moving

    def learn(self, lead: Lead, now_ms: int) -> None:
        """Accept a leader record; a repeated one keeps its first time."""
        known = self.note
        self.note = lead
        if known is None or _without_fence(known) != _without_fence(lead):
            self.note_ms = now_ms

    def unanswered(self, now_ms: int) -> None:
        """Record that an order had no answer."""
        self.unsure_until_ms = now_ms + LATE_ORDER_MS

    def pending(self, term: int, fence: int, now_ms: int) -> str:
        """Return the instance of an earlier order that may still act, or ''.

        Args:
          term: Newest known term.
          fence: Fencing token of the current promotion.
          now_ms: Current time.
        """
        note = self.note
        if note is None or not note.moving or note.term <= term:
            return ''
        if now_ms < self.unsure_until_ms:
            return note.instance
        limit_ms = PROMOTE_LIMIT_MS if note.accepted else LATE_ORDER_MS
        if note.fence == fence or now_ms - self.note_ms >= limit_ms:
            return ''
        return note.instance

    def repeat(self) -> None:
        """Keep the limit of an order whose record is written again."""
        self.unsure_until_ms = max(
            self.unsure_until_ms,
            self.note_ms + LATE_ORDER_MS,
        )


def _without_fence(lead: Lead) -> tuple[str, int, bool, bool]:
    """Return the content of a record apart from its fencing token."""
    return (lead.instance, lead.term, lead.moving, lead.accepted)
