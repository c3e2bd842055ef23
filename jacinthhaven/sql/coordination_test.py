"""Tests of the reads and watches of the coordination store."""

from jacinthhaven.records import store
from jacinthhaven.sql import builders, coordination
from jacinthhaven.standins import store_model

_PAGE = 3


class _Pages(builders.FakePlatform):
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
        found = self.model.call(request, self.now_ms)
        if not isinstance(found, store.ReadReply):
            self.late.append((self.now_ms + 4, on_reply, found))
            return 0
        rest = [entry for entry in found.entries if entry.key > request.after]
        page = store.ReadReply(
            found.revision,
            tuple(rest[:_PAGE]),
            len(rest) > _PAGE,
        )
        self.late.append((self.now_ms + 4, on_reply, page))
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


class _Rig:
    """Store access of one node, on a store with small pages."""

    def __init__(self) -> None:
        """Create the store access of a node."""
        self.platform = _Pages()
        self.listener = _Listener()
        self.node = coordination.Coordination(
            self.platform,
            ('o', 'servers/', 'nodes/', 'op/config'),
            self.listener,
            builders.FakeJournal(),
            builders.seeded(),
        )
        self.now_ms = 1000

    def start(self) -> None:
        """Start as a node that owns services."""
        self.run(50)
        self.node.own_services(True)
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
    rig = _Rig()
    for index in range(8):
        rig.platform.put(f'nodes/{index}')
        rig.platform.put(f'servers/{index}')
        rig.platform.put(f'ours/{index}')
    rig.start()
    assert len(rig.listener.members) == 8
    assert len(rig.listener.registry) == 8
    assert len(rig.listener.keys) == 8


def test_key_beyond_the_first_page_is_not_taken_for_removed():
    """Guards against dropping keys of later pages in a repeated read."""
    rig = _Rig()
    for index in range(8):
        rig.platform.put(f'ours/{index}')
    rig.start()
    rig.node.watch_number = None
    rig.run(200)
    assert None not in rig.listener.keys.values()


def test_change_between_two_pages_is_not_lost():
    """Guards against missing a change made while pages are read.

    The key has changed after its page was read and before the watch starts.
    """
    rig = _Rig()
    for index in range(8):
        rig.platform.put(f'ours/{index}')
    rig.platform.between = lambda: rig.platform.put('ours/0', 'new')
    rig.start()
    assert rig.listener.keys['ours/0'] == 'new'


def test_notes_are_forgotten_when_they_are_watched_no_more():
    """Guards against decisions based on keys that are no longer watched.

    A node that ceases to be an owner watches the configuration only.
    """
    rig = _Rig()
    rig.platform.put('ours/doubt/s/n1', 'db-a')
    rig.platform.put('op/config', '{}')
    rig.start()
    rig.node.own_services(False)
    assert rig.listener.keys == {'ours/doubt/s/n1': None, 'op/config': '{}'}
    rig.run(200)
    rig.node.own_services(True)
    rig.run(200)
    assert rig.listener.keys['ours/doubt/s/n1'] == 'db-a'


def test_missing_instances_are_looked_for_often_after_an_outage():
    """Guards against detecting returned instances seconds late.

    After a store outage the registry is read often, but only for some time.
    """
    rig = _Rig()
    rig.start()
    rig.platform.model.outage = True
    rig.run(3000)
    rig.platform.model.outage = False
    rig.listener.complete = False
    rig.run(1000)
    rig.platform.calls.clear()
    rig.run(2000)
    fresh = [read for read in rig.reads('servers/') if not read.may_be_stale]
    assert len(fresh) >= 6
    rig.run(10_000)
    rig.platform.calls.clear()
    rig.run(2000)
    assert len(rig.reads('servers/')) <= 3


def test_node_without_services_makes_few_calls():
    """Guards against store load from the many nodes without services."""
    rig = _Rig()
    rig.platform.put('nodes/1')
    rig.run(50)
    rig.node.own_services(False)
    rig.run(45_000)
    reads = [
        call
        for call in rig.platform.calls
        if isinstance(call, store.ReadRequest)
    ]
    dear = [
        call
        for call in rig.platform.calls
        if not isinstance(call, (store.ReadRequest, store.KeepAliveRequest))
    ]
    stale = [read for read in reads if read.may_be_stale]
    assert len(reads) - len(stale) == 1
    assert len(stale) <= 25
    assert [type(call) for call in dear] == [store.WatchRequest]


def test_owner_reads_no_notes_twice_at_its_start():
    """Guards against redundant fresh reads when an owner starts."""
    rig = _Rig()
    rig.start()
    fresh = [read for read in rig.platform.calls if _is_fresh(read)]
    found = sorted(read.prefix for read in fresh)
    assert found == ['o', 'op/config', 'servers/']


def _is_fresh(call: store.Request) -> bool:
    return isinstance(call, store.ReadRequest) and not call.may_be_stale


def test_new_owner_reads_the_present_registry():
    """Guards against missing an instance that left and has returned.

    A new owner has only stale reads, so it must do a fresh read first.
    """
    rig = _Rig()
    rig.run(10)
    rig.node.own_services(True)
    rig.run(100)
    reads = rig.reads('servers/')
    assert [read.may_be_stale for read in reads] == [True, False]


def test_configuration_that_makes_an_owner_leaves_one_watch():
    """Guards against a redundant second watch that is never ended.

    The node becomes an owner while it processes the configuration it read.
    """
    rig = _Rig()
    rig.platform.put('op/config', '{}')
    rig.platform.put('ours/lead/s', 'x')
    rig.node.own_services(False)
    accept = rig.listener.on_key

    def own(key: str, text: str | None, revision: int) -> None:
        """Make this node an owner when the configuration arrives."""
        accept(key, text, revision)
        rig.node.own_services(True)

    rig.listener.on_key = own
    rig.run(300)
    assert rig.listener.keys == {'op/config': '{}', 'ours/lead/s': 'x'}
    assert len(rig.platform.watches) == 1
