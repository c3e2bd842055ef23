"""What this node knows about one instance: links, load and reachability."""

from jacinthhaven.sql import averages, links, records, window

# Assumed until statements were measured.
_FIRST_LATENCY_MS = 25.0
_FIRST_REPLICATION_MS = 120.0
# Added to the measured replication delay before a read is sent.
_REPLICATION_MARGIN_MS = 30
# A reply that is missing for longer than nearly all statements take counts
# as lost if the instance answers others.
LOST_REPLY_MS = 350
# A reply that is missing for longer than the slowest statements of a busy
# instance makes it suspect.
SUSPECT_MS = 600
# Registry entries that expired during an outage of the store are back
# within two seconds of its return.
RETURN_MS = 2500
# An instance that leaves gets no work after this time; the operators allow
# seven seconds from their own note, which reaches a node later.
LAST_WORK_MS = 4500


class InstanceState:
    """Links and measurements of one instance.

    Attributes:
      entry: Registry entry.
      links: Open and opening links.
      window: Limit of the statements in flight.
      latency: Time of single reads in milliseconds.
      replication: How far the instance lags in milliseconds.
      applied: Newest position that the instance has shown.
      behind_ms: Since when it refuses reads as too far behind, or None.
      behind_until_ms: Until when it is not offered reads after it lagged.
      closed_until_ms: Until when no link is opened after a failure.
      borrow_until_ms: Until when links are borrowed instead of opened.
      next_borrow_ms: When the next link may be borrowed.
      missing_ms: Since when the registry lacks it, or None.
      leaving_ms: Since when it is known to leave or to be gone.
      failed_ms: Since when links cannot be opened or replies are missing,
        or None.
      heard_ms: When something was last heard.
      suspect: Whether its silence was noted and has not ended.
    """

    __slots__ = (
        'entry',
        'links',
        'window',
        'latency',
        'replication',
        'applied',
        'behind_ms',
        'behind_until_ms',
        'closed_until_ms',
        'borrow_until_ms',
        'next_borrow_ms',
        'missing_ms',
        'leaving_ms',
        'failed_ms',
        'heard_ms',
        'suspect',
    )

    def __init__(self, entry: records.Instance, now_ms: int) -> None:
        """Start without links."""
        self.entry = entry
        self.links: list[links.Link] = []
        self.window = window.Window()
        self.latency = averages.FadingAverage(_FIRST_LATENCY_MS, now_ms)
        self.replication = averages.FadingAverage(
            _FIRST_REPLICATION_MS,
            now_ms,
        )
        self.applied: records.Position | None = None
        self.behind_ms: int | None = None
        self.behind_until_ms = 0
        self.closed_until_ms = 0
        self.borrow_until_ms = 0
        self.next_borrow_ms = 0
        self.missing_ms: int | None = None
        self.leaving_ms: int | None = None
        self.failed_ms: int | None = None
        self.heard_ms = now_ms
        self.suspect = False

    def usable_at(self, now_ms: int) -> bool:
        """Return whether reads that other instances can serve may be sent."""
        if self.entry.leaving or self.silent_for(now_ms) >= SUSPECT_MS:
            return False
        missing_ms = self.missing_ms
        return missing_ms is None or now_ms - missing_ms < RETURN_MS

    def reachable_at(self, now_ms: int) -> bool:
        """Return whether the instance answers and may still get work."""
        if self.silent_for(now_ms) >= SUSPECT_MS:
            return False
        leaving_ms = self.leaving_ms
        return leaving_ms is None or now_ms - leaving_ms < LAST_WORK_MS

    def describe(self, entry: records.Instance, now_ms: int) -> None:
        """Take over a newer registry entry."""
        self.entry = entry
        self.missing_ms = None
        if not entry.leaving:
            self.leaving_ms = None
        elif self.leaving_ms is None:
            self.leaving_ms = now_ms

    def vanish(self, now_ms: int) -> None:
        """Note that the registry does not list the instance any more."""
        if self.missing_ms is None:
            self.missing_ms = now_ms
        if self.leaving_ms is None and now_ms - self.missing_ms >= RETURN_MS:
            self.leaving_ms = self.missing_ms

    @property
    def free_links(self) -> list[links.Link]:
        """Return the links that can take new work."""
        return [link for link in self.links if link.free]

    def running_at(self, now_ms: int) -> int:
        """Return how many commands are expected to occupy the instance.

        A reply that takes very long is lost rather than late.
        """
        since_ms = now_ms - LOST_REPLY_MS
        return sum(
            link.sent is not None and link.sent_ms > since_ms
            for link in self.links
        )

    def has_room(self, now_ms: int) -> bool:
        """Return whether a further statement may be in flight."""
        return self.window.allows(self.running_at(now_ms))

    def open_links(self, now_ms: int) -> list[links.Link]:
        """Return the links that may carry a further statement now."""
        return self.free_links if self.has_room(now_ms) else []

    def heard(self, now_ms: int) -> None:
        """Note any sign of life."""
        self.heard_ms = now_ms
        self.failed_ms = None

    def missed(self, sent_ms: int) -> None:
        """Note that the reply to a command did not come."""
        if self.failed_ms is None and self.heard_ms <= sent_ms:
            self.failed_ms = sent_ms

    def silent_for(self, now_ms: int) -> int:
        """Return for how long an expected reply has been missing."""
        since = [link.sent_ms for link in self.links if link.waiting]
        if self.failed_ms is not None:
            since.append(self.failed_ms)
        if not since:
            return 0
        return now_ms - max(min(since), self.heard_ms)

    def expected_ms(self, now_ms: int) -> float:
        """Return the expected time of a further statement."""
        waiting = self.running_at(now_ms) / max(self.entry.slots, 1)
        return self.latency.expected(now_ms) * (1 + waiting)

    def behind_for(self, now_ms: int) -> int:
        """Return for how long it has refused all reads as too far behind."""
        return 0 if self.behind_ms is None else now_ms - self.behind_ms

    def has_applied(
        self,
        position: records.Position,
        age_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether a position is probably applied."""
        if now_ms < self.behind_until_ms:
            return False
        if self.applied is not None and self.applied >= position:
            return True
        delay_ms = self.replication.expected(now_ms)
        return age_ms >= delay_ms + _REPLICATION_MARGIN_MS
