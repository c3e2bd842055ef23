"""Reads and watches of the coordination store, and this node's membership.

One watch covers the operator's configuration and the keys of this product,
or the configuration alone on a node that owns no service. The registry is
polled, mostly with cheap reads that may be stale. After any failure
everything is read again, so that no change is missed.
"""

import functools
import typing

import msgspec

from jacinthhaven.records import store
from jacinthhaven.sql import lease, ports, read_schedules, store_access

# How long a starting node waits for the member list before it acts as an
# owner.
_MEMBERS_WAIT_MS = 1000
# Silence limit of the watch on such a node. It may detect a silent watch late,
# since the owners make the decisions that depend on the configuration.
_IDLE_WATCH_MS = 20_000

Entries = tuple[store.KeyValue, ...]


class Listener(typing.Protocol):
    """Receiver of store contents."""

    def on_key(self, key: str, text: str | None, revision: int) -> None:
        """Handle the value of a watched key, or None after its removal."""

    def on_registry(self, entries: Entries, fresh: bool) -> bool:
        """Apply all registry entries; return whether each service has some."""

    def on_members(self, entries: Entries) -> None:
        """Apply the member keys of all nodes."""


class Coordination:
    """Store access of one node: watch, registry reads and lease.

    Attributes:
      revisions: Revision of each existing watched key.
      keeper: Lease and member key of this node.
      access: Calls to the store.
      registry: Schedule of registry reads.
      members: Schedule of member reads.
      owns_service: Whether this node owns services.
      role_known: Whether `owns_service` has been determined.
      snapshot_revision: Revision after which the watch starts once
        `owns_service` is determined.
      watch_number: Number of the watch; 0 during the read that precedes it,
        None while there is no watch.
      heard_ms: When the watch was started, or last had an answer.
      source: What reported the keys that the listener gets: `read` or `watch`.
    """

    def __init__(
        self,
        platform: ports.Platform,
        prefixes: tuple[str, str, str, str],
        listener: Listener,
        access: store_access.StoreAccess,
    ) -> None:
        """Create the object; nothing is sent before `tick`.

        Args:
          platform: Ends watches.
          prefixes: Prefix that owners watch, prefix of the registry, prefix
            of the members, and prefix that nodes without a service watch.
          listener: Receiver of store contents.
          access: Calls to the store.
        """
        self.platform = platform
        self.prefixes = prefixes
        self.listener = listener
        self.access = access
        access.on_change = self._on_store_change
        self.revisions: dict[str, int] = {}
        self.watch_number: int | None = None
        self.heard_ms = 0
        self.source = ''
        self.registry = read_schedules.RegistrySchedule()
        self.members = read_schedules.MemberSchedule()
        self.started_ms: int | None = None
        self.owns_service = False
        self.role_known = False
        self.snapshot_revision: int | None = None
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
            self.watch_number = 0
            self.read_all(
                store.ReadRequest(self.watched),
                functools.partial(self._on_snapshot, self.watched),
            )
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
        self.snapshot_revision = None
        if self.watch_number:
            self.platform.end_watch(self.watch_number)
        self.watch_number = None
        if not owns:
            self._remove_unwatched()
        self.tick(self.now_ms)

    def expedite_members(self) -> None:
        """Read the members earlier, since no known owner could be reached."""
        self.members.expedite()

    def read_all(
        self,
        request: store.ReadRequest,
        on_reply: typing.Callable[[store.ReadReply | None], None],
    ) -> None:
        """Read all pages; the combined reply has the first page's revision.

        The pages are not a consistent snapshot. A watch that starts at that
        revision delivers the changes made between them.
        """
        self.access.call(
            request,
            functools.partial(self._on_page, request, None, on_reply),
        )

    def _on_store_change(self) -> None:
        self.registry.expedite(self.now_ms)

    def _on_page(
        self,
        request: store.ReadRequest,
        earlier: store.ReadReply | None,
        on_reply: typing.Callable[[store.ReadReply | None], None],
        reply: store.ReadReply | None,
    ) -> None:
        if reply is None:
            on_reply(None)
            return
        if earlier is not None:
            reply = store.ReadReply(
                earlier.revision,
                earlier.entries + reply.entries,
                reply.more,
            )
        if not reply.more or not reply.entries:
            on_reply(reply)
            return
        next_request = msgspec.structs.replace(
            request,
            after=reply.entries[-1].key,
        )
        self.access.call(
            next_request,
            functools.partial(self._on_page, next_request, reply, on_reply),
        )

    def _on_snapshot(
        self,
        prefix: str,
        reply: store.ReadReply | None,
    ) -> None:
        if prefix != self.watched:
            return
        if reply is None:
            self.watch_number = None
            return
        self.source = 'read'
        found = {entry.key for entry in reply.entries}
        for key in tuple(self.revisions):
            if key.startswith(prefix) and key not in found:
                self._remove(key, reply.revision)
        for entry in reply.entries:
            self._accept(entry)
        if prefix != self.watched:
            # The keys just read have changed which prefix to watch.
            return
        if self.role_known:
            self._watch(reply.revision)
        else:
            self.snapshot_revision = reply.revision

    def _watch(self, revision: int) -> None:
        self.snapshot_revision = None
        request = store.WatchRequest(
            self.watched,
            revision + 1,
            0 if self.owns_service else _IDLE_WATCH_MS,
        )
        self.heard_ms = self.now_ms
        self.watch_number = self.access.call(request, self._on_events)
        self.access.journal.write(
            'watch_started',
            {'keys': self.watched, 'revision': revision},
        )

    def _on_events(self, reply: store.WatchEvents | None) -> None:
        silent_ms = self.now_ms - self.heard_ms
        if reply is None:
            self.watch_number = None
            self.access.journal.write(
                'watch_lost',
                {'keys': self.watched, 'silent_ms': silent_ms},
            )
            return
        self.source = 'watch'
        for entry in reply.changed:
            self._accept(entry)
        for key in reply.deleted:
            self._remove(key, reply.revision)
        self.heard_ms = self.now_ms

    def _accept(self, entry: store.KeyValue) -> None:
        if entry.mod_revision <= self.revisions.get(entry.key, 0):
            return
        self.revisions[entry.key] = entry.mod_revision
        self.listener.on_key(entry.key, entry.value, entry.mod_revision)

    def _remove_unwatched(self) -> None:
        """Report the keys that are no longer watched as removed."""
        for key, revision in tuple(self.revisions.items()):
            if not key.startswith(self.watched):
                self._remove(key, revision)

    def _remove(self, key: str, revision: int) -> None:
        if self.revisions.pop(key, None) is not None:
            self.listener.on_key(key, None, revision)

    def _read_registry(self, now_ms: int) -> None:
        fresh = self.registry.start(now_ms, owns_service=self.owns_service)
        self.read_all(
            store.ReadRequest(self.prefixes[1], may_be_stale=not fresh),
            functools.partial(self._on_registry, fresh),
        )

    def _on_registry(self, fresh: bool, reply: store.ReadReply | None) -> None:
        complete = None
        if reply is not None:
            complete = self.listener.on_registry(reply.entries, fresh)
            # A node without a service needs no faster reads.
            complete = complete or not self.owns_service
        self.registry.finish(complete, self.now_ms)

    def _read_members(self, now_ms: int) -> None:
        self.members.start(now_ms, owns_service=self.owns_service)
        request = store.ReadRequest(self.prefixes[2], may_be_stale=True)
        self.read_all(request, self._on_members)

    def _on_members(self, reply: store.ReadReply | None) -> None:
        self.members.finish(succeeded=reply is not None, now_ms=self.now_ms)
        if reply is None:
            return
        self.keeper.listed_keys = {entry.key for entry in reply.entries}
        self.listener.on_members(reply.entries)
