"""Keeps the configuration of one node up to date.

A watch of the store brings changes at once, and the exchange of revisions with
other nodes shows whether it has missed one. A missed configuration comes from
the store or from the node that reports it, whichever answers first.
"""

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    coordination,
    freshness,
    node_context,
    records,
    revision_exchange,
)

# Shortest interval between two fetches from other nodes.
_FETCH_INTERVAL_MS = 200
# Revision of the owners' keys at a node that watches them before there are any.
_NO_RECORD = history.EraNumber(1)


class ConfigurationSync:
    """Sources of the configuration of one node.

    Attributes:
      exchange: Exchange of revisions with other nodes.
      text: Document of the configuration in force, for other nodes.
      next_fetch_ms: Earliest time of the next fetch from another node.
    """

    def __init__(
        self,
        identity: node_context.Identity,
        adapters: node_context.Adapters,
        store_reads: coordination.Coordination,
    ) -> None:
        """Create the object of a node that has no configuration.

        Args:
          identity: Settings of the node.
          adapters: Messages and connections to other nodes.
          store_reads: Watch and polls of the store.
        """
        self.coordination = store_reads
        self.copies = adapters.copies
        self.clock = adapters.clock
        self.key = adapters.documents.configuration_key
        self.exchange = revision_exchange.RevisionExchange(
            identity.name,
            identity.peer.address,
            adapters.messenger,
            adapters.journal,
            identity.apply_within_ms,
        )
        self.exchange.on_newer = self._fetch
        store_reads.on_current = self.exchange.on_proof
        self.text = ''
        self.next_fetch_ms = 0
        self.now_ms = 0

    def is_certain(self) -> bool:
        """Return whether all changes that must be in force are known."""
        # Not `now_ms`: a VM that was suspended may get requests before a tick.
        return self.exchange.freshness.is_certain(self.clock.now_ms())

    @property
    def copy(self) -> tuple[history.EraNumber, str]:
        """Return the revision and the document, for other nodes."""
        return self.exchange.freshness.edition.revision, self.text

    @property
    def age_ms(self) -> int:
        """Return the age of the configuration, or -1 if it is unknown."""
        age_ms = self.exchange.freshness.age_ms(self.now_ms)
        return -1 if age_ms is None else age_ms

    def on_received(
        self, version: int | None, revision: history.EraNumber, text: str
    ) -> None:
        """Record a configuration that was received, usable or not.

        Args:
          version: Its version, or None if it cannot be used.
          revision: Its revision in the store.
          text: Its document.
        """
        known = self.exchange.freshness
        edition = freshness.Edition(
            freshness.NO_VERSION if version is None else version, revision
        )
        if edition.version >= known.edition.version:
            self.text = text
        known.on_received(edition)

    def tick(self, now_ms: int) -> None:
        """Exchange revisions with other nodes, and poll the store if due."""
        self.now_ms = now_ms
        if self.coordination.owns_service:
            newest = self.coordination.keys.newest_record
            self.exchange.records.revision = max(newest, _NO_RECORD)
        else:
            self.exchange.records.revision = history.NONE
        self.exchange.tick(now_ms)
        access = self.coordination.access
        access.urgent = (
            self.coordination.owns_service or self.exchange.is_wanted(now_ms)
        )
        if not self.exchange.poll_due(now_ms):
            return
        if self.exchange.freshness.outdated or self.exchange.is_alone(now_ms):
            access.retry_now()
        if access.ready:
            self.coordination.poll()

    def _fetch(self, address: records.Address) -> None:
        if self.now_ms >= self.next_fetch_ms:
            self.next_fetch_ms = self.now_ms + _FETCH_INTERVAL_MS
            self.copies.fetch(address, self._on_copy)

    def _on_copy(self, revision: history.EraNumber, text: str) -> None:
        self.coordination.accept_copy(
            store.KeyValue(self.key, text, history.NONE, revision)
        )
