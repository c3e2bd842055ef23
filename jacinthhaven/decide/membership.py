"""Registration of this member in the store under a lease.

The member's other keys, such as its connection slots, are attached to the
same lease. If the lease expires, for example because the process was paused,
the member obtains a new lease and registers again.
"""

import random
import typing

import msgspec

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import messages, store_calls
from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import store, topology

# A TTL of 30 ms per member limits the keepalives of 2,000 members to about
# 100 per second.
TTL_FLOOR_MS = 10_000
_TTL_PER_MEMBER_MS = 30
_KEEPALIVES_PER_TTL = 3


class Membership:
    """Lease and member key of this process.

    Attributes:
      member: Member record that is registered or to be registered.
      lease: Lease that this member's keys are attached to; None without one.
      registered_document: Encoded member record known to be stored; empty if
        that is unknown.
    """

    def __init__(
        self,
        member: topology.Member,
        directory: directories.Directory,
        call_numbers: typing.Iterator[int],
        rng: random.Random,
    ) -> None:
        """Start unregistered.

        Args:
          member: Record of this member.
          directory: Directory that provides the number of members.
          call_numbers: Source of call numbers, shared within the process.
          rng: Random source of the retry jitter.
        """
        self.member = member
        self.directory = directory
        self.lease: int | None = None
        self.registered_document = ''
        self.ttl_ms = 0
        self.ttl_floor_ms = TTL_FLOOR_MS
        self.next_keepalive_ms = 0
        # Last known revision of the member key; None if it must be read.
        self.revision: int | None = None
        self.pending = store_calls.PendingCall(call_numbers)
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
        """Process a store reply; other messages are ignored.

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
        """Send the next store call if one is due.

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
        """Register this member as leaving."""
        self.member = msgspec.structs.replace(self.member, leaving=True)
        return self.tick(now_ms)

    def stop(self, now_ms: int) -> list[typing.Any]:
        """Revoke the lease, which deletes all keys attached to it."""
        self.stopped = True
        return self.tick(now_ms)

    def _next_request(self, now_ms: int) -> store.Request | None:
        if self.lease is None:
            return self._lease_request()
        if self.stopped:
            return store.RevokeRequest(self.lease)
        if now_ms >= self.next_keepalive_ms:
            return store.KeepAliveRequest(self.lease)
        return self._key_request(self.lease)

    def _lease_request(self) -> store.LeaseRequest | None:
        # The number of members is unknown until the directory was read.
        if self.stopped or not self.directory.complete:
            return None
        members = len(self.directory.members)
        return store.LeaseRequest(
            max(self.ttl_floor_ms, _TTL_PER_MEMBER_MS * members),
        )

    def _key_request(self, lease: int) -> store.Request | None:
        self._detect_key_change()
        document = self._encoded_member()
        if document == self.registered_document:
            return None
        if self.revision is None:
            return store.ReadRequest(self.key)
        return store.SwapRequest(
            (store.Compare(self.key, self.revision),),
            (store.Put(self.key, document, lease),),
        )

    def _encoded_member(self) -> str:
        return msgspec.json.encode(self.member).decode()

    def _detect_key_change(self) -> None:
        # Another process may have deleted or overwritten the key.
        entry = self.directory.entries.get(self.key)
        if (
            entry is None
            or not self.registered_document
            or self.revision is None
        ):
            return
        if entry.revision > self.revision:
            self.revision = None
            self.registered_document = ''

    def _on_reply(
        self,
        request: store.Request,
        reply: store.Reply,
    ) -> list[typing.Any]:
        if isinstance(reply, store.LeaseReply):
            return self._on_lease_reply(request, reply)
        if isinstance(reply, store.ReadReply):
            return self._on_read_reply(reply)
        if isinstance(reply, store.SwapReply):
            if reply.succeeded:
                return self._on_registered(reply.revision)
            # The key changed since the read, possibly through a duplicate
            # of this call.
            self.revision = None
        elif isinstance(request, store.RevokeRequest):
            self.lease = None
        return []

    def _on_lease_reply(
        self,
        request: store.Request,
        reply: store.LeaseReply,
    ) -> list[typing.Any]:
        if isinstance(request, store.RevokeRequest):
            self.lease = None
            return []
        self.ttl_ms = reply.ttl_ms
        # Measured from when the call was sent, so that a slow reply shortens
        # the wait.
        self.next_keepalive_ms = self.pending.sent_ms + (
            reply.ttl_ms // _KEEPALIVES_PER_TTL
        )
        if reply.ttl_ms > 0:
            self.lease = reply.lease
            return []
        lease = self.lease
        self.lease = None
        self.registered_document = ''
        self.revision = None
        line = {'lease': lease, 'member': self.member.name}
        return [
            messages.DecisionLine('lease_lapsed', line),
            messages.Count('membership_lease_lapsed'),
        ]

    def _on_read_reply(self, reply: store.ReadReply) -> list[typing.Any]:
        self.revision = 0
        for entry in reply.entries:
            if entry.key != self.key:
                continue
            self.revision = entry.mod_revision
            if (
                entry.value == self._encoded_member()
                and entry.lease == self.lease
            ):
                return self._on_registered(entry.mod_revision)
        return []

    def _on_registered(self, revision: int) -> list[typing.Any]:
        self.revision = revision
        self.registered_document = self._encoded_member()
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
            # The write may have taken effect, or the lease may have expired.
            # A keepalive and another read of the key find out.
            self.next_keepalive_ms = now_ms
            self.revision = None
        return [messages.Count('membership_store_failures')]
