"""What this node learns from the store, and its own membership.

One watch brings the operator's configuration and the keys of this product,
or the configuration alone where the node owns no service; the registry is read at intervals, mostly in the cheap way that may be old.
After any failure everything is read again, so that nothing is missed.
"""

import functools
import random
import typing

import msgspec

from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import store
from jacinthhaven.sql import lease, ports

# Intervals of registry reads: reads that may be old cost a tenth of the
# others, which in turn bound how old the known registry can be.
_STALE_READ_MS = 900
_FRESH_READ_EVERY = 3
# Interval while instances are missing that should be back: entries that
# expired during an outage of the store return within two seconds of its own
# return. For a while only, since a service may have lost its instances.
_MISSING_READ_MS = 250
_MISSING_READ_FOR_MS = 6000
_RETRY_FIRST_MS = 150
_RETRY_LAST_MS = 800
_IDLE_RETRY_LAST_MS = 4000
# Until the first answer nothing can be served.
_START_RETRY_LAST_MS = 200
# Intervals of reads of the members: they double after the start, up to the
# interval of nodes that own services and of the others.
_FIRST_MEMBERS_MS = 400
_OWNER_MEMBERS_MS = 2000
_IDLE_MEMBERS_MS = 6000
# Pause between two reads because no owner could be reached.
_MISSED_MEMBERS_MS = 1000
# How long a node that starts waits for the members before it takes itself
# for an owner.
_LEARN_MS = 1000
# A node that owns no service needs the registry only to help out.
_IDLE_REGISTRY_FACTOR = 5
# Such a node leaves decisions on the configuration to the owners, so that it
# may notice late that its watch went silent.
_IDLE_WATCH_MS = 20_000

Entries = tuple[store.KeyValue, ...]


class Listener(typing.Protocol):
    """Receiver of what the store holds."""

    def on_key(self, key: str, text: str | None, revision: int) -> None:
        """Accept the value of a watched key, or None after its removal."""

    def on_registry(self, entries: Entries, fresh: bool) -> bool:
        """Accept all entries; return whether each service has some."""

    def on_members(self, entries: Entries) -> None:
        """Accept the keys of all nodes."""


class RegistryTimes:
    """When the registry is read, and which reads may be old.

    Attributes:
      next_ms: When the next read is due.
      reads: Reads since one that was not old.
      running: Whether a read has no answer yet.
      hurry_until_ms: Until when missing instances are looked for often.
      old: Whether only reads that may be old are known of an owner.
    """

    __slots__ = ('next_ms', 'reads', 'running', 'hurry_until_ms', 'old')

    def __init__(self) -> None:
        """Read at once."""
        self.next_ms = 0
        self.reads = 0
        self.running = False
        self.hurry_until_ms = 0
        self.old = False

    def due(self, now_ms: int) -> bool:
        """Return whether it is time for a read."""
        return not self.running and (self.old or now_ms >= self.next_ms)

    def own(self) -> None:
        """Read at once what a new owner needs; it must not be old."""
        self.old = True

    def start(self, now_ms: int, *, owns_service: bool) -> bool:
        """Start a read; return whether it must not be old."""
        self.running = True
        factor = 1 if owns_service else _IDLE_REGISTRY_FACTOR
        self.next_ms = now_ms + _STALE_READ_MS * factor
        fresh = self.old or self.reads % _FRESH_READ_EVERY == 0
        self.old = self.old and not owns_service
        return owns_service and fresh

    def hurry(self, now_ms: int) -> None:
        """Look often for instances that are missing from now on."""
        self.hurry_until_ms = now_ms + _MISSING_READ_FOR_MS

    def finish(self, complete: bool | None, now_ms: int) -> None:
        """Accept the end of a read.

        Args:
          complete: Whether each service has instances; None after a failure.
          now_ms: Current time.
        """
        self.running = False
        self.reads = 0 if complete is None else self.reads + 1
        if complete is False and now_ms < self.hurry_until_ms:
            self.reads = 0
            self.next_ms = now_ms + _MISSING_READ_MS


