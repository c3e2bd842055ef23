"""Watched keys of the store, as far as one node knows them.

Changes arrive from reads, from a watch, from polls and from other nodes, in any
order. Each change of a key is reported once, and never an older one after it.
"""

import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import ports


class Listener(typing.Protocol):
    """Receiver of the values of watched keys."""

    def on_key(
        self,
        key: str,
        text: str | None,
        revision: history.EraNumber,
    ) -> None:
        """Handle the value of a watched key, or None after its removal."""


class WatchedKeys:
    """Watched keys of one node.

    Attributes:
      revisions: Revision of each existing key.
      complete: Revision up to which all changes are known.
      newest_record: Newest revision of a key other than the configuration.
      source: What reported the keys that the listener gets: `read`, `watch`,
        `poll` or `node`.
    """

    def __init__(
        self,
        configuration_key: str,
        listener: Listener,
        journal: ports.Journal,
    ) -> None:
        """Start without any knowledge.

        Args:
          configuration_key: Key of the operator's configuration.
          listener: Receiver of the values.
          journal: Log and metrics.
        """
        self.configuration_key = configuration_key
        self.listener = listener
        self.journal = journal
        self.revisions: dict[str, history.EraNumber] = {}
        self.complete = history.NONE
        self.newest_record = history.NONE
        self.source = ''

    def apply_read(self, prefix: str, reply: store.ReadReply) -> None:
        """Apply a read of all keys with a prefix."""
        self.source = 'read'
        found = {entry.key for entry in reply.entries}
        for key in tuple(self.revisions):
            if key.startswith(prefix) and key not in found:
                self.remove(key, reply.revision)
        for entry in reply.entries:
            self.accept(entry)

    def apply_changes(self, source: str, reply: store.WatchEvents) -> None:
        """Apply the changes in the answer to a watch or to a poll."""
        self.source = source
        self.complete = max(self.complete, reply.revision)
        for entry in reply.changed:
            self.accept(entry)
        for key in reply.deleted:
            self.remove(key, reply.revision)

    def apply_copy(self, entry: store.KeyValue) -> bool:
        """Report a key that another node has read.

        The node may know a value that a restored store has lost, so that the
        revision alone does not tell whether it is news. The store itself is
        still to report the revision.

        Returns:
          Whether the revision is newer than the known one.
        """
        self.source = 'node'
        self.listener.on_key(entry.key, entry.value, entry.mod_revision)
        return entry.mod_revision > self.revisions.get(entry.key, history.NONE)

    def remove_others(self, prefix: str) -> None:
        """Report the keys without a prefix, which is watched now, as removed."""
        for key, revision in tuple(self.revisions.items()):
            if not key.startswith(prefix):
                self.remove(key, revision)

    def accept(self, entry: store.KeyValue) -> bool:
        """Report a key unless it is known; return whether it was reported."""
        known = self.revisions.get(entry.key, history.NONE)
        if entry.mod_revision <= known:
            self._log_ignored(entry, known)
            return False
        self.revisions[entry.key] = entry.mod_revision
        if entry.key != self.configuration_key:
            self.newest_record = max(self.newest_record, entry.mod_revision)
        self.listener.on_key(entry.key, entry.value, entry.mod_revision)
        return True

    def remove(self, key: str, revision: history.EraNumber) -> None:
        """Report a removal unless the key is unknown or was written later."""
        if 0 < self.revisions.get(key, 0) <= revision:
            self.revisions.pop(key)
            self.listener.on_key(key, None, revision)

    def _log_ignored(
        self,
        entry: store.KeyValue,
        known: history.EraNumber,
    ) -> None:
        self.journal.write(
            'key_ignored',
            {
                'key': entry.key,
                'revision': entry.mod_revision,
                'known': known,
                'source': self.source,
            },
        )
