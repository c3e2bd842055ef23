"""Silence of the owners that an entry has sent requests to.

A process that freezes keeps its connections open, so the transport reports
no loss. An owner with requests is probed when nothing arrives from it, and
counts as silent if the probe is not answered either.
"""

import dataclasses

# Owners answer most requests within this time, so few probes are sent.
PROBE_MS = 300
# Covers three probes; the gap of a failover must stay below 2 s.
SILENT_MS = 1000
# A longer time between two ticks is a pause of this process, in which no
# owner could be heard.
_OWN_PAUSE_MS = 200


@dataclasses.dataclass(slots=True)
class Due:
    """What is due at a tick.

    Attributes:
      probes: Owners to probe.
      silent: Owners that count as silent from now on.
    """

    probes: list[str] = dataclasses.field(default_factory=list)
    silent: list[str] = dataclasses.field(default_factory=list)


class OwnerWatch:
    """Requests in flight and silence by owner.

    Attributes:
      in_flight: Number of requests that an owner has, if any.
      quiet_ms: Since when nothing has arrived from an owner that has
        requests or is silent.
      probed_ms: When such an owner was probed last.
      silent: Owners that did not answer probes.
      ticked_ms: Time of the newest tick.
    """

    __slots__ = (
        'own',
        'in_flight',
        'quiet_ms',
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
        self.quiet_ms: dict[str, int] = {}
        self.probed_ms: dict[str, int] = {}
        self.silent: set[str] = set()
        self.ticked_ms = 0

    def sent(self, member: str, now_ms: int) -> None:
        """Count a request that was sent to an owner."""
        self.in_flight[member] = self.in_flight.get(member, 0) + 1
        if member != self.own:
            self.quiet_ms.setdefault(member, now_ms)

    def released(self, member: str) -> None:
        """Count a request that an owner does not have any more."""
        self.in_flight[member] -= 1
        if not self.in_flight[member]:
            self.in_flight.pop(member)
            if member not in self.silent:
                self._forget(member)

    def heard(self, member: str, now_ms: int) -> None:
        """Note that a payload has arrived."""
        if member not in self.quiet_ms:
            return
        self.silent.discard(member)
        if member in self.in_flight:
            self.quiet_ms[member] = now_ms
        else:
            self._forget(member)

    def lost(self, member: str) -> None:
        """Forget the silence of an owner whose connection is lost."""
        self.silent.discard(member)
        if member not in self.in_flight:
            self._forget(member)

    def tick(self, now_ms: int) -> Due:
        """Return the owners to probe and those that became silent."""
        self._skip_pause(now_ms)
        due = Due()
        for member, quiet_ms in self.quiet_ms.items():
            if now_ms - quiet_ms < PROBE_MS:
                continue
            if now_ms - self.probed_ms.get(member, quiet_ms) >= PROBE_MS:
                self.probed_ms[member] = now_ms
                due.probes.append(member)
            late = now_ms - quiet_ms >= SILENT_MS
            if late and member not in self.silent:
                self.silent.add(member)
                due.silent.append(member)
        return due

    def _skip_pause(self, now_ms: int) -> None:
        paused_ms = now_ms - self.ticked_ms
        self.ticked_ms = now_ms
        if paused_ms > _OWN_PAUSE_MS:
            for member in self.quiet_ms:
                self.quiet_ms[member] = now_ms

    def _forget(self, member: str) -> None:
        self.quiet_ms.pop(member, None)
        self.probed_ms.pop(member, None)
