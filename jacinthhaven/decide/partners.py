"""Selection of the members that a node gossips with.

A node exchanges messages with a small, slowly changing set of random
members, so that it keeps few connections and performs few handshakes. Most
partners are in its own availability zone; the others connect the zones.
"""

import random
import typing

from jacinthhaven.decide import directory
from jacinthhaven.records import topology

_SAME_ZONE_PARTNERS = 8
_OTHER_ZONE_PARTNERS = 4
_MAX_PARTNERS = _SAME_ZONE_PARTNERS + _OTHER_ZONE_PARTNERS
# Interval at which one partner is replaced, so that in the course of time
# every pair of members communicates.
_REPLACE_INTERVAL_MS = 20_000
# Number of rounds after which a seed from the settings is contacted, in case
# all known members were replaced while this node was disconnected.
_SEED_ROUND_INTERVAL = 20


class Partners:
    """Current gossip partners of one node.

    Attributes:
      chosen: Names of the current partners.
    """

    def __init__(
        self,
        own_name: str,
        zone: str,
        rng: random.Random,
        seeds: tuple[topology.Member, ...] = (),
    ) -> None:
        """Start without partners.

        Args:
          own_name: Name of this member.
          zone: Availability zone of this member.
          rng: Random source of the selection.
          seeds: Members named in the settings.
        """
        self.own_name = own_name
        self.zone = zone
        self.rng = rng
        self.seeds = tuple(seed.name for seed in seeds if seed.name != own_name)
        self.chosen: list[str] = []
        self.rotation: list[str] = []
        self.members_hash = 0
        self.next_replacement_ms = 0
        self.rounds = 0

    def refresh(self, known: directory.Directory, now_ms: int) -> None:
        """Replace removed partners, and one more at a regular interval."""
        due = now_ms >= self.next_replacement_ms
        if known.members_hash == self.members_hash and not due:
            return
        self.members_hash = known.members_hash
        members = known.members
        others = [name for name in members if name != self.own_name]
        kept = [name for name in self.chosen if name in members]
        if due:
            self.next_replacement_ms = now_ms + _REPLACE_INTERVAL_MS
            if len(kept) == _MAX_PARTNERS and len(others) > _MAX_PARTNERS:
                kept.remove(self.rng.choice(kept))
        same_zone = {name for name in others if members[name].zone == self.zone}
        other_zones = set(others) - same_zone
        self.chosen = [
            *self._select(kept, same_zone, _SAME_ZONE_PARTNERS),
            *self._select(kept, other_zones, _OTHER_ZONE_PARTNERS),
        ]
        missing = _MAX_PARTNERS - len(self.chosen)
        candidates = sorted(set(others).difference(self.chosen))
        self.chosen += self.rng.sample(
            candidates,
            min(missing, len(candidates)),
        )
        self.rotation = []

    def next_partner(self) -> str | None:
        """Return the partner for the next round, or None without partners.

        Partners rotate: each is returned once before any is repeated.
        """
        self.rounds += 1
        if self.seeds and (
            not self.chosen or self.rounds % _SEED_ROUND_INTERVAL == 0
        ):
            return self.rng.choice(self.seeds)
        if not self.rotation:
            self.rotation = self.rng.sample(self.chosen, len(self.chosen))
        return self.rotation.pop() if self.rotation else None

    def sample(self, count: int) -> list[str]:
        """Return up to `count` random partners, or seeds without partners."""
        names = self.chosen or list(self.seeds)
        return self.rng.sample(names, min(count, len(names)))

    def _select(
        self,
        kept: list[str],
        names: typing.AbstractSet[str],
        count: int,
    ) -> list[str]:
        chosen = [name for name in kept if name in names][:count]
        candidates = sorted(names.difference(chosen))
        missing = min(count - len(chosen), len(candidates))
        return chosen + self.rng.sample(candidates, missing)
