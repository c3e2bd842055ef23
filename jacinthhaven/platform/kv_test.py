"""Tests of the client of the platform's store against its stand-in."""

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.platform import kv
from jacinthhaven.records import store
from jacinthhaven.standins import driver, kv_server

PUT = store.SwapRequest((), (store.Put('own/k', 'v'),))
READ = store.ReadRequest('own/')
_STEP_MS = 5


class Setup:
    """Store stand-in and a client on one poller."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.driver = driver.Driver()
        self.standin = kv_server.KvServer(self.driver.loop)
        port = self.standin.server.listen((driver.HOST, 0))
        self.replies = []
        self.store = kv.PlatformStore(
            self.driver.loop,
            [(driver.HOST, port)],
            self.replies.append,
            900,
        )
        self.number = 0

    def call(self, request):
        """Call the store and return the reply."""
        self.start(request)
        return self.next_reply()

    def start(self, request):
        """Call the store without waiting."""
        self.number += 1
        self.store.call(messages.StoreCall(self.number, request))

    def next_reply(self):
        """Return the next reply."""
        self.driver.run_until(lambda: self.replies, _STEP_MS)
        return self.replies.pop(0).reply

    def next_events(self):
        """Return the next events of a watch, after other replies."""
        reply = self.next_reply()
        while not isinstance(reply, store.WatchEvents):
            reply = self.next_reply()
        return reply


def test_written_key_is_read_back():
    """Guards against values that change on the way."""
    setup = Setup()
    assert setup.call(PUT).succeeded
    entries = setup.call(READ).entries
    assert [(entry.key, entry.value) for entry in entries] == [('own/k', 'v')]


def test_condition_that_fails():
    """Guards against a write over somebody else's change."""
    setup = Setup()
    setup.call(PUT)
    compare = store.Compare('own/k', 0)
    swap = store.SwapRequest((compare,), (store.Put('own/k', 'w'),))
    assert not setup.call(swap).succeeded


def test_lease_ends_with_its_keys():
    """Guards against notes of nodes that are gone."""
    setup = Setup()
    lease = setup.call(store.LeaseRequest(1000)).lease
    put = store.Put('own/n', 'x', lease)
    setup.call(store.SwapRequest((), (put,)))
    assert setup.call(store.KeepAliveRequest(lease)).ttl_ms == 1000
    setup.call(store.RevokeRequest(lease))
    assert not setup.call(READ).entries
    assert setup.call(store.KeepAliveRequest(lease)).ttl_ms == 0


def test_watch_reports_changes_and_removals():
    """Guards against changes that a node does not learn of."""
    setup = Setup()
    revision = setup.call(READ).revision
    setup.start(store.WatchRequest('own/', revision + 1))
    setup.start(PUT)
    events = setup.next_events()
    assert [entry.value for entry in events.changed] == ['v']
    setup.start(store.SwapRequest((), (store.Delete('own/k'),)))
    assert setup.next_events().deleted == ('own/k',)


def test_forgotten_history_ends_the_watch():
    """Guards against a watch that misses changes for ever."""
    setup = Setup()
    setup.standin.faults.forget = True
    reply = setup.call(store.WatchRequest('own/', 1))
    assert isinstance(reply, failures.Failure)


def test_silent_store_is_noticed():
    """Guards against calls and watches that wait for ever."""
    setup = Setup()
    setup.standin.faults.silent = True
    assert isinstance(setup.call(READ), failures.Failure)
    reply = setup.call(store.WatchRequest('own/', 1))
    assert isinstance(reply, failures.Failure)


def test_lost_answer_is_a_failure_although_it_took_effect():
    """Guards against taking a lost answer for a refusal."""
    setup = Setup()
    setup.standin.faults.lose_answers = 1
    assert isinstance(setup.call(PUT), failures.Failure)
    assert setup.call(READ).entries


def test_store_that_refuses():
    """Guards against an empty reply where nothing was read."""
    setup = Setup()
    setup.standin.faults.refuse = True
    assert isinstance(setup.call(READ), failures.Failure)
