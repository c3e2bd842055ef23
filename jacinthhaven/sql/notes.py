"""Names of the keys of this product, and the stored note on who leads."""

import msgspec

from jacinthhaven.records import store

# An order without an answer may be carried out this much later.
LATE_ORDER_MS = 12_000
# How long a replaced primary's successor is expected to take at most.
PROMOTE_LIMIT_MS = 4000


class Lead(msgspec.Struct):
    """Stored note on who leads a service, or is about to.

    Attributes:
      instance: Instance that leads, or that an order names.
      term: Its term.
      moving: Whether the order may still have to be carried out.
      fence: Number of the promotion.
      accepted: Whether the platform has accepted the order, so that it is
        not carried out much later.
    """

    instance: str
    term: int
    moving: bool
    fence: int = 0
    accepted: bool = False


class Keys:
    """Names of the keys of this product."""

    def __init__(self, prefix: str) -> None:
        """Use names that start with a prefix."""
        self.prefix = prefix

    def doubt(self, service: str, node: str) -> str:
        """Return the key under which a node doubts a primary."""
        return f'{self.prefix}doubt/{service}/{node}'

    def duty(self, service: str) -> str:
        """Return the key of the duty to promote."""
        return f'{self.prefix}duty/{service}'

    def lead(self, service: str) -> str:
        """Return the key that names the leader."""
        return f'{self.prefix}lead/{service}'


def write(keys: Keys, service: str, lead: Lead) -> store.SwapRequest:
    """Return the call that writes a note while its writer has the duty."""
    note = msgspec.json.encode(lead).decode()
    return store.SwapRequest(
        (store.Compare(keys.duty(service), lead.fence),),
        (store.Put(keys.lead(service), note),),
    )


class Orders:
    """What is known of orders that may still be carried out.

    Attributes:
      note: Last note of a holder of the duty.
      note_ms: When this node learned of it.
      unsure_until_ms: Until when an order that had no answer may be carried
        out.
    """

    __slots__ = ('note', 'note_ms', 'unsure_until_ms')

    def __init__(self) -> None:
        """Know of no order."""
        self.note: Lead | None = None
        self.note_ms = 0
        self.unsure_until_ms = 0

    @property
    def moving(self) -> bool:
        """Return whether the last order may have to be carried out."""
        return self.note is not None and self.note.moving

    def learn(self, lead: Lead, now_ms: int) -> None:
        """Accept a note; one that says the same again is not newer."""
        known = self.note
        self.note = lead
        if known is None or _subject(known) != _subject(lead):
            self.note_ms = now_ms

    def unanswered(self, now_ms: int) -> None:
        """Note that an order had no answer."""
        self.unsure_until_ms = now_ms + LATE_ORDER_MS

    def pending(self, term: int, fence: int, now_ms: int) -> str:
        """Return the instance that an earlier order names, or ''.

        Args:
          term: Newest known term.
          fence: Number of the present promotion.
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
        """Remember the order of a note that is about to be written again."""
        self.unsure_until_ms = max(
            self.unsure_until_ms,
            self.note_ms + LATE_ORDER_MS,
        )


def _subject(lead: Lead) -> tuple[str, int, bool, bool]:
    """Return what a note says, whoever wrote it."""
    return (lead.instance, lead.term, lead.moving, lead.accepted)
