"""Choice of the members that a node gossips with.

A node talks to a small, slowly changing set of random members, so that it
keeps few connections and pays for few handshakes. Most are in its own
availability zone; the others connect the zones.
"""

import random
import typing

from jacinthhaven.decide import directory
from jacinthhaven.records import topology

_SAME_ZONE = 8
_OTHER_ZONES = 4
_PARTNERS = _SAME_ZONE + _OTHER_ZONES
# One partner is replaced this often, so that every pair meets in time.
_REPLACE_MS = 20_000
# A member of the settings is asked every so many rounds, in case all known
# members were replaced while this node was out of contact.
_SEED_ROUNDS = 20


class Partners:
    """Current gossip partners of one node.

    Attributes:
      chosen: Names of the partners.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        rng: random.Random,
        seeds: tuple[topology.Member, ...] = (),
    ) -> None:
        """Start without partners.

        Args:
          me: Name of this member.
          zone: Its availability zone.
          rng: Source of the random choices.
          seeds: Members named in the settings.
        """
        self.me = me
        self.zone = zone
        self.rng = rng
        self.seeds = tuple(seed.name for seed in seeds if seed.name != me)
        self.chosen: list[str] = []
        self.rotation: list[str] = []
        self.known_hash = 0
        self.replace_ms = 0
        self.rounds = 0

    def refresh(self, known: directory.Directory, now_ms: int) -> None:
        """Replace partners that are gone, and one from time to time."""
        due = now_ms >= self.replace_ms
        if known.members_hash == self.known_hash and not due:
            return
        self.known_hash = known.members_hash
        members = known.members
        others = [name for name in members if name != self.me]
        kept = [name for name in self.chosen if name in members]
        if due:
            self.replace_ms = now_ms + _REPLACE_MS
            if len(kept) == _PARTNERS and len(others) > _PARTNERS:
                kept.remove(self.rng.choice(kept))
        near = {name for name in others if members[name].zone == self.zone}
        far = set(others) - near
        self.chosen = [
            *self._fill(kept, near, _SAME_ZONE),
            *self._fill(kept, far, _OTHER_ZONES),
        ]
        spare = _PARTNERS - len(self.chosen)
        rest = sorted(set(others).difference(self.chosen))
        self.chosen += self.rng.sample(rest, min(spare, len(rest)))
        self.rotation = []

    def following(self) -> str | None:
        """Return the partner of the next round, or None if alone.

        Every partner has its turn before any has a second one.
        """
        self.rounds += 1
        if self.seeds and (not self.chosen or self.rounds % _SEED_ROUNDS == 0):
            return self.rng.choice(self.seeds)
        if not self.rotation:
            self.rotation = self.rng.sample(self.chosen, len(self.chosen))
        return self.rotation.pop() if self.rotation else None

    def sample(self, count: int) -> list[str]:
        """Return up to `count` random partners."""
        names = self.chosen or list(self.seeds)
        return self.rng.sample(names, min(count, len(names)))

    def _fill(
        self,
        kept: list[str],
        names: typing.AbstractSet[str],
        count: int,
    ) -> list[str]:
        chosen = [name for name in kept if name in names][:count]
        rest = sorted(names.difference(chosen))
        missing = min(count - len(chosen), len(rest))
        return chosen + self.rng.sample(rest, missing)
