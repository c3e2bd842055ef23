"""Records of the calls to the platform's key-value store.

The store offers compare-and-swap on revisions, leases and watches. Keys
and values are text; revisions count all changes of the whole store.

A store may be restored from an older copy and then gives revisions and numbers
of leases out again. Where it tells so, these are `history.EraNumber`s, which stay in
order; a store that does not tell has plain integers.
"""

import msgspec


class KeyValue(msgspec.Struct, frozen=True):
    """One stored key.

    Attributes:
      key: Name of the key.
      value: Stored document; empty in a deletion event.
      create_revision: Revision that created the key.
      mod_revision: Revision that changed it last.
      lease: Lease that the key is bound to; 0 for none.
    """

    key: str
    value: str
    create_revision: int
    mod_revision: int
    lease: int = 0


class Compare(msgspec.Struct, frozen=True):
    """Condition that a key's last change has exactly this revision.

    Revision 0 means that the key must not exist.
    """

    key: str
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Write of one key, bound to a lease unless `lease` is 0."""

    key: str
    value: str
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Removal of one key."""

    key: str


class ReadRequest(msgspec.Struct, frozen=True):
    """Read of all keys that start with a prefix.

    Attributes:
      prefix: Start of the keys.
      may_be_stale: Whether an older state will do, where the store offers
        that at a lower cost; otherwise the read is linearizable.
      after: Key after which the reply begins, where the store answers in
        pages; '' for the first page.
    """

    prefix: str
    may_be_stale: bool = False
    after: str = ''


class SwapRequest(msgspec.Struct, frozen=True):
    """Writes that happen together if all conditions hold."""

    compares: tuple[Compare, ...]
    changes: tuple[Put | Delete, ...]


class LeaseRequest(msgspec.Struct, frozen=True):
    """Request for a new lease with a time to live in milliseconds."""

    ttl_ms: int


class KeepAliveRequest(msgspec.Struct, frozen=True):
    """Renewal of a lease."""

    lease: int


class RevokeRequest(msgspec.Struct, frozen=True):
    """End of a lease; all keys bound to it are deleted."""

    lease: int


class WatchRequest(msgspec.Struct, frozen=True):
    """Watch of all keys that start with a prefix.

    Attributes:
      prefix: Start of the watched keys.
      start_revision: First revision to report.
      wait_ms: How long the store may wait for a change before it answers;
        0 for the client's own setting.
    """

    prefix: str
    start_revision: int
    wait_ms: int = 0


class ChangesRequest(msgspec.Struct, frozen=True):
    """Request for the changes made so far; the store does not wait for more.

    The reply is `WatchEvents`, or `HistoryLost`.

    Attributes:
      prefix: Start of the keys.
      start_revision: First revision to report.
    """

    prefix: str
    start_revision: int


class ReadReply(msgspec.Struct, frozen=True):
    """Keys found by a read and the store's revision at that time.

    Attributes:
      revision: Revision of the store.
      entries: Keys with their values, sorted by key.
      more: Whether further keys follow on the next page.
    """

    revision: int
    entries: tuple[KeyValue, ...]
    more: bool = False


class SwapReply(msgspec.Struct, frozen=True):
    """Result of a swap: whether it was written, and the revision."""

    succeeded: bool
    revision: int


class LeaseReply(msgspec.Struct, frozen=True):
    """Granted or renewed lease; `ttl_ms` is 0 if the lease is gone."""

    lease: int
    ttl_ms: int


class WatchEvents(msgspec.Struct, frozen=True):
    """Changes reported by a watch.

    Attributes:
      revision: Store revision up to which the changes are complete.
      changed: Keys that were written, in order.
      deleted: Names of the keys that were deleted.
    """

    revision: int
    changed: tuple[KeyValue, ...]
    deleted: tuple[str, ...]


class HistoryLost(msgspec.Struct, frozen=True):
    """The store has dropped changes that a request asks for."""


class Restored(msgspec.Struct, frozen=True):
    """The store was restored since a request was made; its reply is void."""


Request = (
    ReadRequest
    | ChangesRequest
    | SwapRequest
    | LeaseRequest
    | KeepAliveRequest
    | RevokeRequest
    | WatchRequest
)
Reply = (
    ReadReply | SwapReply | LeaseReply | WatchEvents | HistoryLost | Restored
)
