"""Tests of the reads and watches of the coordination store."""

from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    coordination,
    platform_builders,
    store_access,
    store_calls,
    store_routes,
)
from jacinthhaven.standins import store_model

_PAGE_SIZE = 3


class _PagedStore(platform_builders.FakePlatform):
    """Store that splits the reply to a read into small pages.

    Attributes:
      between: Called once, after the first page of an owner's watched prefix.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        super().__init__(store_model.StoreModel(), None)
        self.between = None

    def call(self, request, on_reply) -> int:
        """Return one page of the reply to a read."""
        if not isinstance(request, store.ReadRequest):
            return super().call(request, on_reply)
        self.calls.append(request)
        found = self.execute(request)
        if not isinstance(found, store.ReadReply):
            self.answer(0, on_reply, found)
            return 0
        rest = [entry for entry in found.entries if entry.key > request.after]
        page = store.ReadReply(
            found.revision,
            tuple(rest[:_PAGE_SIZE]),
            len(rest) > _PAGE_SIZE,
        )
        self.answer(0, on_reply, page)
        first = request.prefix == 'o' and not request.after
        if self.between is not None and first:
            self.between()
            self.between = None
        return 0

    def put(self, key: str, text: str = 'x') -> None:
        """Write a key."""
        self.model.call(store.SwapRequest((), (store.Put(key, text),)), 0)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.model.call(store.SwapRequest((), (store.Delete(key),)), 0)


class _Listener:
    """Records the store contents that are reported."""

    def __init__(self) -> None:
        """Create a listener without keys."""
        self.keys: dict[str, str | None] = {}
        self.registry: list[str] = []
        self.members: list[str] = []
        self.complete = True

    def on_key(self, key: str, text: str | None, _revision: int) -> None:
        """Record a watched key."""
        self.keys[key] = text

    def on_registry(self, entries, _fresh: bool) -> bool:
        """Record the registry keys."""
        self.registry = [entry.key for entry in entries]
        return self.complete

    def on_members(self, entries) -> None:
        """Record the member keys."""
        self.members = [entry.key for entry in entries]


class _Harness:
    """Store access of one node, on a store with small pages."""

    def __init__(self) -> None:
        """Create the store access of a node."""
        self.platform = _PagedStore()
        self.listener = _Listener()
        self.node = coordination.Coordination(
            ('o', 'servers/', 'nodes/', 'op/config'),
            self.listener,
            store_access.StoreAccess(
                store_calls.StoreCalls(self.platform, builders.FakeJournal()),
                store_routes.StoreRoutes((), builders.seeded_random()),
                builders.FakeJournal(),
            ),
        )
        self.now_ms = 1000

    def start(self) -> None:
        """Start as a node that owns services."""
        self.run(50)
        self.node.update_ownership(True)
        self.run(250)

    def run(self, for_ms: int) -> None:
        """Advance the time in steps of 10 ms."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 10
            self.platform.run(self.now_ms)
            self.node.tick(self.now_ms)

    def reads(self, prefix: str) -> list[store.ReadRequest]:
        """Return the reads of a prefix that were sent."""
        return [
            call
            for call in self.platform.calls
            if isinstance(call, store.ReadRequest) and call.prefix == prefix
        ]


def test_all_pages_are_read():
    """Guards against losing the keys after the first page of a read."""
    harness = _Harness()
    for index in range(8):
        harness.platform.put(f'nodes/{index}')
        harness.platform.put(f'servers/{index}')
        harness.platform.put(f'ours/{index}')
    harness.start()
    assert len(harness.listener.members) == 8
    assert len(harness.listener.registry) == 8
    assert len(harness.listener.keys) == 8


def test_key_beyond_the_first_page_is_not_removed():
    """Guards against dropping keys of later pages in a repeated read."""
    harness = _Harness()
    for index in range(8):
        harness.platform.put(f'ours/{index}')
    harness.start()
    harness.node.watch_number = None
    harness.run(200)
    assert None not in harness.listener.keys.values()


def test_change_between_two_pages_is_not_lost():
    """Guards against missing a change made while pages are read.

    The key has changed after its page was read and before the watch starts.
    """
    harness = _Harness()
    for index in range(8):
        harness.platform.put(f'ours/{index}')
    harness.platform.between = lambda: harness.platform.put('ours/0', 'new')
    harness.start()
    assert harness.listener.keys['ours/0'] == 'new'


