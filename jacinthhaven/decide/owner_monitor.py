"""Failure detector for the owners to which an entry has sent requests.

A process that hangs keeps its connections open, so the transport reports no
loss. An owner with requests in flight is probed when nothing arrives from
it, and counts as silent if it does not answer the probes either.
"""

import dataclasses

# Owners answer most requests within this time, so few probes are needed.
PROBE_INTERVAL_MS = 300
# Covers three probes. A failover must interrupt service for less than 2 s.
SILENCE_TIMEOUT_MS = 1000
# A longer time between two ticks means that this process was paused and could
# not receive anything.
_OWN_PAUSE_MS = 200


@dataclasses.dataclass(slots=True)
class TickResult:
    """Result of a tick.

    Attributes:
      probes: Owners to probe now.
      silent: Owners that have become silent.
    """

    probes: list[str] = dataclasses.field(default_factory=list)
    silent: list[str] = dataclasses.field(default_factory=list)


class OwnerMonitor:
    """Tracks the requests in flight and the silence of each owner.

    Attributes:
      own: Name of this node.
      in_flight: Number of requests in flight by owner; owners without
        requests are absent.
      quiet_since_ms: Since when nothing has arrived, by owner, for owners
        that have requests in flight or are silent.
      probed_ms: When such an owner was probed last.
      silent: Owners that did not answer probes.
      ticked_ms: Time of the newest tick.
    """

    __slots__ = (
        'own',
        'in_flight',
        'quiet_since_ms',
        'probed_ms',
        'silent',
        'ticked_ms',
    )

    def __init__(self, own: str) -> None:
        """Start without requests.

        Args:
          own: Name of this node, which needs no probes.
        """
        self.own = own
        self.in_flight: dict[str, int] = {}
        self.quiet_since_ms: dict[str, int] = {}
        self.probed_ms: dict[str, int] = {}
        self.silent: set[str] = set()
        self.ticked_ms = 0

    def sent(self, member: str, now_ms: int) -> None:
        """Count a request that was sent to an owner."""
        self.in_flight[member] = self.in_flight.get(member, 0) + 1
        if member != self.own:
            self.quiet_since_ms.setdefault(member, now_ms)

    def released(self, member: str) -> None:
        """Count a request that is no longer in flight at an owner."""
        self.in_flight[member] -= 1
        if not self.in_flight[member]:
            self.in_flight.pop(member)
            if member not in self.silent:
                self._stop_tracking(member)

    def heard(self, member: str, now_ms: int) -> None:
        """Record that a payload has arrived."""
        if member not in self.quiet_since_ms:
            return
        self.silent.discard(member)
        if member in self.in_flight:
            self.quiet_since_ms[member] = now_ms
        else:
            self._stop_tracking(member)

    def lost(self, member: str) -> None:
        """Clear the silence of an owner whose connection is lost."""
        self.silent.discard(member)
        if member not in self.in_flight:
            self._stop_tracking(member)

    def tick(self, now_ms: int) -> TickResult:
        """Return the owners to probe and those that became silent."""
        self._ignore_own_pause(now_ms)
        due = TickResult()
        for member, since_ms in self.quiet_since_ms.items():
            if now_ms - since_ms < PROBE_INTERVAL_MS:
                continue
            if (
                now_ms - self.probed_ms.get(member, since_ms)
                >= PROBE_INTERVAL_MS
            ):
                self.probed_ms[member] = now_ms
                due.probes.append(member)
            late = now_ms - since_ms >= SILENCE_TIMEOUT_MS
            if late and member not in self.silent:
                self.silent.add(member)
                due.silent.append(member)
        return due

    def _ignore_own_pause(self, now_ms: int) -> None:
        paused_ms = now_ms - self.ticked_ms
        self.ticked_ms = now_ms
        if paused_ms > _OWN_PAUSE_MS:
            for member in self.quiet_since_ms:
                self.quiet_since_ms[member] = now_ms

    def _stop_tracking(self, member: str) -> None:
        self.quiet_since_ms.pop(member, None)
        self.probed_ms.pop(member, None)
