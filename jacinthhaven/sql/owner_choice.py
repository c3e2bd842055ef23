"""Choice of the owners that a new session tries, in order.

Owners that cannot be reached are left out first. Of the others, those of the own
zone come first, except for the share of the sessions that leaves the zone because
its owners are slow.

Sessions of a customer all go to the same owner, which grants its tokens. Each link
belongs to one customer, so that owners which served all customers would have to
close and open links all the time.
"""

import random

from jacinthhaven.balancing import owner_times, zone_outflow
from jacinthhaven.kernel import ranking
from jacinthhaven.sql import ownership, ports, relayed_sessions

# How long new sessions skip an owner that did not answer: after the first
# failure, and at most. The time doubles with each further failure.
_BACKOFF_MS = 1000
_MAX_BACKOFF_MS = 8000
# Range of the random offsets that spread the nodes over the owners.
_OFFSET_RANGE = 1000
_SEED_BITS = 64
_MS_DIGITS = 1
_SHARE_DIGITS = 3


class OwnerChoice:
    """Owners of the services as one relaying node sees them.

    Attributes:
      zone: Availability zone of this node.
      peers: Listed nodes by name.
      backoff_until_ms: Time until which new sessions skip an owner, by name.
      failures: Number of consecutive failures of an owner, by name.
      owners_by_service: Owners of each service, split by availability zone.
      offset: Rotation offset of the owners; incremented for each session.
      times: Measured times of the owners.
      outflows: Share of the sessions that leaves the zone, by service.
      leaving_cost_ms: Price of leaving the zone.
      may_leave: Whether sessions may leave the zone although its own owners
        can be reached.
    """

    def __init__(
        self, zone: str, rng: random.Random, journal: ports.Journal
    ) -> None:
        """Start without owners."""
        self.zone = zone
        # Sessions are frequent, and a draw of the system's source is a call to it.
        self.rng = random.Random(rng.getrandbits(_SEED_BITS))
        self.journal = journal
        self.peers: ownership.Peers = {}
        self.backoff_until_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.owners_by_service: dict[str, ownership.Owners] = {}
        self.offset = rng.randrange(_OFFSET_RANGE)
        self.times = owner_times.OwnerTimes(self.rng)
        self.outflows: dict[str, zone_outflow.ZoneOutflow] = {}
        self.leaving_cost_ms = zone_outflow.DEFAULT_LEAVING_COST_MS
        self.may_leave = False

    @property
    def share(self) -> float:
        """Return the largest share of a service that leaves the zone."""
        shares = (outflow.share for outflow in self.outflows.values())
        return max(shares, default=float(0))

    def update_peers(self, peers: ownership.Peers) -> None:
        """Set the listed nodes of the fleet."""
        self.peers = peers
        self.owners_by_service = {}
        self.times.keep(peers)

    def owners(self, service: str) -> ownership.Owners:
        """Return all owners of a service."""
        if service not in self.owners_by_service:
            self.owners_by_service[service] = ownership.split_by_zone(
                self.zone, service, self.peers
            )
        return self.owners_by_service[service]

    def reachable(self, service: str, now_ms: int) -> list[str]:
        """Return the owners that may be tried, those of the own zone first."""
        self.offset += 1
        return [
            name
            for name in self.owners(service).order(self.offset)
            if self.backoff_until_ms.get(name, 0) <= now_ms
        ]

    def order(self, service: str, now_ms: int, customer: str = '') -> list[str]:
        """Return the owners that a new session tries, in order.

        Owners of the own zone come first. A session of the share that leaves
        begins with one of another zone.

        Args:
          service: Name of the service.
          now_ms: Current time.
          customer: Name of the session's customer; '' if it has none.
        """
        names = self.reachable(service, now_ms)
        if customer:
            return ranking.ranked(customer, names)
        nearest = self.owners(service).near
        near = [name for name in names if name in nearest]
        far = names[len(near) :]
        if not self.may_leave or not near or not far:
            return names
        outflow = self.outflows.get(service)
        if outflow is None:
            outflow = zone_outflow.ZoneOutflow(self.leaving_cost_ms)
            self.outflows[service] = outflow
        if now_ms >= outflow.next_ms:
            self._update(service, outflow, (near, far), now_ms)
        near = self.times.prefer(near, self.leaving_cost_ms, now_ms)
        if not outflow.share or not outflow.leaves():
            return near + far
        # The others follow in case that the first one does not accept it.
        chosen = self._far_owner(far, outflow.targets, now_ms)
        return chosen + near + [name for name in far if name not in chosen]

    def on_accepted(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        """Handle the acceptance of a session by its owner."""
        self.failures.pop(session.owner, None)
        self.times.sample(session.owner, now_ms - session.tried_ms, now_ms)

    def on_answer(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        """Handle the answer to a statement that needs no database.

        It shows how long the owner itself takes if it was sent alone.
        """
        if session.sent_ms:
            self.times.sample(session.owner, now_ms - session.sent_ms, now_ms)

    def back_off(self, owner: str, now_ms: int) -> None:
        """Skip an owner for new sessions, with exponential backoff."""
        failures = self.failures.get(owner, 0)
        self.failures[owner] = failures + 1
        pause_ms = min(_BACKOFF_MS * 2**failures, _MAX_BACKOFF_MS)
        self.backoff_until_ms[owner] = now_ms + pause_ms

    def _far_owner(
        self, far: list[str], zones: tuple[str, ...], now_ms: int
    ) -> list[str]:
        """Return one owner of some zones, or none if none can be reached."""
        names = [name for name in far if self.peers[name].zone in zones]
        self.rng.shuffle(names)
        return self.times.prefer(names, self.leaving_cost_ms, now_ms)[:1]

    def _update(
        self,
        service: str,
        outflow: zone_outflow.ZoneOutflow,
        names: tuple[list[str], list[str]],
        now_ms: int,
    ) -> None:
        """Let the share of a service follow the measured times."""
        near, far = names
        zones: dict[str, list[str]] = {}
        for name in far:
            zones.setdefault(self.peers[name].zone, []).append(name)
        measured = owner_times.zone_times(self.times, near, zones, now_ms)
        previous = outflow.share
        if not outflow.update(measured, now_ms):
            return
        self.journal.write(
            'zone_outflow',
            {
                'service': service,
                'share': round(outflow.share, _SHARE_DIGITS),
                'previous': round(previous, _SHARE_DIGITS),
                'own_ms': _rounded(measured.own_ms),
                'others_ms': {
                    zone: _rounded(time_ms)
                    for zone, time_ms in measured.others_ms.items()
                },
                'targets': list(outflow.targets),
            },
        )


def _rounded(time_ms: float | None) -> float | None:
    return None if time_ms is None else round(time_ms, _MS_DIGITS)
