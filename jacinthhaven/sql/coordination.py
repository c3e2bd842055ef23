"""Reads and watches of the coordination store, and this node's membership.

One watch covers the operator's configuration and the keys of this product,
or the configuration alone on a node that owns no service. A watch may fall
silent unnoticed, so the store can be polled for changes beside it. The registry
is polled, mostly with cheap reads that may be stale. After any failure
everything is read again, so that no change is missed.
"""

import functools
import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    lease,
    node_context,
    paged_reads,
    read_schedules,
    store_access,
    store_calls,
    store_routes,
    watched_keys,
)

# How long a starting node waits for the member list before it acts as an
# owner.
_MEMBERS_WAIT_MS = 1000
# Time that a poll of the watch waits on a node without services. It may detect a
# silent watch late, since the exchange with other nodes does so earlier.
_IDLE_WATCH_MS = 20_000

Entries = tuple[store.KeyValue, ...]


class Listener(watched_keys.Listener, typing.Protocol):
    """Receiver of store contents."""

    def on_registry(self, entries: Entries, proved_ms: int | None) -> bool:
        """Apply all registry entries; return whether each service has some.

        Args:
          entries: All entries.
          proved_ms: When the read was sent, or None if it may be old.
        """

    def on_members(self, entries: Entries) -> None:
        """Apply the member keys of all nodes."""


class WatchProgress:
    """Calls that report changes.

    Attributes:
      heard_ms: When the watch was started, or last had an answer.
      polling: Whether a poll for changes is under way.
    """

    __slots__ = ('heard_ms', 'polling')

    def __init__(self) -> None:
        """Start without a call."""
        self.heard_ms = 0
        self.polling = False