class MemberTimes:
    """When the members are read.

    Attributes:
      next_ms: When the next read is due.
      last_ms: When the last one was sent.
      pause_ms: Pause after the next one, unless it is too long.
    """

    __slots__ = ('next_ms', 'last_ms', 'pause_ms')

    def __init__(self) -> None:
        """Read at once."""
        self.next_ms = 0
        self.last_ms = 0
        self.pause_ms = _FIRST_MEMBERS_MS

    def start(self, now_ms: int, *, owns_service: bool) -> None:
        """Start a read."""
        longest_ms = _OWNER_MEMBERS_MS if owns_service else _IDLE_MEMBERS_MS
        pause_ms = min(self.pause_ms, longest_ms)
        self.pause_ms = pause_ms * 2
        self.last_ms = now_ms
        self.next_ms = now_ms + pause_ms

    def hurry(self) -> None:
        """Read soon, since no known owner could be reached."""
        self.next_ms = min(self.next_ms, self.last_ms + _MISSED_MEMBERS_MS)


class Coordination:
    """Watch, registry reads and lease of one node.

    Attributes:
      known: Revision of each watched key that exists.
      keeper: Lease and key of this node.
      connected: Whether the last call succeeded.
      registry: When the registry is read.
      members: When the members are read.
      owns_service: Whether this node may own services.
      settled: Whether that is known.
      read_revision: Revision from which the watch starts once that is known.
      watch_number: Number of the watch; 0 while what it starts from is read,
        None while there is none.
    """

    def __init__(
        self,
        platform: ports.Platform,
        prefixes: tuple[str, str, str, str],
        listener: Listener,
        journal: ports.Journal,
        rng: random.Random,
    ) -> None:
        """Prepare the calls; nothing is sent before `tick`.

        Args:
          platform: Calls to the store.
          prefixes: Watched prefix, prefix of the registry, prefix of the
            members, and what a node watches that owns no service.
          listener: Receiver of what the store holds.
          journal: Log and metrics.
          rng: Source of jitter.
        """
        self.platform = platform
        self.prefixes = prefixes
        self.listener = listener
        self.journal = journal
        self.backoff = backoff.Backoff(
            rng,
            _RETRY_FIRST_MS,
            _START_RETRY_LAST_MS,
        )
        self.known: dict[str, int] = {}
        self.connected = False
        self.watch_number: int | None = None
        self.registry = RegistryTimes()
        self.members = MemberTimes()
        self.started_ms: int | None = None
        self.owns_service = False
        self.settled = False
        self.read_revision: int | None = None
        self.keeper = lease.LeaseKeeper(self.call)
        self.now_ms = 0

    @property
    def lease(self) -> int:
        """Return the lease of this node; 0 while it has none."""
        return self.keeper.lease

    def tick(self, now_ms: int) -> None:
        """Make the calls that are due."""
        self.now_ms = now_ms
        if self.started_ms is None:
            self.started_ms = now_ms
        if not self.settled and now_ms - self.started_ms >= _LEARN_MS:
            self.own_services(True)
        if now_ms < self.backoff.retry_ms:
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
    def complete(self) -> bool:
        """Return whether all keys of this product were read and are watched."""
        return self.owns_service and bool(self.watch_number)

    def own_services(self, owns: bool) -> None:
        """Watch the notes of other owners too, or the configuration only."""
        known = self.settled and owns == self.owns_service
        self.settled = True
        if known:
            return
        if owns == self.owns_service and self.read_revision is not None:
            self._watch(self.read_revision)
            return
        self.owns_service = owns
        if owns:
            self.registry.own()
        self.read_revision = None
        if self.watch_number:
            self.platform.end_watch(self.watch_number)
        self.watch_number = None
        if not owns:
            self._forget_notes()
        self.tick(self.now_ms)

    def miss_members(self) -> None:
        """Read the members soon, since no known owner could be reached."""
        self.members.hurry()

    def read_all(
        self,
        request: store.ReadRequest,
        on_reply: typing.Callable[[store.ReadReply | None], None],
    ) -> None:
        """Read all pages; the reply has the revision of the first one.

        Pages are no snapshot. A watch from that revision on brings what was
        changed between them.
        """
        self.call(
            request,
            functools.partial(self._on_page, request, None, on_reply),
        )

    def call(
        self,
        request: store.Request,
        on_reply: typing.Callable[[typing.Any], None],
    ) -> int:
        """Call the store and note whether it answers."""
        self.journal.count('store_calls', type(request).__name__)
        return self.platform.call(
            request,
            functools.partial(self._reply, on_reply),
        )

    def _reply(
        self,
        on_reply: typing.Callable[[typing.Any], None],
        reply: typing.Any,
    ) -> None:
        failed = isinstance(reply, failures.Failure)
        if failed == self.connected:
            self.connected = not failed
            self.registry.hurry(self.now_ms)
            event = 'store_lost' if failed else 'store_connected'
            reason = reply.reason if failed else ''
            self.journal.write(event, {'reason': reason})
        if failed:
            self.backoff.fail(self.now_ms)
        else:
            self.backoff.last_ms = _RETRY_LAST_MS
            if not self.owns_service:
                # What such a node asks the store for can wait.
                self.backoff.last_ms = _IDLE_RETRY_LAST_MS
            self.backoff.reset()
        on_reply(None if failed else reply)

    def _on_page(
        self,
        request: store.ReadRequest,
        before: store.ReadReply | None,
        on_reply: typing.Callable[[store.ReadReply | None], None],
        reply: store.ReadReply | None,
    ) -> None:
        if reply is None:
            on_reply(None)
            return
        if before is not None:
            reply = store.ReadReply(
                before.revision,
                before.entries + reply.entries,
                reply.more,
            )
        if not reply.more or not reply.entries:
            on_reply(reply)
            return
        following = msgspec.structs.replace(
            request,
            after=reply.entries[-1].key,
        )
        self.call(
            following,
            functools.partial(self._on_page, following, reply, on_reply),
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
        found = {entry.key for entry in reply.entries}
        for key in tuple(self.known):
            if key.startswith(prefix) and key not in found:
                self._remove(key, reply.revision)
        for entry in reply.entries:
            self._accept(entry)
        if prefix != self.watched:
            # What was read has changed what has to be watched.
            return
        if self.settled:
            self._watch(reply.revision)
        else:
            self.read_revision = reply.revision

    def _watch(self, revision: int) -> None:
        self.read_revision = None
        request = store.WatchRequest(
            self.watched,
            revision + 1,
            0 if self.owns_service else _IDLE_WATCH_MS,
        )
        self.watch_number = self.call(request, self._on_events)

    def _on_events(self, reply: store.WatchEvents | None) -> None:
        if reply is None:
            self.watch_number = None
            return
        for entry in reply.changed:
            self._accept(entry)
        for key in reply.deleted:
            self._remove(key, reply.revision)

    def _accept(self, entry: store.KeyValue) -> None:
        if entry.mod_revision <= self.known.get(entry.key, 0):
            return
        self.known[entry.key] = entry.mod_revision
        self.listener.on_key(entry.key, entry.value, entry.mod_revision)

    def _forget_notes(self) -> None:
        """Forget all keys that are not watched any more."""
        for key, revision in tuple(self.known.items()):
            if not key.startswith(self.watched):
                self._remove(key, revision)

    def _remove(self, key: str, revision: int) -> None:
        if self.known.pop(key, None) is not None:
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
            # A node without a service can wait.
            complete = complete or not self.owns_service
        self.registry.finish(complete, self.now_ms)

    def _read_members(self, now_ms: int) -> None:
        self.members.start(now_ms, owns_service=self.owns_service)
        request = store.ReadRequest(self.prefixes[2], may_be_stale=True)
        self.read_all(request, self._on_members)

    def _on_members(self, reply: store.ReadReply | None) -> None:
        if reply is None:
            return
        self.keeper.listed = {entry.key for entry in reply.entries}
        self.listener.on_members(reply.entries)
