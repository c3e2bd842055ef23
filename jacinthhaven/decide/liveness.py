"""Which members are live and which have confirmed the policy in force.

A node hears directly from few members. It therefore also adopts what
others report: ages of their evidence, and bitmaps of confirmations. Both
refer to the sorted member names, and are exchanged only between members
with the same list.
"""

import zlib

from jacinthhaven.decide import directory as directories
from jacinthhaven.records import gossip

_UNKNOWN_AGE = 255
# Share of the members whose ages are sent, the youngest first. In a
# simulated outage of 2,000 members a node then sends 3.5 KB/s on average.
_SHARED_PERCENT = 65
# In small clusters the ages of all members take few bytes.
_SHARE_ALL = 100


class Liveness:
    """Evidence about members on this node's own clock.

    Attributes:
      heard: When each member must have been in direct contact at the
        latest, by name.
      evidence: The same including contact through other members, which
        also would have passed on a newer revision.
      acked_revision: Newest policy revision that any member has confirmed.
      acked: Names of the members known to have confirmed it.
    """

    def __init__(
        self,
        me: str,
        directory: directories.Directory,
        freshness_ms: int = 5000,
    ) -> None:
        """Start without evidence.

        Args:
          me: Name of this member.
          directory: Source of the member names.
          freshness_ms: Age from which evidence is worthless.
        """
        self.me = me
        self.directory = directory
        self.freshness_ms = freshness_ms
        self.heard: dict[str, int] = {}
        self.evidence: dict[str, int] = {}
        self.acked_revision = 0
        self.acked: set[str] = set()
        self.bitmap = b''
        self.bitmap_state = (0, 0, 0)

    def hear(self, member: str, at_ms: int) -> None:
        """Note that a member answered a message sent at `at_ms`."""
        self.heard[member] = max(at_ms, self.heard.get(member, at_ms))
        self.evidence[member] = max(at_ms, self.evidence.get(member, at_ms))

    def forget(self, now_ms: int) -> None:
        """Drop what is known about members that are long gone."""
        limit = 2 * len(self.directory.member_names) + _SHARE_ALL
        if len(self.heard) > limit:
            names = self.heard.keys() & self.directory.member_names
            self.heard = {name: self.heard[name] for name in names}
        if len(self.evidence) > limit:
            limit_ms = now_ms - self.freshness_ms
            self.evidence = {
                name: seen_ms
                for name, seen_ms in self.evidence.items()
                if seen_ms >= limit_ms
            }

    def live(self, now_ms: int) -> int:
        """Return how many members were in contact within `freshness_ms`.

        This member counts if it is in the directory.
        """
        return self._count(now_ms, self.freshness_ms)

    def has_majority(self, now_ms: int) -> bool:
        """Return whether the live members are a majority of all members."""
        return self.live(now_ms) * 2 > len(self.directory.member_names)

    def is_settled(self, now_ms: int) -> bool:
        """Return whether a majority stays in contact for some time.

        That is, whether two thirds of the evidence is younger than three
        fifths of `freshness_ms`.
        """
        return self._count(now_ms, self.freshness_ms * 3 // 5) * 3 > (
            len(self.directory.member_names) * 2
        )

    def ages(self, now_ms: int) -> bytes:
        """Return the age of the evidence of each sorted member."""
        self.evidence[self.me] = now_ms
        limit_ms = self._sharing_limit_ms(now_ms)
        found = self.evidence
        return bytes(
            [
                (found[name] - now_ms) // gossip.AGE_UNIT_MS * -1
                if found.get(name, limit_ms) > limit_ms
                else _UNKNOWN_AGE
                for name in self.directory.member_names
            ],
        )

    def merge_ages(self, exchange: gossip.Exchange, at_ms: int) -> None:
        """Adopt younger evidence of a member that answered.

        Args:
          exchange: Received message.
          at_ms: When the message that was answered had been sent.
        """
        if exchange.members_hash != self.directory.members_hash:
            return
        evidence = self.evidence
        for name, age in zip(self.directory.member_names, exchange.ages):
            if age != _UNKNOWN_AGE:
                seen_ms = at_ms - age * gossip.AGE_UNIT_MS
                if seen_ms > evidence.get(name, seen_ms - 1):
                    evidence[name] = seen_ms

    def confirm(self, member: str, revision: int) -> None:
        """Note that a member has this policy revision in force."""
        if revision > self.acked_revision:
            self.acked_revision = revision
            self.acked = set()
        if revision == self.acked_revision:
            self.acked.add(member)

    def unconfirmed(self, revision: int) -> list[str]:
        """Return the members not known to have confirmed a revision."""
        if self.acked_revision < revision:
            return list(self.directory.member_names)
        return [
            name
            for name in self.directory.member_names
            if name not in self.acked
        ]

    def acked_bitmap(self) -> bytes:
        """Return one bit for each sorted member that has confirmed."""
        state = (
            self.acked_revision,
            len(self.acked),
            self.directory.members_hash,
        )
        if state != self.bitmap_state:
            bits = 0
            for index, name in enumerate(self.directory.member_names):
                if name in self.acked:
                    bits |= 1 << index
            size = len(self.directory.member_names) // 8 + 1
            self.bitmap = bits.to_bytes(size, 'little')
            self.bitmap_state = state
        return self.bitmap

    def acked_hash(self) -> int:
        """Return the hash of the revision and the bitmap."""
        return zlib.crc32(
            self.acked_bitmap() + str(self.acked_revision).encode()
        )

    def merge_acked(self, exchange: gossip.Exchange) -> None:
        """Adopt the confirmations that another member knows."""
        revision = exchange.acked_revision
        if revision < self.acked_revision:
            return
        if exchange.members_hash != self.directory.members_hash:
            return
        fresh = int.from_bytes(exchange.acked, 'little')
        if revision == self.acked_revision:
            fresh &= ~int.from_bytes(self.acked_bitmap(), 'little')
        names = self.directory.member_names
        while fresh:
            index = fresh.bit_length() - 1
            fresh ^= 1 << index
            if index < len(names):
                self.confirm(names[index], revision)

    def _sharing_limit_ms(self, now_ms: int) -> int:
        # Ages of some members suffice for a majority, and the oldest ones
        # would expire soon.
        limit_ms = now_ms - self.freshness_ms
        evidence = self.evidence
        names = self.directory.member_names
        seen = [evidence.get(name, limit_ms) for name in names]
        shared = len(names) * _SHARED_PERCENT // 100
        if shared < _SHARE_ALL:
            return limit_ms
        seen.sort(reverse=True)
        return seen[shared]

    def _count(self, now_ms: int, age_ms: int) -> int:
        evidence = self.evidence
        evidence[self.me] = now_ms
        never_ms = now_ms - age_ms - 1
        seen = [
            evidence.get(name, never_ms) for name in self.directory.member_names
        ]
        return sum(seen_ms > never_ms for seen_ms in seen)
