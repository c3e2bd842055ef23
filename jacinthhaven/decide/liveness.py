"""Live members and members that have confirmed the policy in force.

A node is in direct contact with few members. It therefore also merges what
the others report: ages of their last contacts, and bitmaps of
confirmations. Both are indexed by the sorted member names, so they are only
exchanged between members with the same list of names.
"""

import zlib

from jacinthhaven.decide import directory as directories
from jacinthhaven.records import gossip

_UNKNOWN_AGE = 255
# Percentage of the members whose ages are sent, youngest ages first. In a
# simulated outage with 2,000 members a node then sends 3.5 KB/s on average.
_SHARED_PERCENT = 65
# If that percentage is below this number of members, all ages are sent, as
# they take few bytes in a small cluster.
_SHARE_ALL_BELOW = 100


class Liveness:
    """Last contacts with members, in time of this node's own clock.

    Attributes:
      direct_contact_ms: Latest time at which direct contact with each member
        is proved, by name: when the last message that it answered was sent.
      last_contact_ms: The same including contact through other members,
        which would also have passed on a newer revision.
      acked_revision: Newest policy revision that any member has confirmed.
      acked: Names of the members known to have confirmed `acked_revision`.
    """

    def __init__(
        self,
        own_name: str,
        directory: directories.Directory,
        freshness_ms: int = 5000,
    ) -> None:
        """Start without contacts.

        Args:
          own_name: Name of this member.
          directory: Source of the member names.
          freshness_ms: Age from which a contact no longer counts.
        """
        self.own_name = own_name
        self.directory = directory
        self.freshness_ms = freshness_ms
        self.direct_contact_ms: dict[str, int] = {}
        self.last_contact_ms: dict[str, int] = {}
        self.acked_revision = 0
        self.acked: set[str] = set()
        self.cached_bitmap = b''
        self.bitmap_cache_key = (0, 0, 0)

    def record_reply(self, member: str, sent_ms: int) -> None:
        """Record that a member answered a message sent at `sent_ms`."""
        self.direct_contact_ms[member] = max(
            sent_ms,
            self.direct_contact_ms.get(member, sent_ms),
        )
        self.last_contact_ms[member] = max(
            sent_ms,
            self.last_contact_ms.get(member, sent_ms),
        )

    def prune(self, now_ms: int) -> None:
        """Drop removed members and expired contacts if there are many."""
        limit = 2 * len(self.directory.member_names) + _SHARE_ALL_BELOW
        if len(self.direct_contact_ms) > limit:
            names = self.direct_contact_ms.keys() & self.directory.member_names
            self.direct_contact_ms = {
                name: self.direct_contact_ms[name] for name in names
            }
        if len(self.last_contact_ms) > limit:
            cutoff_ms = now_ms - self.freshness_ms
            self.last_contact_ms = {
                name: seen_ms
                for name, seen_ms in self.last_contact_ms.items()
                if seen_ms >= cutoff_ms
            }

    def live_count(self, now_ms: int) -> int:
        """Return how many members were in contact within `freshness_ms`.

        This member is counted if it is in the directory.
        """
        return self._count(now_ms, self.freshness_ms)

    def has_majority(self, now_ms: int) -> bool:
        """Return whether the live members are a majority of all members."""
        return self.live_count(now_ms) * 2 > len(self.directory.member_names)

    def has_stable_majority(self, now_ms: int) -> bool:
        """Return whether the majority will remain valid for some time.

        That is, whether the last contacts with more than two thirds of the
        members are younger than three fifths of `freshness_ms`.
        """
        return self._count(now_ms, self.freshness_ms * 3 // 5) * 3 > (
            len(self.directory.member_names) * 2
        )

    def ages(self, now_ms: int) -> bytes:
        """Return the age of the last contact with each sorted member."""
        self.last_contact_ms[self.own_name] = now_ms
        cutoff_ms = self._sharing_cutoff_ms(now_ms)
        last_contact_ms = self.last_contact_ms
        return bytes(
            [
                (last_contact_ms[name] - now_ms) // gossip.AGE_UNIT_MS * -1
                if last_contact_ms.get(name, cutoff_ms) > cutoff_ms
                else _UNKNOWN_AGE
                for name in self.directory.member_names
            ],
        )

    def merge_ages(self, exchange: gossip.Exchange, sent_ms: int) -> None:
        """Merge the more recent contacts of a member that answered.

        Args:
          exchange: Received reply.
          sent_ms: When the message that it answers was sent.
        """
        if exchange.members_hash != self.directory.members_hash:
            return
        last_contact_ms = self.last_contact_ms
        for name, age in zip(self.directory.member_names, exchange.ages):
            if age != _UNKNOWN_AGE:
                seen_ms = sent_ms - age * gossip.AGE_UNIT_MS
                if seen_ms > last_contact_ms.get(name, seen_ms - 1):
                    last_contact_ms[name] = seen_ms

    def record_confirmation(self, member: str, revision: int) -> None:
        """Record that this policy revision is in force on a member."""
        if revision > self.acked_revision:
            self.acked_revision = revision
            self.acked = set()
        if revision == self.acked_revision:
            self.acked.add(member)

    def unconfirmed(self, revision: int) -> list[str]:
        """Return the members without a known confirmation of a revision."""
        if self.acked_revision < revision:
            return list(self.directory.member_names)
        return [
            name
            for name in self.directory.member_names
            if name not in self.acked
        ]

    def acked_bitmap(self) -> bytes:
        """Return the confirmations as one bit for each sorted member."""
        state = (
            self.acked_revision,
            len(self.acked),
            self.directory.members_hash,
        )
        if state != self.bitmap_cache_key:
            bits = 0
            for index, name in enumerate(self.directory.member_names):
                if name in self.acked:
                    bits |= 1 << index
            size = len(self.directory.member_names) // 8 + 1
            self.cached_bitmap = bits.to_bytes(size, 'little')
            self.bitmap_cache_key = state
        return self.cached_bitmap

    def acked_hash(self) -> int:
        """Return the hash of the bitmap and the revision it belongs to."""
        return zlib.crc32(
            self.acked_bitmap() + str(self.acked_revision).encode()
        )

    def merge_acked(self, exchange: gossip.Exchange) -> None:
        """Merge the confirmations known to another member."""
        revision = exchange.acked_revision
        if revision < self.acked_revision:
            return
        if exchange.members_hash != self.directory.members_hash:
            return
        new_bits = int.from_bytes(exchange.acked, 'little')
        if revision == self.acked_revision:
            new_bits &= ~int.from_bytes(self.acked_bitmap(), 'little')
        names = self.directory.member_names
        while new_bits:
            index = new_bits.bit_length() - 1
            new_bits ^= 1 << index
            if index < len(names):
                self.record_confirmation(names[index], revision)

    def _sharing_cutoff_ms(self, now_ms: int) -> int:
        # The ages of a part of the members suffice for a majority, and the
        # oldest ages would expire soon.
        cutoff_ms = now_ms - self.freshness_ms
        last_contact_ms = self.last_contact_ms
        names = self.directory.member_names
        seen = [last_contact_ms.get(name, cutoff_ms) for name in names]
        shared = len(names) * _SHARED_PERCENT // 100
        if shared < _SHARE_ALL_BELOW:
            return cutoff_ms
        seen.sort(reverse=True)
        return seen[shared]

    def _count(self, now_ms: int, age_ms: int) -> int:
        last_contact_ms = self.last_contact_ms
        last_contact_ms[self.own_name] = now_ms
        cutoff_ms = now_ms - age_ms - 1
        seen = [
            last_contact_ms.get(name, cutoff_ms)
            for name in self.directory.member_names
        ]
        return sum(seen_ms > cutoff_ms for seen_ms in seen)
