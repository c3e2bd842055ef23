"""Tests of the client of the platform's store against a stand-in."""

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
        """Skip other replies and return the next events of a watch."""
        reply = self.next_reply()
        while not isinstance(reply, store.WatchEvents):
            reply = self.next_reply()
        return reply


def test_written_key_is_read_back():
    """Guards against values that are corrupted in encoding or decoding."""
    setup = Setup()
    assert setup.call(PUT).succeeded
    entries = setup.call(READ).entries
    assert [(entry.key, entry.value) for entry in entries] == [('own/k', 'v')]


def test_failed_compare_rejects_the_write():
    """Guards against overwriting a concurrent change."""
    setup = Setup()
    setup.call(PUT)
    compare = store.Compare('own/k', 0)
    swap = store.SwapRequest((compare,), (store.Put('own/k', 'w'),))
    assert not setup.call(swap).succeeded


def test_revoked_lease_deletes_its_keys():
    """Guards against keys that outlive the node that wrote them."""
    setup = Setup()
    lease = setup.call(store.LeaseRequest(1000)).lease
    put = store.Put('own/n', 'x', lease)
    setup.call(store.SwapRequest((), (put,)))
    assert setup.call(store.KeepAliveRequest(lease)).ttl_ms == 1000
    setup.call(store.RevokeRequest(lease))
    assert not setup.call(READ).entries
    assert setup.call(store.KeepAliveRequest(lease)).ttl_ms == 0


def test_watch_reports_changes_and_removals():
    """Guards against changes or deletions that a watch does not report."""
    setup = Setup()
    revision = setup.call(READ).revision
    setup.start(store.WatchRequest('own/', revision + 1))
    setup.start(PUT)
    events = setup.next_events()
    assert [entry.value for entry in events.changed] == ['v']
    setup.start(store.SwapRequest((), (store.Delete('own/k'),)))
    assert setup.next_events().deleted == ('own/k',)


def test_compacted_history_ends_the_watch():
    """Guards against a watch that silently misses changes.

    The store no longer has the history after the requested revision.
    """
    setup = Setup()
    setup.standin.faults.forget = True
    reply = setup.call(store.WatchRequest('own/', 1))
    assert isinstance(reply, failures.Failure)


def test_unresponsive_store_is_a_failure():
    """Guards against calls and watches without a timeout."""
    setup = Setup()
    setup.standin.faults.silent = True
    assert isinstance(setup.call(READ), failures.Failure)
    reply = setup.call(store.WatchRequest('own/', 1))
    assert isinstance(reply, failures.Failure)


def test_lost_response_is_a_failure_although_the_write_took_effect():
    """Guards against reporting a lost response as a rejected write."""
    setup = Setup()
    setup.standin.faults.lose_answers = 1
    assert isinstance(setup.call(PUT), failures.Failure)
    assert setup.call(READ).entries


def test_refused_call_is_a_failure():
    """Guards against reporting a refused read as an empty result."""
    setup = Setup()
    setup.standin.faults.refuse = True
    assert isinstance(setup.call(READ), failures.Failure)
