"""Registration of this member in the store under a lease.

Other keys of this member, such as connection slots, are bound to the same
lease. If the lease lapses, for example while the process was paused, the
member registers again with a new one.
"""

import random
import typing

import msgspec

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import messages, store_calls
from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import store, topology

# Keeps the keepalives of 2,000 members at about 100 per second.
TTL_FLOOR_MS = 10_000
_TTL_PER_MEMBER_MS = 30
_KEEPALIVES_PER_TTL = 3


class Membership:
    """Lease and member key of this process.

    Attributes:
      member: Description that is or will be registered.
      lease: Lease for keys of this member; None while there is none.
      registered: Document in the store; empty if not known to be there.
    """

    def __init__(
        self,
        member: topology.Member,
        directory: directories.Directory,
        numbers: typing.Iterator[int],
        rng: random.Random,
    ) -> None:
        """Start unregistered.

        Args:
          member: Description of this member.
          directory: Tells how many members there are.
          numbers: Source of call numbers, shared within the process.
          rng: Source of the jitter.
        """
        self.member = member
        self.directory = directory
        self.lease: int | None = None
        self.registered = ''
        self.ttl_ms = 0
        self.ttl_floor_ms = TTL_FLOOR_MS
        self.keepalive_ms = 0
        # Last known revision of the member key; None before a read.
        self.revision: int | None = None
        self.pending = store_calls.PendingCall(numbers)
        self.backoff = backoff.Backoff(rng)
        self.stopped = False

    @property
    def key(self) -> str:
        """Return the store key of this member."""
        return directories.MEMBERS + self.member.name

    def handle(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        """React to a reply of the store; other messages are ignored.

        Returns:
          Messages of type `StoreCall`, `DecisionLine` and `Count`.
        """
        if not isinstance(message, messages.StoreReply):
            return []
        request = self.pending.finish(message)
        if request is None:
            return []
        if isinstance(message.reply, failures.Failure):
            return self._on_failure(request, now_ms)
        self.backoff.reset()
        sent = self._on_reply(request, message.reply)
        return sent + self.tick(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Make the call that is due.

        Returns:
          Messages of type `StoreCall` and `Count`.
        """
        overdue = self.pending.request
        if self.pending.expire(now_ms):
            return self._on_failure(overdue, now_ms)
        if self.pending.request is not None or now_ms < self.backoff.retry_ms:
            return []
        request = self._next_request(now_ms)
        if request is None:
            return []
        return [self.pending.start(request, now_ms)]

    def drain(self, now_ms: int) -> list[typing.Any]:
        """Announce that this member is leaving."""
        self.member = msgspec.structs.replace(self.member, leaving=True)
        return self.tick(now_ms)

    def stop(self, now_ms: int) -> list[typing.Any]:
        """End the lease, which deletes all keys bound to it."""
        self.stopped = True
        return self.tick(now_ms)

    def _next_request(self, now_ms: int) -> store.Request | None:
        if self.lease is None:
            return self._lease_request()
        if self.stopped:
            return store.RevokeRequest(self.lease)
        if now_ms >= self.keepalive_ms:
            return store.KeepAliveRequest(self.lease)
        return self._key_request(self.lease)

    def _lease_request(self) -> store.LeaseRequest | None:
        # Without the directory the number of members is not known.
        if self.stopped or not self.directory.complete:
            return None
        members = len(self.directory.members)
        return store.LeaseRequest(
            max(self.ttl_floor_ms, _TTL_PER_MEMBER_MS * members),
        )

    def _key_request(self, lease: int) -> store.Request | None:
        self._check_directory()
        document = self._document()
        if document == self.registered:
            return None
        if self.revision is None:
            return store.ReadRequest(self.key)
        return store.SwapRequest(
            (store.Compare(self.key, self.revision),),
            (store.Put(self.key, document, lease),),
        )

    def _document(self) -> str:
        return msgspec.json.encode(self.member).decode()

    def _check_directory(self) -> None:
        # Somebody else may have deleted or overwritten the key.
        entry = self.directory.entries.get(self.key)
        if entry is None or not self.registered or self.revision is None:
            return
        if entry.revision > self.revision:
            self.revision = None
            self.registered = ''

    def _on_reply(
        self,
        request: store.Request,
        reply: store.Reply,
    ) -> list[typing.Any]:
        if isinstance(reply, store.LeaseReply):
            return self._on_lease(request, reply)
        if isinstance(reply, store.ReadReply):
            return self._on_read(reply)
        if isinstance(reply, store.SwapReply):
            if reply.succeeded:
                return self._on_registered(reply.revision)
            # Changed since the read, maybe by a copy of this call.
            self.revision = None
        elif isinstance(request, store.RevokeRequest):
            self.lease = None
        return []

    def _on_lease(
        self,
        request: store.Request,
        reply: store.LeaseReply,
    ) -> list[typing.Any]:
        if isinstance(request, store.RevokeRequest):
            self.lease = None
            return []
        self.ttl_ms = reply.ttl_ms
        # Counted from the call, so that a slow answer shortens the wait.
        self.keepalive_ms = self.pending.sent_ms + (
            reply.ttl_ms // _KEEPALIVES_PER_TTL
        )
        if reply.ttl_ms > 0:
            self.lease = reply.lease
            return []
        lease = self.lease
        self.lease = None
        self.registered = ''
        self.revision = None
        line = {'lease': lease, 'member': self.member.name}
        return [
            messages.DecisionLine('lease_lapsed', line),
            messages.Count('membership_lease_lapsed'),
        ]

    def _on_read(self, reply: store.ReadReply) -> list[typing.Any]:
        self.revision = 0
        for found in reply.entries:
            if found.key != self.key:
                continue
            self.revision = found.mod_revision
            if found.value == self._document() and found.lease == self.lease:
                return self._on_registered(found.mod_revision)
        return []

    def _on_registered(self, revision: int) -> list[typing.Any]:
        self.revision = revision
        self.registered = self._document()
        line = {
            'member': self.member.name,
            'lease': self.lease,
            'leaving': self.member.leaving,
            'revision': revision,
        }
        return [messages.DecisionLine('registered', line)]

    def _on_failure(
        self,
        request: store.Request | None,
        now_ms: int,
    ) -> list[typing.Any]:
        self.backoff.fail(now_ms)
        if isinstance(request, store.SwapRequest):
            # It may have taken effect, or the lease may be gone. Both are
            # found out by a keepalive and by reading the key again.
            self.keepalive_ms = now_ms
            self.revision = None
        return [messages.Count('membership_store_failures')]
