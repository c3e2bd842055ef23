"""How long an instance that leaves may get new work.

The operators allow new work for some time after the store has accepted the notice
of an instance. No node knows that moment. What it can know is the latest time at
which the instance had not given notice yet: when a read was sent that cannot be
old, and that lists it as ready. The time is counted from there. A node that has just
started has no such proof, and asks the owners of the service for theirs.
"""

# Time in which new work may be sent, from the last proof that no notice was given.
# The operators allow seven seconds until it arrives.
WORK_AFTER_PROOF_MS = 6000
# Time for which an instance without a registry entry is still used. Entries
# that expired during an outage of the store are back within two seconds of
# its return.
MISSING_GRACE_MS = 2500


class Departure:
    """What one node knows about the departure of one instance.

    Attributes:
      ready_ms: Last time at which it certainly had not given notice, or None.
      missing_ms: Time since which it has no registry entry, or None.
      leaving_ms: Time since which it is known to leave or to be gone, or
        None.
    """

    __slots__ = ('ready_ms', 'missing_ms', 'leaving_ms')

    def __init__(self) -> None:
        """Start without a notice and without a proof."""
        self.ready_ms: int | None = None
        self.missing_ms: int | None = None
        self.leaving_ms: int | None = None

    def on_entry(
        self, leaving: bool, now_ms: int, proved_ms: int | None
    ) -> None:
        """Apply a registry entry.

        Args:
          leaving: Whether the instance has given notice.
          now_ms: Current time.
          proved_ms: When the read was sent, or None if it may be old.
        """
        self.missing_ms = None
        if leaving:
            if self.leaving_ms is None:
                self.leaving_ms = now_ms
            return
        self.leaving_ms = None
        if proved_ms is not None:
            self.on_proof(proved_ms)

    def on_proof(self, ready_ms: int) -> bool:
        """Accept a proof; return whether it is later than the known one."""
        if self.ready_ms is not None and self.ready_ms >= ready_ms:
            return False
        self.ready_ms = ready_ms
        return True

    def on_missing(self, now_ms: int) -> None:
        """Record that the registry has no entry of the instance any more."""
        if self.missing_ms is None:
            self.missing_ms = now_ms
        if self.leaving_ms is None and self.is_missing_for_long(now_ms):
            self.leaving_ms = self.missing_ms

    def is_missing_for_long(self, now_ms: int) -> bool:
        """Return whether its entry is missing longer than entries expire."""
        missing_ms = self.missing_ms
        return missing_ms is not None and (
            now_ms - missing_ms >= MISSING_GRACE_MS
        )

    def remaining_ms(self, now_ms: int) -> int:
        """Return for how long new work may be sent to a leaving instance."""
        ends = [0]
        if self.ready_ms is not None:
            ends.append(self.ready_ms + WORK_AFTER_PROOF_MS - now_ms)
        if self.missing_ms is not None and self.leaving_ms == self.missing_ms:
            ends.append(self.missing_ms + MISSING_GRACE_MS - now_ms)
        return max(ends)

    def allows_work(self, now_ms: int) -> bool:
        """Return whether new work may be sent now."""
        return self.leaving_ms is None or self.remaining_ms(now_ms) > 0
