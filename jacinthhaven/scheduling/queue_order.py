"""Order in which the statements of all owners wait for a slot."""

import enum
import typing

from jacinthhaven.scheduling import shares
from jacinthhaven.sql import peer_messages


Group = tuple[int, bool]


class Standing(enum.IntEnum):
    """Claim of a statement to a slot; lower ones are served first.

    IN_TIME was admitted with a wait that lets it meet its target. DEFERRED
    was not, but may still meet it. LATE can no longer meet it.
    """

    IN_TIME = 0
    DEFERRED = 1
    LATE = 2


class Times(typing.NamedTuple):
    """Times of one waiting statement, on the clock of the dispatcher.

    Attributes:
      arrived_ms: When it arrived at its owner.
      due_ms: Its target, or None if its owner does not report it.
      until_ms: Its timeout, or None.
    """

    arrived_ms: int
    due_ms: int | None = None
    until_ms: int | None = None


class Entry(typing.NamedTuple):
    """Waiting statement in the order of the queue.

    Attributes:
      standing: Its claim to a slot.
      priority: Priority; 0 is the highest.
      start_ms: Slot time that its customer has used before it, relative to
        the virtual time of the shares; 0 if no statement has a customer.
      arrived_ms: When it arrived at its owner.
      owner: Name of the owner.
      number: Number of the statement at its owner.
      needs_primary: Whether only the primary can execute it.
      waiting: Statement as reported.
    """

    standing: Standing
    priority: int
    start_ms: float
    arrived_ms: int
    owner: str
    number: int
    needs_primary: bool
    waiting: peer_messages.Waiting

    @property
    def group(self) -> Group:
        """Return the key of the shares: customers compete for the same slots."""
        return (self.priority, self.needs_primary)

    @property
    def has_link(self) -> bool:
        """Return whether its owner has a free link for it."""
        return self.waiting.linked is None or bool(self.waiting.linked)


def times_at(waiting: peer_messages.Waiting, now_ms: int) -> Times:
    """Return the times of a statement from its first report."""
    arrived_ms = now_ms - waiting.waited_ms
    if waiting.left_ms < 0:
        return Times(arrived_ms)
    return Times(
        arrived_ms, now_ms + waiting.in_time_ms, now_ms + waiting.left_ms
    )


def standing_at(
    waiting: peer_messages.Waiting,
    times: Times,
    now_ms: int,
    *,
    deferred: bool,
) -> Standing:
    """Return the claim of a statement; it never improves."""
    if times.due_ms is not None:
        if now_ms + waiting.service_ms >= times.due_ms:
            return Standing.LATE
    return Standing.DEFERRED if deferred else Standing.IN_TIME


def in_order(
    entries: list[Entry], by_priority: shares.SharesByPriority
) -> list[Entry]:
    """Return entries sorted by claim, priority, fair share and arrival."""
    entries.sort()
    if not any(entry.waiting.customer for entry in entries):
        return entries
    used_ms: dict[tuple[Group, str], float] = {}
    ordered = []
    for entry in entries:
        customer = entry.waiting.customer
        turn = (entry.group, customer)
        if turn not in used_ms:
            fair = by_priority.of_group(entry.group)
            used_ms[turn] = fair.start_ms(customer) - fair.virtual_ms
        ordered.append(entry._replace(start_ms=used_ms[turn]))
        used_ms[turn] += entry.waiting.service_ms
    ordered.sort()
    return ordered