class Coordination:
    """Store access of one node: watch, registry reads and lease.

    Attributes:
      keys: Watched keys as far as they are known.
      keeper: Lease and member key of this node.
      access: Calls to the store, and the end of watches.
      registry: Schedule of registry reads.
      members: Schedule of member reads.
      owns_service: Whether this node owns services.
      role_known: Whether `owns_service` has been determined.
      snapshot_revision: Revision after which the watch starts once
        `owns_service` is determined.
      watch_number: Number of the watch; 0 during the read that precedes it,
        None while there is no watch.
      watch_round: Number of the last read and of the watch that follows it.
      progress: Watch and polls under way.
      on_current: Called with a time up to which all changes are known.
    """

    def __init__(
        self,
        prefixes: tuple[str, str, str, str],
        listener: Listener,
        access: store_access.StoreAccess,
    ) -> None:
        """Create the object; nothing is sent before `tick`.

        Args:
          prefixes: Prefix that owners watch, prefix of the registry, prefix
            of the members, and prefix that nodes without a service watch.
          listener: Receiver of store contents.
          access: Calls to the store.
        """
        self.prefixes = prefixes
        self.listener = listener
        self.access = access
        access.on_change = self._on_store_change
        self.keys = watched_keys.WatchedKeys(
            prefixes[3], listener, access.journal
        )
        self.watch_number: int | None = None
        self.watch_round = 0
        self.progress = WatchProgress()
        self.on_current: typing.Callable[[int], None] = _ignore
        self.registry = read_schedules.RegistrySchedule()
        self.members = read_schedules.MemberSchedule()
        self.started_ms: int | None = None
        self.owns_service = False
        self.role_known = False
        self.snapshot_revision: history.EraNumber | None = None
        self.keeper = lease.LeaseKeeper(self.access.call)
        self.now_ms = 0

    @property
    def lease(self) -> int:
        """Return the lease ID of this node; 0 while it has none."""
        return self.keeper.lease

    def tick(self, now_ms: int) -> None:
        """Send the store calls that are due."""
        self.now_ms = now_ms
        self.access.now_ms = now_ms
        if self.started_ms is None:
            self.started_ms = now_ms
        if not self.role_known and now_ms - self.started_ms >= _MEMBERS_WAIT_MS:
            self.update_ownership(True)
        if not self.access.ready:
            return
        if self.watch_number is None:
            self._read_watched(now_ms)
        if self.registry.due(now_ms):
            self._read_registry(now_ms)
        if now_ms >= self.members.next_ms:
            self._read_members(now_ms)
        self.keeper.tick(now_ms)

    @property
    def watched(self) -> str:
        """Return the prefix that this node watches."""
        return self.prefixes[0 if self.owns_service else 3]

    @property
    def synced(self) -> bool:
        """Return whether all keys of this product are read and watched."""
        return self.owns_service and bool(self.watch_number)

    def update_ownership(self, owns: bool) -> None:
        """Set whether this node owns services.

        An owner also watches the keys that other owners write; another node
        watches the configuration only.
        """
        unchanged = self.role_known and owns == self.owns_service
        self.role_known = True
        if unchanged:
            return
        if owns == self.owns_service and self.snapshot_revision is not None:
            self._watch(self.snapshot_revision)
            return
        self.owns_service = owns
        self.access.urgent = owns
        if owns:
            self.registry.require_fresh()
        self._end_watch()
        if not owns:
            self.keys.remove_others(self.watched)
        self.tick(self.now_ms)

    def poll(self) -> None:
        """Ask for the changes that the watch should have reported.

        If there are any, the watch has fallen silent and is replaced.
        """
        if self.progress.polling or not self.watch_number:
            return
        self.progress.polling = True
        self.access.call(
            store.ChangesRequest(self.watched, self.keys.complete + 1),
            functools.partial(
                self._on_changes,
                self.watch_number,
                self.keys.complete,
                self.now_ms,
            ),
        )

    def on_restored(self) -> None:
        """Read everything again, since the store was restored."""
        self._end_watch()
        self.progress.polling = False
        if self.owns_service:
            self.registry.require_fresh()
        self.registry.expedite(self.now_ms)
        self.members.on_restored(self.now_ms)
        self.keeper.on_restored()

    def accept_copy(self, entry: store.KeyValue) -> None:
        """Apply a watched key that another node has read."""
        if self.keys.apply_copy(entry):
            # The watch should have reported it.
            self.poll()

    def expedite_members(self) -> None:
        """Read the members earlier, since no known owner could be reached."""
        self.members.expedite()

    def _read_watched(self, now_ms: int) -> None:
        self.watch_number = 0
        self.watch_round += 1
        paged_reads.read_all(
            self.access,
            store.ReadRequest(self.watched),
            functools.partial(
                self._on_snapshot, self.watched, self.watch_round, now_ms
            ),
        )

    def _end_watch(self) -> None:
        """End the watch, or the read that precedes it."""
        self.snapshot_revision = None
        if self.watch_number:
            self.access.calls.end_watch(self.watch_number)
        self.watch_number = None
        self.watch_round += 1

    def _on_store_change(self) -> None:
        self.registry.expedite(self.now_ms)

    def _on_snapshot(
        self,
        prefix: str,
        watch_round: int,
        sent_ms: int,
        reply: store.ReadReply | None,
    ) -> None:
        if watch_round != self.watch_round:
            return
        if reply is None:
            self.watch_number = None
            return
        self.keys.apply_read(prefix, reply)
        self.on_current(sent_ms)
        if watch_round != self.watch_round:
            # The keys just read have changed which prefix to watch.
            return
        if self.role_known:
            self._watch(reply.revision)
        else:
            self.snapshot_revision = reply.revision

    def _watch(self, revision: history.EraNumber) -> None:
        self.snapshot_revision = None
        self.keys.complete = revision
        request = store.WatchRequest(
            self.watched,
            revision + 1,
            0 if self.owns_service else _IDLE_WATCH_MS,
        )
        self.progress.heard_ms = self.now_ms
        self.watch_number = self.access.call(
            request,
            functools.partial(self._on_events, self.watch_round),
        )
        self.access.journal.write(
            'watch_started',
            {'keys': self.watched, 'revision': revision},
        )

    def _on_events(
        self,
        watch_round: int,
        reply: store.WatchEvents | None,
    ) -> None:
        if watch_round != self.watch_round:
            return
        silent_ms = self.now_ms - self.progress.heard_ms
        if reply is None:
            self.watch_number = None
            self.access.journal.write(
                'watch_lost',
                {'keys': self.watched, 'silent_ms': silent_ms},
            )
            return
        self.keys.apply_changes('watch', reply)
        self.on_current(self.progress.heard_ms)
        self.progress.heard_ms = self.now_ms

    def _on_changes(
        self,
        watch_number: int,
        known: history.EraNumber,
        sent_ms: int,
        reply: store.WatchEvents | store.HistoryLost | None,
    ) -> None:
        self.progress.polling = False
        if reply is None or watch_number != self.watch_number:
            return
        if isinstance(reply, store.HistoryLost):
            self._restart_watch(None)
            return
        missed = self.keys.complete == known and (
            reply.changed or reply.deleted
        )
        self.keys.apply_changes('poll', reply)
        self.on_current(sent_ms)
        if missed and watch_number == self.watch_number:
            self._restart_watch(reply.revision)

    def _restart_watch(self, revision: history.EraNumber | None) -> None:
        """Replace the watch; read everything again without a revision."""
        self.access.journal.write(
            'watch_replaced',
            {
                'keys': self.watched,
                'revision': revision or 0,
                'silent_ms': self.now_ms - self.progress.heard_ms,
            },
        )
        self._end_watch()
        if revision is not None:
            self._watch(revision)

    def _read_registry(self, now_ms: int) -> None:
        fresh = self.registry.start(now_ms, owns_service=self.owns_service)
        paged_reads.read_all(
            self.access,
            store.ReadRequest(self.prefixes[1], may_be_stale=not fresh),
            functools.partial(self._on_registry, now_ms if fresh else None),
        )

    def _on_registry(
        self, proved_ms: int | None, reply: store.ReadReply | None
    ) -> None:
        # An error of the listener must not be the end of all reads.
        self.registry.running = False
        complete = None
        if reply is not None:
            complete = self.listener.on_registry(reply.entries, proved_ms)
            # A node without a service needs no faster reads.
            complete = complete or not self.owns_service
        self.registry.finish(complete, self.now_ms)

    def _read_members(self, now_ms: int) -> None:
        self.members.start(now_ms, owns_service=self.owns_service)
        request = store.ReadRequest(self.prefixes[2], may_be_stale=True)
        paged_reads.read_all(self.access, request, self._on_members)

    def _on_members(self, reply: store.ReadReply | None) -> None:
        self.members.finish(succeeded=reply is not None, now_ms=self.now_ms)
        if reply is None:
            return
        self.keeper.listed_keys = {entry.key for entry in reply.entries}
        self.listener.on_members(reply.entries)


def create(
    identity: node_context.Identity,
    adapters: node_context.Adapters,
    calls: store_calls.StoreCalls,
    listener: Listener,
) -> Coordination:
    """Return the store access of a node that has just started.

    Args:
      identity: Settings of the node.
      adapters: Names of the keys, log and metrics.
      calls: Calls to the store.
      listener: Receiver of store contents.
    """
    documents = adapters.documents
    return Coordination(
        (
            documents.watched_prefix,
            documents.registry_prefix,
            documents.member_prefix,
            documents.configuration_key,
        ),
        listener,
        store_access.StoreAccess(
            calls,
            store_routes.StoreRoutes(identity.seeds, adapters.rng),
            adapters.journal,
        ),
    )


def _ignore(_at_ms: int) -> None:
    """Do nothing; default of an unset callback."""
