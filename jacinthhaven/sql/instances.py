"""State of one instance: links, measured times, load and reachability."""

import typing

from jacinthhaven.balancing import server_health
from jacinthhaven.scheduling import window
from jacinthhaven.sql import averages, departures, links, records

# Initial values, assumed until statements were measured.
_INITIAL_LATENCY_MS = 25.0
_INITIAL_REPLICATION_MS = 120.0
# Safety margin added to the measured replication delay.
_REPLICATION_MARGIN_MS = 30
# Time after which a missing reply counts as lost, if the instance has started
# to execute the statement before or answers nothing at all; nearly all
# statements take less.
LOST_REPLY_MS = 350
# The same for an instance that answers nothing, as a multiple of the average
# latency, since it may be slow.
_LOST_PER_LATENCY = 4
# Time after which a missing reply makes an instance suspect; the slowest
# statements of a busy instance take less.
SUSPECT_MS = 600


class InstanceState:
    """Links and measurements of one instance; times are in milliseconds.

    Attributes:
      entry: Registry entry.
      links: Open and opening links.
      window: Limit of the statements in flight.
      health: Reads that failed there.
      latency: Moving average of the execution time of a read.
      replication: Moving average of the replication delay.
      applied: Last log position that the instance reported as applied.
      behind_ms: Time since which it refuses reads as too far behind, or None.
      behind_until_ms: Time until which it gets no reads after it lagged.
      next_open_ms: Time from which the next own link may be opened after
        a failure.
      borrow_until_ms: Time until which links are borrowed as well.
      next_borrow_ms: Time from which the next link may be borrowed.
      departure: What is known about its departure.
      failed_ms: Time since which links cannot be opened or replies are
        missing, or None.
      heard_ms: Time of the last message of the instance.
      suspect: Whether it was last logged as silent.
    """

    __slots__ = (
        'entry',
        'links',
        'window',
        'health',
        'latency',
        'replication',
        'applied',
        'behind_ms',
        'behind_until_ms',
        'next_open_ms',
        'borrow_until_ms',
        'next_borrow_ms',
        'departure',
        'failed_ms',
        'heard_ms',
        'suspect',
    )

    def __init__(self, entry: records.Instance, now_ms: int) -> None:
        """Create the state of an instance without links."""
        self.entry = entry
        self.links: list[links.Link] = []
        self.window = window.Window()
        self.health = server_health.ServerHealth()
        self.latency = averages.DecayingAverage(_INITIAL_LATENCY_MS, now_ms)
        self.replication = averages.DecayingAverage(
            _INITIAL_REPLICATION_MS,
            now_ms,
        )
        self.applied: records.Position | None = None
        self.behind_ms: int | None = None
        self.behind_until_ms = 0
        self.next_open_ms = 0
        self.borrow_until_ms = 0
        self.next_borrow_ms = 0
        self.departure = departures.Departure()
        self.failed_ms: int | None = None
        self.heard_ms = now_ms
        self.suspect = False

    def usable_at(self, now_ms: int) -> bool:
        """Return whether it may get reads that other instances could serve."""
        if self.entry.leaving or self.silent_for(now_ms) >= SUSPECT_MS:
            return False
        return not self.departure.is_missing_for_long(now_ms)

    def reachable_at(self, now_ms: int) -> bool:
        """Return whether it answers and may still get work that needs it."""
        if self.silent_for(now_ms) >= SUSPECT_MS:
            return False
        return self.departure.allows_work(now_ms)

    def update_entry(
        self, entry: records.Instance, now_ms: int, proved_ms: int | None
    ) -> None:
        """Apply a newer registry entry.

        Args:
          entry: The entry.
          now_ms: Current time.
          proved_ms: When its read was sent, or None if it may be old.
        """
        self.entry = entry
        self.departure.on_entry(entry.leaving, now_ms, proved_ms)

    @property
    def free_links(self) -> list[links.Link]:
        """Return the links that can execute new work."""
        return [link for link in self.links if link.free]

    def free_for(self, customer: str) -> list[links.Link]:
        """Return the links that can execute new work of a customer."""
        return [
            link
            for link in self.links
            if link.free and link.customer == customer
        ]

    def mark_overtaken(self, answered: links.Link, now_ms: int) -> None:
        """Record that a statement was answered.

        The instance executes statements in the order of their arrival, so it
        has started those that were sent before this one.
        """
        for link in self.links:
            if link.overtaken_ms is None and link.sent_ms < answered.sent_ms:
                link.overtaken_ms = now_ms

    def mark_lost_replies(self, now_ms: int) -> None:
        """Record which replies are presumed lost.

        A reply that is only late, because the statement is queued at the
        instance or the instance is slow, is not lost.
        """
        latency_ms = self.latency.expected(now_ms)
        patience_ms = max(LOST_REPLY_MS, _LOST_PER_LATENCY * latency_ms)
        silent = self.silent_for(now_ms) >= patience_ms
        for link in self.links:
            if silent or link.overtaken_for(now_ms) >= LOST_REPLY_MS:
                link.reply_lost = link.reply_lost or (
                    now_ms - link.sent_ms >= LOST_REPLY_MS
                )

    def in_flight(self) -> int:
        """Return how many commands await replies that are not lost."""
        return sum(
            link.in_flight is not None and not link.reply_lost
            for link in self.links
        )

    def has_room(self) -> bool:
        """Return whether the window allows one more statement in flight."""
        return self.window.allows(self.in_flight())

    def mark_heard(self, now_ms: int) -> None:
        """Record that the instance has answered."""
        self.heard_ms = now_ms
        self.failed_ms = None

    def mark_unanswered(self, sent_ms: int) -> None:
        """Record that the reply to a command sent at `sent_ms` is missing."""
        if self.failed_ms is None and self.heard_ms <= sent_ms:
            self.failed_ms = sent_ms

    def silent_for(self, now_ms: int) -> int:
        """Return for how long the instance owes a reply, in milliseconds."""
        since = [link.sent_ms for link in self.links if link.waiting]
        if self.failed_ms is not None:
            since.append(self.failed_ms)
        if not since:
            return 0
        return now_ms - max(min(since), self.heard_ms)

    def expected_ms(self, now_ms: int) -> float:
        """Return the expected execution time of one more statement."""
        waiting = self.in_flight() / max(self.entry.slots, 1)
        return self.latency.expected(now_ms) * (1 + waiting)

    def behind_for(self, now_ms: int) -> int:
        """Return for how long it has refused reads as too far behind."""
        return 0 if self.behind_ms is None else now_ms - self.behind_ms

    def has_applied(
        self,
        position: records.Position,
        age_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether a log position has probably been applied.

        Args:
          position: Log position.
          age_ms: Time since the primary had the position.
          now_ms: Current time.
        """
        if now_ms < self.behind_until_ms:
            return False
        if self.applied is not None and self.applied >= position:
            return True
        delay_ms = self.replication.expected(now_ms)
        return age_ms >= delay_ms + _REPLICATION_MARGIN_MS


States = typing.Mapping[str, InstanceState]
