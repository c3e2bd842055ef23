"""One node's copy of the store's keys and of the leaving flags.

Every key carries the store revision of its last change, and the higher
revision wins. Merging is therefore commutative, idempotent and monotonic, so
the source and the order of the entries do not matter.

The directory also knows the revision up to which it has every change, so
that members exchange only the changes after that revision. A hash of the
live keys reveals the rare case of a missed deletion.
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
TOMBSTONE_RETENTION_MS = 600_000
# Proofs of revisions that the watch has not reported yet.
_MAX_PENDING_PROOFS = 8

_member_decoder = msgspec.json.Decoder(topology.Member)

Entries = typing.Iterable[gossip.Entry]


class Directory:
    """Entries by key, merged by revision.

    Attributes:
      entries: All entries, deletions included.
      complete: Store revision up to which all changes are known.
      forgotten_revision: Highest revision of a deletion that was forgotten.
      proof_ms: Own clock reading at which `complete` was the newest
        revision of the store or newer; None without a proof.
      members: Live members by name.
      slots: Held connection slots by group and number.
      member_names: Sorted names of the members.
      members_hash: Hash of `member_names`.
      live_hash: Combined hash of all keys that exist, with revisions.
      leaving_flags: Leaving flags of backend servers.
      unsent_base: Value of `complete` before the first change that was not
        yet sent to other members; None if there is none.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, gossip.Entry] = {}
        self.complete = 0
        self.forgotten_revision = 0
        self.proof_ms: int | None = None
        self.members: dict[str, topology.Member] = {}
        self.slots: dict[tuple[str, int], topology.Slot] = {}
        self.member_names: list[str] = []
        self.members_hash = 0
        self.live_hash = 0
        self.leaving_flags = leaving.LeavingFlags()
        self.unsent_base: int | None = None
        self.tombstones: collections.deque = collections.deque()
        self.pending_proofs: collections.deque = collections.deque(
            maxlen=_MAX_PENDING_PROOFS,
        )

    def merge(self, exchange: gossip.Exchange, now_ms: int) -> None:
        """Adopt the newer entries of another member.

        Args:
          exchange: Received entries with their base.
          now_ms: Current time.
        """
        flags = []
        entries = []
        for received in exchange.entries:
            is_flag = received.key.startswith(leaving.PREFIX)
            (flags if is_flag else entries).append(received)
        self.leaving_flags.merge(flags, now_ms)
        # All changes up to `complete` are known already, so an unknown one is
        # a key whose deletion was forgotten.
        later = [entry for entry in entries if entry.revision > self.complete]
        self._merge_entries(later, now_ms)
        if exchange.full:
            self._delete_missing(entries, exchange.complete, now_ms)
        if gossip.NO_BASE < exchange.base <= self.complete:
            self._advance_complete(exchange.complete)

    def apply_read(self, reply: store.ReadReply, now_ms: int) -> None:
        """Adopt the result of a read of all keys of the store."""
        entries = [_entry_of(key_value) for key_value in reply.entries]
        self._merge_entries(entries, now_ms)
        self._delete_missing(entries, reply.revision, now_ms)
        self._advance_complete(reply.revision)

    def apply_events(self, events: store.WatchEvents, now_ms: int) -> bool:
        """Adopt the changes that a watch reported.

        Returns:
          Whether the events were unambiguous. A key that was both written
          and deleted has no known order, so the store must be read again.
        """
        changed = {
            key_value.key: _entry_of(key_value) for key_value in events.changed
        }
        if not changed.keys().isdisjoint(events.deleted):
            return False
        # The exact revision of a deletion is unknown. The last revision of
        # the batch serves as well, because the batch does not write the key
        # again.
        deleted = [_tombstone(key, events.revision) for key in events.deleted]
        self._merge_entries((*changed.values(), *deleted), now_ms)
        self._advance_complete(events.revision)
        return True

    def record_proof(self, revision: int, at_ms: int) -> None:
        """Record that the store's revision was `revision` at `at_ms`.

        The proof takes effect once all changes up to it are known.
        """
        self.pending_proofs.append((revision, at_ms))
        self._advance_complete(self.complete)

    def proof_age_ms(self, now_ms: int) -> int:
        """Return the age of the proof, or `gossip.NO_PROOF`."""
        if self.proof_ms is None:
            return gossip.NO_PROOF
        return now_ms - self.proof_ms

    def delta(self, base: int) -> gossip.Exchange:
        """Return the entries that a member at revision `base` lacks."""
        full = not base or base < self.forgotten_revision
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
        """Drop deletions that are older than `TOMBSTONE_RETENTION_MS`."""
        limit_ms = now_ms - TOMBSTONE_RETENTION_MS
        while self.tombstones and self.tombstones[0][0] < limit_ms:
            entry = self.tombstones.popleft()[1]
            if self.entries.get(entry.key) == entry:
                self.entries.pop(entry.key)
                self.forgotten_revision = max(
                    self.forgotten_revision, entry.revision
                )
        self.leaving_flags.expire(now_ms)

    def _merge_entries(self, entries: Entries, now_ms: int) -> None:
        changed = [
            entry for entry in entries if self._merge_entry(entry, now_ms)
        ]
        if not changed:
            return
        if self.unsent_base is None:
            self.unsent_base = self.complete
        if any(entry.key.startswith(MEMBERS) for entry in changed):
            self.member_names = sorted(self.members)
            self.members_hash = _names_hash(self.member_names)

    def _merge_entry(self, entry: gossip.Entry, now_ms: int) -> bool:
        old = self.entries.get(entry.key)
        if old is not None:
            if _precedence(entry) <= _precedence(old):
                return False
            self.live_hash ^= _entry_hash(old)
        self.live_hash ^= _entry_hash(entry)
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
        # Existing deletions keep their revisions.
        live = [key for key in missing if not self.entries[key].deleted]
        self._merge_entries([_tombstone(key, revision) for key in live], now_ms)
        if not self.complete:
            # Deletions before the first read are unknown.
            self.forgotten_revision = max(self.forgotten_revision, revision)

    def _advance_complete(self, revision: int) -> None:
        self.complete = max(self.complete, revision)
        for proved, at_ms in tuple(self.pending_proofs):
            if proved <= self.complete:
                self.pending_proofs.remove((proved, at_ms))
                if self.proof_ms is None or at_ms > self.proof_ms:
                    self.proof_ms = at_ms


def parse_member(document: str) -> topology.Member | None:
    """Return the member that a store document describes, or None."""
    try:
        return _member_decoder.decode(document)
    except msgspec.MsgspecError:
        return None


def _entry_of(key_value: store.KeyValue) -> gossip.Entry:
    return gossip.Entry(
        key_value.key,
        key_value.value,
        key_value.mod_revision,
        key_value.create_revision,
    )


def _tombstone(key: str, revision: int) -> gossip.Entry:
    return gossip.Entry(key, '', revision, deleted=True)


def _precedence(entry: gossip.Entry) -> tuple[int, bool]:
    return entry.revision, not entry.deleted


def _entry_hash(entry: gossip.Entry) -> int:
    if entry.deleted:
        return 0
    return zlib.crc32(f'{entry.key}\0{entry.revision}'.encode())


def _names_hash(names: list[str]) -> int:
    return zlib.crc32('\0'.join(names).encode())
