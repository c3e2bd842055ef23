"""Fake store for tests of the components that call the store."""

import itertools

from jacinthhaven.decide import gossip_builders, messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import store


class FakeStore:
    """In-memory store that answers calls immediately.

    Attributes:
      calls: Requests received, oldest first.
      down: Whether calls fail without taking effect.
      lost_reply_types: Types of the requests that take effect but whose reply is lost.
    """

    def __init__(self):
        """Start empty at revision 1."""
        self.revision = 1
        self.keys = {}
        self.leases = {}
        self.watches = {}
        self.calls = []
        self.down = False
        self.lost_reply_types = ()
        self.numbers = itertools.count(1)

    def put(self, key, document, lease=0):
        """Write a key."""
        self.revision += 1
        old = self.keys.get(key)
        self.keys[key] = store.KeyValue(
            key,
            document,
            old.create_revision if old else self.revision,
            self.revision,
            lease,
        )

    def expire(self, lease):
        """Expire a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key, entry in tuple(self.keys.items()):
            if entry.lease == lease:
                self.revision += 1
                self.keys.pop(key)

    def serve(self, component, sent, now_ms):
        """Answer the calls of a component until it makes no more.

        Returns:
          All messages that are not calls to the store.
        """
        others = []
        queue = list(sent)
        while queue:
            message = queue.pop(0)
            if not isinstance(message, messages.StoreCall):
                others.append(message)
                continue
            reply = self.answer(message)
            if reply is not None:
                received = messages.StoreReply(message.number, reply)
                queue += component.handle(received, now_ms)
        return others

    def answer(self, call):
        """Execute a call and return its reply; None for a watch."""
        request = call.request
        self.calls.append(request)
        failure = failures.STORE_UNAVAILABLE.because('test')
        if self.down:
            return failure
        if isinstance(request, store.WatchRequest):
            self.watches[call.number] = request
            return None
        handler = getattr(self, f'_on_{type(request).__name__}')
        reply = handler(request)
        return failure if isinstance(request, self.lost_reply_types) else reply

    def _on_ReadRequest(self, request):
        entries = [
            self.keys[key]
            for key in sorted(self.keys)
            if key.startswith(request.prefix)
        ]
        return store.ReadReply(self.revision, tuple(entries))

    def _on_SwapRequest(self, request):
        absent = gossip_builders.key_value('', revision=0)
        for compare in request.compares:
            current = self.keys.get(compare.key, absent)
            if compare.mod_revision != current.mod_revision:
                return store.SwapReply(False, self.revision)
        for change in request.changes:
            if change.lease and change.lease not in self.leases:
                return failures.STORE_UNAVAILABLE.because('lease not found')
        for change in request.changes:
            self.put(change.key, change.value, change.lease)
        return store.SwapReply(True, self.revision)

    def _on_LeaseRequest(self, request):
        lease = next(self.numbers)
        self.leases[lease] = request.ttl_ms
        return store.LeaseReply(lease, request.ttl_ms)

    def _on_KeepAliveRequest(self, request):
        ttl_ms = self.leases.get(request.lease, 0)
        return store.LeaseReply(request.lease, ttl_ms)

    def _on_RevokeRequest(self, request):
        self.expire(request.lease)
        return store.LeaseReply(request.lease, 0)
