"""Tests of the etcd client against a platform stand-in and faulty servers."""

import json

import pytest

from jacinthhaven.adapters import etcd, etcd_watch, http_server
from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import driver, platform_server

TIMEOUT_MS = 500
READ = store.ReadRequest('')
CREATE = store.SwapRequest(
    (store.Compare('a/ü', 0),),
    (store.Put('a/ü', 'wert ü'),),
)


class Setup:
    """Store client, its server and the replies that it delivered."""

    def __init__(self, handler=None) -> None:
        """Listen on a free port; `handler` replaces the platform."""
        self.driver = driver.Driver()
        loop = self.driver.loop
        self.platform = platform_server.PlatformServer(loop)
        self.server = self.platform.server
        if handler is not None:
            self.server = http_server.Server(loop, handler)
        port = self.server.listen((driver.HOST, 0))
        self.replies = []
        self.task = etcd.EtcdStore(
            loop,
            [(driver.HOST, port)],
            self.replies.append,
            TIMEOUT_MS,
        )
        self.numbers = iter(range(1, 1000))

    def send(self, request):
        """Send a request and return its number."""
        number = next(self.numbers)
        self.task.call(messages.StoreCall(number, request))
        return number

    def next_reply(self):
        """Run until a reply arrives and return it."""
        self.driver.run_until(lambda: self.replies)
        return self.replies.pop(0)

    def call(self, request):
        """Send a request and return the content of its reply."""
        number = self.send(request)
        found = self.next_reply()
        assert found.number == number
        return found.reply

    def watch(self, prefix, revision=0):
        """Open a watch, wait for its confirmation and return its number."""
        number = self.send(store.WatchRequest(prefix, revision))
        self.driver.run_until(lambda: self.task.watches[number].created)
        return number


def unavailable(reply):
    """Return whether a reply is the failure `store_unavailable`."""
    return reply.kind is failures.STORE_UNAVAILABLE


def test_keys_and_values_are_plain_text():
    """Guards against base64 or truncated text in replies."""
    setup = Setup()
    assert setup.call(CREATE) == store.SwapReply(True, 2)
    assert setup.call(CREATE) == store.SwapReply(False, 2)
    entry = store.KeyValue('a/ü', 'wert ü', 2, 2)
    for prefix in ('', 'a/', 'a/ü'):
        reply = setup.call(store.ReadRequest(prefix))
        assert reply == store.ReadReply(2, (entry,))
    assert not setup.call(store.ReadRequest('b')).entries
    removal = store.SwapRequest((), (store.Delete('a/ü'),))
    assert setup.call(removal).succeeded
    assert setup.call(READ) == store.ReadReply(3, ())


def test_value_of_one_megabyte():
    """Guards against a configuration that can be written but not read."""
    setup = Setup()
    large = 'x' * 1_048_576
    put = store.SwapRequest((), (store.Put('config', large),))
    assert setup.call(put).succeeded
    assert setup.call(READ).entries[0].value == large
    above = store.SwapRequest((), (store.Put('config', f'{large}x'),))
    assert setup.call(above).kind is failures.BAD_REQUEST


def test_lease_time_is_rounded_up():
    """Guards against a lease that is shorter than its renewal interval."""
    setup = Setup()
    lease = setup.call(store.LeaseRequest(1001))
    assert lease.ttl_ms == 2000
    setup.call(store.SwapRequest((), (store.Put('k', 'v', lease.lease),)))
    assert setup.call(READ).entries[0].lease == lease.lease
    setup.driver.advance(1500)
    assert setup.call(store.KeepAliveRequest(lease.lease)) == lease
    setup.driver.advance(1500)
    assert setup.call(READ).entries
    setup.driver.advance(500)
    assert not setup.call(READ).entries


def test_ended_lease_is_reported():
    """Guards against a holder that is not told that its lease has ended."""
    setup = Setup()
    gone = setup.call(store.LeaseRequest(1000)).lease
    assert setup.call(store.RevokeRequest(gone)).ttl_ms == 0
    assert setup.call(store.RevokeRequest(gone)).ttl_ms == 0
    assert setup.call(store.KeepAliveRequest(gone)).ttl_ms == 0
    bound = store.SwapRequest((), (store.Put('k', 'v', gone),))
    assert not setup.call(bound).succeeded


def test_lost_answer_after_the_effect():
    """Guards against an applied write that is reported as refused."""
    setup = Setup()
    setup.platform.faults.lose_answers = 1
    setup.platform.faults.lose_kinds = ['swap']
    assert setup.call(READ).revision == 1
    assert unavailable(setup.call(CREATE))
    assert setup.call(READ).revision == 2


