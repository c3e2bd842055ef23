"""The platform's key-value service as a pure model without sockets.

The platform process and the scenarios drive the same model. Its rules are
those of etcd v3: one revision for each transaction that changes keys,
leases that delete their keys, and watches that replay the history.
"""

import collections
import itertools
import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import key_space

# The platform holds values of up to 1 MB.
MAX_VALUE_BYTES = 1_048_576
_FIRST_LEASE = 1000

Reply = store.Reply | failures.Failure


class Lease(msgspec.Struct):
    """Granted lease and when it expires."""

    ttl_ms: int
    expires_ms: int


class Watch(msgspec.Struct):
    """Open watch and the first revision that it has not reported."""

    prefix: str
    next_revision: int


class StoreModel:
    """Keys, leases, watches and counts of calls.

    Attributes:
      space: Stored keys.
      counts: Number of calls by kind, including those that failed.
      era: Rises each time that the store is restored from a copy.
      outage: Whether all calls fail; leases do not expire meanwhile.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self.space = key_space.KeySpace()
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(_FIRST_LEASE)
        self.watches: dict[typing.Hashable, Watch] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.outage = False
        self.era = 1

    def call(self, request: store.Request, now_ms: int) -> Reply:
        """Run one call other than a watch.

        Args:
          request: Request of any type except `WatchRequest`.
          now_ms: Current time.

        Returns:
          The reply, `store_unavailable` during an outage, or `too_large`
          for a value above the limit.
        """
        self.counts[kind(request)] += 1
        if self.outage:
            return failures.STORE_UNAVAILABLE.because('outage')
        self.advance(now_ms)
        if isinstance(request, store.ReadRequest):
            return self.space.read(request.prefix)
        if isinstance(request, store.SwapRequest):
            return self._swap(request)
        if isinstance(request, store.ChangesRequest):
            return self._changes(request)
        return self._call_lease(request, now_ms)

    def open_watch(
        self,
        number: typing.Hashable,
        request: store.WatchRequest,
    ) -> failures.Failure | None:
        """Start a watch.

        Args:
          number: Identifier for `take_events` and `close_watch`.
          request: Prefix and first revision; 0 starts after the present.

        Returns:
          None, or `store_unavailable` during an outage or if the history
          does not reach back to the first revision.
        """
        self.counts[kind(request)] += 1
        start = request.start_revision or self.space.revision + 1
        if self.outage:
            return failures.STORE_UNAVAILABLE.because('outage')
        if start <= self.space.compacted:
            return failures.STORE_UNAVAILABLE.because(
                'the history was compacted beyond this revision',
            )
        self.watches[number] = Watch(request.prefix, start)
        return None

    def close_watch(self, number: typing.Hashable) -> None:
        """End a watch."""
        self.watches.pop(number, None)

    def take_events(self, number: typing.Hashable) -> list[store.WatchEvents]:
        """Return the changes that a watch has not reported, by revision."""
        watch = self.watches[number]
        start = watch.next_revision
        watch.next_revision = max(start, self.space.revision + 1)
        return self.space.changes_from(start, watch.prefix)

    def compact(self) -> None:
        """Drop the history that every open watch has reported."""
        reported = [watch.next_revision - 1 for watch in self.watches.values()]
        self.space.compact(min([self.space.revision, *reported]))

    def begin_outage(self) -> None:
        """Fail all calls and end all watches."""
        self.outage = True
        self.watches.clear()

    def end_outage(self, now_ms: int) -> None:
        """Serve calls again and give every lease its full time to live.

        A new leader of etcd does the same, since it does not know which
        renewals its predecessor has accepted.
        """
        self.outage = False
        for lease in self.leases.values():
            lease.expires_ms = now_ms + lease.ttl_ms

    def restore(self, copy: key_space.KeySpace) -> None:
        """Return to a copy made earlier, which begins a new era.

        Leases and the keys that are bound to them are gone. Watches end.
        Revisions and numbers of leases are given out again.
        """
        self.era += 1
        self.space = copy.copy()
        self.leases.clear()
        self.lease_ids = itertools.count(_FIRST_LEASE)
        self.watches.clear()
        for key, entry in tuple(self.space.keys.items()):
            if entry.lease:
                self.space.keys.pop(key)

    def advance(self, now_ms: int) -> None:
        """End the leases whose time has passed, except in an outage."""
        if self.outage:
            return
        expired = [
            number
            for number, lease in self.leases.items()
            if lease.expires_ms <= now_ms
        ]
        for number in expired:
            self._end_lease(number)

    def next_due_ms(self) -> int | None:
        """Return when the next lease expires, or None."""
        if self.outage:
            return None
        dues = [lease.expires_ms for lease in self.leases.values()]
        return min(dues, default=None)

    def _swap(self, request: store.SwapRequest) -> Reply:
        puts = [
            change
            for change in request.changes
            if isinstance(change, store.Put)
        ]
        names = [change.key for change in request.changes]
        if any(len(put.value.encode()) > MAX_VALUE_BYTES for put in puts):
            return failures.TOO_LARGE.because('value above 1 MB')
        if len(names) > len(set(names)):
            return failures.BAD_REQUEST.because('a key is changed twice')
        # A write bound to a lease that has ended does not happen.
        bound = {put.lease for put in puts if put.lease}
        held = all(self.space.holds(compare) for compare in request.compares)
        succeeded = held and bound.issubset(self.leases)
        if succeeded:
            written = {put.key for put in puts}
            deletes = [key for key in names if key not in written]
            self.space.change(puts, deletes)
        return store.SwapReply(succeeded, self.space.revision)

    def _changes(
        self, request: store.ChangesRequest
    ) -> store.WatchEvents | store.HistoryLost:
        space = self.space
        if not space.compacted < request.start_revision <= space.revision + 1:
            return store.HistoryLost()
        last: dict[str, store.KeyValue | None] = {}
        for events in space.changes_from(
            request.start_revision, request.prefix
        ):
            last.update((entry.key, entry) for entry in events.changed)
            last.update(dict.fromkeys(events.deleted))
        return store.WatchEvents(
            space.revision,
            tuple(entry for entry in last.values() if entry is not None),
            tuple(key for key, entry in last.items() if entry is None),
        )

    def _call_lease(
        self,
        request: store.Request,
        now_ms: int,
    ) -> store.LeaseReply:
        if isinstance(request, store.LeaseRequest):
            return self._grant(request, now_ms)
        if isinstance(request, store.KeepAliveRequest):
            return self._keep_alive(request, now_ms)
        self._end_lease(request.lease)
        return store.LeaseReply(request.lease, 0)

    def _grant(
        self,
        request: store.LeaseRequest,
        now_ms: int,
    ) -> store.LeaseReply:
        number = next(self.lease_ids)
        self.leases[number] = Lease(request.ttl_ms, now_ms + request.ttl_ms)
        return store.LeaseReply(number, request.ttl_ms)

    def _keep_alive(
        self,
        request: store.KeepAliveRequest,
        now_ms: int,
    ) -> store.LeaseReply:
        lease = self.leases.get(request.lease)
        if lease is None:
            return store.LeaseReply(request.lease, 0)
        lease.expires_ms = now_ms + lease.ttl_ms
        return store.LeaseReply(request.lease, lease.ttl_ms)

    def _end_lease(self, number: int) -> None:
        if self.leases.pop(number, None) is not None:
            self.space.change([], self.space.bound_to(number))


def kind(request: store.Request) -> str:
    """Return the kind of a call: read, swap, lease, keepalive and so on."""
    return type(request).__name__.removesuffix('Request').lower()