def test_keys_that_are_no_longer_watched_are_removed():
    """Guards against decisions based on keys that are no longer watched.

    A node that ceases to be an owner watches the configuration only.
    """
    harness = _Harness()
    harness.platform.put('ours/doubt/s/n1', 'db-a')
    harness.platform.put('op/config', '{}')
    harness.start()
    harness.node.update_ownership(False)
    assert harness.listener.keys == {'ours/doubt/s/n1': None, 'op/config': '{}'}
    harness.run(200)
    harness.node.update_ownership(True)
    harness.run(200)
    assert harness.listener.keys['ours/doubt/s/n1'] == 'db-a'


def test_registry_is_read_often_after_an_outage():
    """Guards against detecting returned instances seconds late.

    After a store outage the registry is read often, but only for some time.
    """
    harness = _Harness()
    harness.start()
    harness.platform.model.outage = True
    harness.run(3000)
    harness.platform.model.outage = False
    harness.listener.complete = False
    harness.run(1000)
    harness.platform.calls.clear()
    harness.run(2000)
    fresh = [
        read for read in harness.reads('servers/') if not read.may_be_stale
    ]
    assert len(fresh) >= 6
    harness.run(10_000)
    harness.platform.calls.clear()
    harness.run(2000)
    assert len(harness.reads('servers/')) <= 3


def test_node_that_starts_without_the_store_reads_all_once_it_returns():
    """Guards against a node that waits for its next scheduled reads.

    It has failed to read the registry and the members during the outage.
    """
    harness = _Harness()
    harness.platform.put('servers/db-a')
    harness.platform.put('nodes/n1')
    harness.platform.down = True
    harness.run(3000)
    harness.platform.down = False
    harness.run(300)
    assert harness.listener.registry == ['servers/db-a']
    assert harness.listener.members == ['nodes/n1']


def test_node_without_services_makes_few_calls():
    """Guards against store load from the many nodes without services."""
    harness = _Harness()
    harness.platform.put('nodes/1')
    harness.run(50)
    harness.node.update_ownership(False)
    harness.run(45_000)
    reads = [
        call
        for call in harness.platform.calls
        if isinstance(call, store.ReadRequest)
    ]
    other_calls = [
        call
        for call in harness.platform.calls
        if not isinstance(call, (store.ReadRequest, store.KeepAliveRequest))
    ]
    stale = [read for read in reads if read.may_be_stale]
    assert len(reads) - len(stale) == 1
    assert len(stale) <= 25
    assert [type(call) for call in other_calls] == [store.WatchRequest]


def test_starting_owner_makes_each_fresh_read_once():
    """Guards against redundant fresh reads when an owner starts."""
    harness = _Harness()
    harness.start()
    fresh = [read for read in harness.platform.calls if _is_fresh(read)]
    found = sorted(read.prefix for read in fresh)
    assert found == ['o', 'op/config', 'servers/']


def _is_fresh(call: store.Request) -> bool:
    return isinstance(call, store.ReadRequest) and not call.may_be_stale


def test_new_owner_reads_the_present_registry():
    """Guards against using an instance again that has left.

    A new owner knows the registry only from reads that may be stale and still
    show that instance, so it must do a fresh read at once.
    """
    harness = _Harness()
    harness.run(10)
    harness.node.update_ownership(True)
    harness.run(100)
    reads = harness.reads('servers/')
    assert [read.may_be_stale for read in reads] == [True, False]


def test_configuration_that_makes_an_owner_leaves_one_watch():
    """Guards against a redundant second watch that is never ended.

    The node becomes an owner while it processes the configuration it read.
    """
    harness = _Harness()
    harness.platform.put('op/config', '{}')
    harness.platform.put('ours/lead/s', 'x')
    harness.node.update_ownership(False)
    accept = harness.listener.on_key

    def become_owner(key: str, text: str | None, revision: int) -> None:
        """Make this node an owner when the configuration arrives."""
        accept(key, text, revision)
        harness.node.update_ownership(True)

    harness.listener.on_key = become_owner
    harness.run(300)
    assert harness.listener.keys == {'op/config': '{}', 'ours/lead/s': 'x'}
    assert len(harness.platform.watches) == 1
