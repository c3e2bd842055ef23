"""Lease of one node and the member key bound to it."""

import typing

from jacinthhaven.records import history, store

# Time to live of the lease, and interval of its renewals.
LEASE_MS = 6000
_RENEW_MS = 2000

OnReply = typing.Callable[[typing.Any], None]
MakeCall = typing.Callable[[store.Request, OnReply], None]


class LeaseKeeper:
    """Keeps the member key of this node in the store while it runs.

    Attributes:
      lease: Lease of this node; `history.NONE` while there is none.
      listed_keys: Member keys of all nodes at the last read.
      renewing: Whether a call for the lease is under way.
      announced: Whether this node is to be listed.
      renew_ms: When the next call for the lease is due.
      member_key: Key that announces this node, or '' while unknown.
      member_value: Value of that key.
    """

    def __init__(self, call: MakeCall) -> None:
        """Start without a lease.

        Args:
          call: Calls the store; the callback gets None after a failure.
        """
        self.call = call
        self.lease = history.NONE
        self.listed_keys: set[str] = set()
        self.renewing = False
        self.announced = False
        self.renew_ms = 0
        self.member_key = ''
        self.member_value = ''

    def set_member(self, member_key: str, member_value: str) -> None:
        """Set the key that announces this node, and its value."""
        self.member_key = member_key
        self.member_value = member_value

    def tick(self, now_ms: int) -> None:
        """Renew the lease when it is due."""
        if not self.announced or not self.member_key:
            return
        if not self.renewing and now_ms >= self.renew_ms:
            self._renew(now_ms)

    def announce(self, announced: bool) -> None:
        """Start or stop announcing this node."""
        if announced == self.announced:
            return
        self.announced = announced
        self.renew_ms = 0
        if not announced and self.lease:
            self.call(store.RevokeRequest(self.lease), _ignore)
            self.lease = history.NONE

    def on_restored(self) -> None:
        """Obtain a new lease, since the store has lost all leases."""
        self.lease = history.NONE
        self.listed_keys = set()
        self.renew_ms = 0

    def revoke(self, on_revoked: typing.Callable[[], None]) -> None:
        """Revoke the lease, which deletes the key.

        Args:
          on_revoked: Called after the reply, or at once without a lease.
        """
        self.member_key = ''
        if self.lease:
            request = store.RevokeRequest(self.lease)
            self.call(request, lambda _reply: on_revoked())
        else:
            on_revoked()

    def _renew(self, now_ms: int) -> None:
        self.renewing = True
        self.renew_ms = now_ms + _RENEW_MS
        if self.lease:
            request = store.KeepAliveRequest(self.lease)
            self.call(request, self._on_renewed)
        else:
            self.call(store.LeaseRequest(LEASE_MS), self._on_granted)

    def _on_renewed(self, reply: store.LeaseReply | None) -> None:
        self.renewing = False
        if reply is None:
            return
        if not reply.ttl_ms:
            self.lease = history.NONE
        if not self.lease:
            self.renew_ms = 0
        elif self.member_key not in self.listed_keys:
            # The key was removed without its lease.
            self._put_member_key()

    def _on_granted(self, reply: store.LeaseReply | None) -> None:
        self.renewing = False
        if reply is None or not reply.lease:
            self.renew_ms = 0
            return
        if not self.announced:
            # The node has stopped announcing itself since the request.
            self.call(store.RevokeRequest(reply.lease), _ignore)
            return
        self.lease = reply.lease
        self._put_member_key()

    def _put_member_key(self) -> None:
        put = store.Put(self.member_key, self.member_value, self.lease)
        self.call(store.SwapRequest((), (put,)), _ignore)


def _ignore(_reply: typing.Any) -> None:
    """Ignore the reply; the next read of the members shows the effect."""
