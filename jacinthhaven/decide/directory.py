"""One node's knowledge of the store's keys and of leaving backend servers.

Every key carries the store revision of its last change, and the higher
revision wins. Merging is therefore commutative and idempotent and never
goes back, whichever way and in whatever order the entries arrive.

The directory also knows the revision up to which it has every change, so
that members exchange only the changes after that revision. A hash of the
live keys shows the rare case that a deletion was missed.
"""

import collections
import typing
import zlib

import msgspec

from jacinthhaven.decide import leaving, slot_ranking
from jacinthhaven.records import gossip, store, topology

CONFIG = 'config'
PRESET = 'preset'
MEMBERS = 'members/'
SLOTS = 'slots/'
# Deletions are kept for members that were out of contact this long; later
# ones receive a full list.
TOMBSTONE_MS = 600_000
# Proofs that wait for the watch to catch up.
_MAX_PENDING_PROOFS = 8

_member_decoder = msgspec.json.Decoder(topology.Member)

Entries = typing.Iterable[gossip.Entry]


class Directory:
    """Entries by key, merged by revision.

    Attributes:
      entries: All entries, deletions included.
      complete: Store revision up to which all changes are known.
      horizon: Highest revision of a deletion that was forgotten.
      proof_ms: Own clock reading at which `complete` was the newest
        revision of the store or newer; None without a proof.
      members: Live members by name.
      slots: Held connection slots by group and number.
      names: Sorted names of the members.
      members_hash: Hash of `names`.
      live_hash: Combined hash of all keys that exist, with revisions.
      flags: Leaving flags of backend servers.
      news_base: Value of `complete` before the first change that was not
        yet passed on; None if there is none.
    """

    def __init__(self) -> None:
        """Start without any knowledge."""
        self.entries: dict[str, gossip.Entry] = {}
        self.complete = 0
        self.horizon = 0
        self.proof_ms: int | None = None
        self.members: dict[str, topology.Member] = {}
        self.slots: dict[tuple[str, int], topology.Slot] = {}
        self.names: list[str] = []
        self.members_hash = 0
        self.live_hash = 0
        self.flags = leaving.LeavingFlags()
        self.news_base: int | None = None
        self.tombstones: collections.deque = collections.deque()
        self.pending: collections.deque = collections.deque(
            maxlen=_MAX_PENDING_PROOFS,
        )

    def merge(self, exchange: gossip.Exchange, now_ms: int) -> None:
        """Adopt the entries of a member that are newer.

        Args:
          exchange: Received entries with their base.
          now_ms: Current time.
        """
        flags = []
        entries = []
        for received in exchange.entries:
            is_flag = received.key.startswith(leaving.PREFIX)
            (flags if is_flag else entries).append(received)
        self.flags.merge(flags, now_ms)
        # All changes up to `complete` are known already, so an unknown one is
        # a key whose deletion was forgotten.
        later = [entry for entry in entries if entry.revision > self.complete]
        self._put_all(later, now_ms)
        if exchange.full:
            self._delete_missing(entries, exchange.complete, now_ms)
        if gossip.NO_BASE < exchange.base <= self.complete:
            self._advance(exchange.complete)

    def apply_read(self, reply: store.ReadReply, now_ms: int) -> None:
        """Adopt a read of all keys of the store."""
        entries = [_entry(found) for found in reply.entries]
        self._put_all(entries, now_ms)
        self._delete_missing(entries, reply.revision, now_ms)
        self._advance(reply.revision)

    def apply_events(self, events: store.WatchEvents, now_ms: int) -> bool:
        """Adopt the changes that a watch reported.

        Returns:
          Whether the events were unambiguous. A key that was both written
          and deleted has no known order, so the store must be read again.
        """
        changed = {found.key: _entry(found) for found in events.changed}
        if not changed.keys().isdisjoint(events.deleted):
            return False
        # The exact revision of a deletion is unknown. The end of the batch
        # is as good, because the key did not come back before it.
        deleted = [_tombstone(key, events.revision) for key in events.deleted]
        self._put_all((*changed.values(), *deleted), now_ms)
        self._advance(events.revision)
        return True

    def prove(self, revision: int, at_ms: int) -> None:
        """Note that the store's revision was `revision` at `at_ms`.

        The proof counts as soon as all changes up to it are known.
        """
        self.pending.append((revision, at_ms))
        self._advance(self.complete)

    def proof_age_ms(self, now_ms: int) -> int:
        """Return the age of the proof, or `gossip.NO_PROOF`."""
        if self.proof_ms is None:
            return gossip.NO_PROOF
        return now_ms - self.proof_ms

    def delta(self, base: int) -> gossip.Exchange:
        """Return the entries that a member at revision `base` lacks."""
        full = not base or base < self.horizon
        entries = tuple(
            entry
            for entry in self.entries.values()
            if entry.revision > base or (full and not entry.deleted)
        )
        return gossip.Exchange(
            complete=self.complete,
            base=0 if full else base,
            full=full,
            entries=entries,
        )

    def expire(self, now_ms: int) -> None:
        """Forget deletions that are older than `TOMBSTONE_MS`."""
        limit_ms = now_ms - TOMBSTONE_MS
        while self.tombstones and self.tombstones[0][0] < limit_ms:
            entry = self.tombstones.popleft()[1]
            if self.entries.get(entry.key) == entry:
                self.entries.pop(entry.key)
                self.horizon = max(self.horizon, entry.revision)
        self.flags.expire(now_ms)

    def _put_all(self, entries: Entries, now_ms: int) -> None:
        changed = [entry for entry in entries if self._put(entry, now_ms)]
        if not changed:
            return
        if self.news_base is None:
            self.news_base = self.complete
        if any(entry.key.startswith(MEMBERS) for entry in changed):
            self.names = sorted(self.members)
            self.members_hash = _hash(self.names)

    def _put(self, entry: gossip.Entry, now_ms: int) -> bool:
        old = self.entries.get(entry.key)
        if old is not None:
            if _rank(entry) <= _rank(old):
                return False
            self.live_hash ^= _live_hash(old)
        self.live_hash ^= _live_hash(entry)
        self.entries[entry.key] = entry
        if entry.deleted:
            self.tombstones.append((now_ms, entry))
        if entry.key.startswith(MEMBERS):
            self._index_member(entry)
        elif entry.key.startswith(SLOTS):
            self._index_slot(entry)
        return True

    def _index_member(self, entry: gossip.Entry) -> None:
        name = entry.key.removeprefix(MEMBERS)
        self.members.pop(name, None)
        member = None if entry.deleted else parse_member(entry.value)
        if member is not None and member.name == name:
            self.members[name] = member

    def _index_slot(self, entry: gossip.Entry) -> None:
        group, _, number = entry.key.removeprefix(SLOTS).rpartition('/')
        if not number.isdecimal():
            return
        place = (group, int(number))
        self.slots.pop(place, None)
        if not entry.deleted:
            holder = slot_ranking.parse_holder(entry.value)
            if holder:
                self.slots[place] = topology.Slot(
                    *place,
                    holder=holder,
                    epoch=entry.created,
                )

    def _delete_missing(
        self,
        listed: Entries,
        revision: int,
        now_ms: int,
    ) -> None:
        keys = {entry.key for entry in listed if not entry.deleted}
        missing = [
            key
            for key, entry in self.entries.items()
            if entry.revision <= revision and key not in keys
        ]
        # Keys that are deleted already stay as they are.
        live = [key for key in missing if not self.entries[key].deleted]
        self._put_all([_tombstone(key, revision) for key in live], now_ms)
        if not self.complete:
            # Nothing is known about earlier deletions.
            self.horizon = max(self.horizon, revision)

    def _advance(self, revision: int) -> None:
        self.complete = max(self.complete, revision)
        for proved, at_ms in tuple(self.pending):
            if proved <= self.complete:
                self.pending.remove((proved, at_ms))
                if self.proof_ms is None or at_ms > self.proof_ms:
                    self.proof_ms = at_ms


def parse_member(document: str) -> topology.Member | None:
    """Return the member that a store document describes, or None."""
    try:
        return _member_decoder.decode(document)
    except msgspec.MsgspecError:
        return None


def _entry(found: store.KeyValue) -> gossip.Entry:
    return gossip.Entry(
        found.key,
        found.value,
        found.mod_revision,
        found.create_revision,
    )


def _tombstone(key: str, revision: int) -> gossip.Entry:
    return gossip.Entry(key, '', revision, deleted=True)


def _rank(entry: gossip.Entry) -> tuple[int, bool]:
    return entry.revision, not entry.deleted


def _live_hash(entry: gossip.Entry) -> int:
    if entry.deleted:
        return 0
    return zlib.crc32(f'{entry.key}\0{entry.revision}'.encode())


def _hash(names: list[str]) -> int:
    return zlib.crc32('\0'.join(names).encode())
