"""Keys of the platform's store with their revisions and history.

Every change gets the next revision, so the history can be addressed by
revision.
"""

from jacinthhaven.records import store

# The revision of an empty store in etcd.
FIRST_REVISION = 1


class KeySpace:
    """Stored keys.

    Attributes:
      revision: Revision of the last change.
      compacted: Revision up to which the history was dropped.
      history: Changes of every later revision, in order.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self.revision = FIRST_REVISION
        self.compacted = FIRST_REVISION
        self.keys: dict[str, store.KeyValue] = {}
        self.history: list[store.WatchEvents] = []

    def copy(self) -> 'KeySpace':
        """Return a copy with the same keys, revision and history."""
        copied = KeySpace()
        copied.revision = self.revision
        copied.compacted = self.compacted
        copied.keys = dict(self.keys)
        copied.history = list(self.history)
        return copied

    def read(self, prefix: str) -> store.ReadReply:
        """Return the keys that start with a prefix, sorted by name."""
        return store.ReadReply(
            self.revision,
            tuple(
                self.keys[key]
                for key in sorted(self.keys)
                if key.startswith(prefix)
            ),
        )

    def holds(self, compare: store.Compare) -> bool:
        """Return whether a condition of a swap holds."""
        entry = self.keys.get(compare.key)
        if entry is None:
            return compare.mod_revision == 0
        return compare.mod_revision == entry.mod_revision

    def change(self, puts: list[store.Put], deletes: list[str]) -> None:
        """Write and delete keys in one revision.

        Args:
          puts: Keys to write.
          deletes: Names of keys to delete; absent keys are ignored.
        """
        deleted = tuple(key for key in deletes if key in self.keys)
        if not puts and not deleted:
            return
        self.revision += 1
        for key in deleted:
            self.keys.pop(key)
        changed = tuple(self._put(put) for put in puts)
        self.history.append(
            store.WatchEvents(self.revision, changed, deleted),
        )

    def bound_to(self, lease: int) -> list[str]:
        """Return the sorted names of the keys that are bound to a lease."""
        return sorted(
            key for key, entry in self.keys.items() if entry.lease == lease
        )

    def changes_from(
        self,
        revision: int,
        prefix: str,
    ) -> list[store.WatchEvents]:
        """Return the changes of keys that start with a prefix.

        Args:
          revision: First revision; must be above `compacted`.
          prefix: Start of the names.

        Returns:
          One record for each revision that changed such a key.
        """
        found = [
            _matching(events, prefix)
            for events in self.history[revision - self.compacted - 1 :]
        ]
        return [events for events in found if events.changed or events.deleted]

    def compact(self, revision: int) -> None:
        """Drop the history up to a revision."""
        self.history = self.history[max(revision - self.compacted, 0) :]
        self.compacted = max(revision, self.compacted)

    def _put(self, put: store.Put) -> store.KeyValue:
        known = self.keys.get(put.key)
        entry = store.KeyValue(
            put.key,
            put.value,
            known.create_revision if known else self.revision,
            self.revision,
            put.lease,
        )
        self.keys[put.key] = entry
        return entry


def _matching(events: store.WatchEvents, prefix: str) -> store.WatchEvents:
    return store.WatchEvents(
        events.revision,
        tuple(
            entry for entry in events.changed if entry.key.startswith(prefix)
        ),
        tuple(key for key in events.deleted if key.startswith(prefix)),
    )