def test_slow_store_times_out_once():
    """Guards against a late answer that is matched to another call."""
    setup = Setup()
    setup.platform.faults.slow_ms = 10 * TIMEOUT_MS
    number = setup.send(CREATE)
    setup.driver.run_until(lambda: setup.platform.model.space.keys)
    setup.driver.advance(TIMEOUT_MS)
    late = setup.next_reply()
    assert late.number == number
    assert unavailable(late.reply)
    setup.platform.faults.slow_ms = 0
    second = setup.send(READ)
    setup.driver.run_until(lambda: setup.platform.model.counts['read'])
    setup.driver.advance(10 * TIMEOUT_MS)
    assert [found.number for found in setup.replies] == [second]


def test_queued_calls_time_out():
    """Guards against calls that wait forever behind a silent store."""
    setup = Setup(lambda exchange: None)
    numbers = [setup.send(READ) for _index in range(20)]
    setup.driver.advance(TIMEOUT_MS)
    setup.driver.run_until(lambda: len(setup.replies) == 20)
    assert sorted(found.number for found in setup.replies) == numbers
    assert all(unavailable(found.reply) for found in setup.replies)
    assert not setup.task.calls


def test_calls_share_few_connections():
    """Guards against one connection for each concurrent call."""
    setup = Setup()
    numbers = [setup.send(READ) for _index in range(20)]
    setup.driver.run_until(lambda: len(setup.replies) == 20)
    assert sorted(found.number for found in setup.replies) == numbers
    assert len(setup.server.connections) <= 4


def test_outage_and_return():
    """Guards against a client that does not reconnect after an outage."""
    setup = Setup()
    setup.call(READ)
    watch = setup.watch('a/')
    setup.platform.change_faults(json.dumps({'outage': True}).encode())
    lost = setup.next_reply()
    assert lost.number == watch
    assert unavailable(lost.reply)
    assert unavailable(setup.call(READ))
    setup.platform.change_faults(json.dumps({'outage': False}).encode())
    assert setup.call(READ).revision == 1


def test_refused_connection():
    """Guards against waiting for the timeout when the port is closed."""
    setup = Setup()
    setup.server.stop_accepting()
    assert unavailable(setup.call(READ))
    number = setup.send(store.WatchRequest('', 1))
    lost = setup.next_reply()
    assert lost.number == number
    assert unavailable(lost.reply)


def test_watch_reports_each_revision():
    """Guards against changes whose order is lost within one answer."""
    setup = Setup()
    setup.call(CREATE)
    setup.call(store.SwapRequest((), (store.Delete('a/ü'),)))
    setup.call(CREATE)
    number = setup.watch('a/', 2)
    setup.driver.run_until(lambda: len(setup.replies) == 3)
    found = [
        (event.number, event.reply.revision, event.reply.deleted)
        for event in setup.replies
    ]
    assert found == [(number, 2, ()), (number, 3, ('a/ü',)), (number, 4, ())]
    setup.replies.clear()
    changed = setup.call(store.SwapRequest((), (store.Put('b', ''),)))
    assert changed.revision == 5
    live = store.SwapRequest((), (store.Put('a/ü', ''),))
    setup.send(live)
    setup.driver.run_until(lambda: len(setup.replies) == 2)
    events = [event for event in setup.replies if event.number == number]
    entry = store.KeyValue('a/ü', '', 4, 6)
    assert events[0].reply == store.WatchEvents(6, (entry,), ())


def test_cancelled_watch_reports_nothing():
    """Guards against events of a watch after its cancellation."""
    setup = Setup()
    number = setup.watch('')
    setup.task.cancel(messages.StoreCancel(number))
    assert setup.call(CREATE).succeeded
    setup.driver.run_until(lambda: not setup.platform.model.watches)
    assert not setup.replies


def test_compacted_watch_is_lost():
    """Guards against a watch that silently skips compacted changes."""
    setup = Setup()
    setup.call(CREATE)
    setup.platform.model.compact()
    setup.send(store.WatchRequest('', 2))
    assert unavailable(setup.next_reply().reply)


def test_unconfirmed_watch_is_lost():
    """Guards against a watch that waits forever on a silent store."""
    setup = Setup(lambda exchange: None)
    setup.send(store.WatchRequest('', 1))
    setup.driver.advance(TIMEOUT_MS)
    assert unavailable(setup.next_reply().reply)


@pytest.mark.parametrize(
    ('status', 'body'),
    [
        (200, b'nonsense\n'),
        (200, b'{"result":{}}\n'),
        (200, b'{"error":{"code":1}}\n'),
        (200, b'{"header":{"revision":"2"},"kvs":[{"key":"/w=="}]}'),
        (503, b'{"message":"no leader"}\n'),
    ],
)
def test_malformed_answers(status, body):
    """Guards against an unhandled exception for an invalid response."""
    setup = Setup(lambda exchange: exchange.respond(status, body))
    assert unavailable(setup.call(READ))
    assert unavailable(setup.call(store.WatchRequest('', 1)))


def test_line_size_limit():
    """Guards against buffering a line of unlimited size."""
    body = b'x' * (etcd_watch.MAX_LINE_BYTES + 1)
    setup = Setup(lambda exchange: exchange.respond(200, body))
    assert unavailable(setup.call(store.WatchRequest('', 1)))
