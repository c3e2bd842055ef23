"""Tests of the platform process: faults, counts and the list of VMs."""

import json

from jacinthhaven.adapters import etcd, http_client
from jacinthhaven.decide import messages
from jacinthhaven.records import store
from jacinthhaven.standins import driver, platform_server

PUT = store.SwapRequest((), (store.Put('k', 'v'),))


class Setup:
    """Platform, one HTTP connection and a store client."""

    def __init__(self) -> None:
        """Listen on a free port and connect to it."""
        self.driver = driver.Driver()
        loop = self.driver.loop
        self.platform = platform_server.PlatformServer(loop)
        address = (driver.HOST, self.platform.server.listen((driver.HOST, 0)))
        self.answers = []
        self.client = http_client.Client(loop, address)
        self.client.on_reply = self.answers.append
        self.replies = []
        self.store = etcd.EtcdStore(loop, [address], self.replies.append)

    def answer(self):
        """Return the document of the next answer."""
        self.driver.run_until(lambda: self.answers)
        return json.loads(self.answers.pop(0).body)

    def post(self, path, document):
        """Post a document and return the answer."""
        self.client.send(path, json.dumps(document).encode())
        return self.answer()

    def get(self, path):
        """Return the document at a path."""
        self.client.get(path)
        return self.answer()

    def call(self, number, request):
        """Send a store call without waiting."""
        self.store.call(messages.StoreCall(number, request))

    def next_reply(self):
        """Return the next reply of the store."""
        self.driver.run_until(lambda: self.replies)
        return self.replies.pop(0)


def test_list_of_machines_lags():
    """Guards against a VM list that is newer than the platform's."""
    setup = Setup()
    machine = {'name': 'a1', 'address': '127.0.0.1', 'zone': 'macon'}
    live = {**machine, 'state': 'live'}
    leaving = {**machine, 'state': 'leaving'}
    assert setup.post('/vms', [live]) == [live]
    setup.post('/control', {'vms_lag_ms': 300})
    assert setup.post('/vms', [leaving]) == [live]
    setup.driver.advance(299)
    assert setup.get('/vms') == [live]
    setup.driver.advance(1)
    assert setup.get('/vms') == [leaving]
    refused = setup.post('/vms', [{**machine, 'state': 'gone'}])
    assert refused['error'] == 'bad_request'


def test_machines_are_listed_during_an_outage():
    """Guards against an outage of the store that hides the VM list."""
    setup = Setup()
    assert setup.post('/control', {'outage': True})['faults']['outage']
    assert not setup.get('/vms')


def test_calls_and_waiting_watches_are_counted():
    """Guards against a store budget that is measured too low."""
    setup = Setup()
    setup.call(1, store.WatchRequest('', 0))
    setup.driver.run_until(lambda: setup.platform.model.watches)
    setup.call(2, store.ReadRequest(''))
    setup.next_reply()
    shown = setup.get('/control')
    assert shown['counts'] == {'watch': 1, 'read': 1}
    assert shown['watching'] == 1
    setup.store.cancel(messages.StoreCancel(1))
    setup.driver.run_until(lambda: not setup.platform.model.watches)
    assert setup.get('/control')['watching'] == 0


def test_order_of_events_when_slowness_ends():
    """Guards against watch events that overtake earlier ones."""
    setup = Setup()
    setup.call(1, store.WatchRequest('', 0))
    setup.driver.run_until(lambda: setup.store.watches[1].created)
    setup.post('/control', {'slow_ms': 300})
    setup.call(2, PUT)
    model = setup.platform.model
    setup.driver.run_until(lambda: model.space.revision == 2)
    setup.post('/control', {'slow_ms': 0})
    setup.call(3, PUT)
    setup.driver.run_until(lambda: model.space.revision == 3)
    setup.driver.advance(300)
    setup.driver.run_until(lambda: len(setup.replies) == 4)
    events = [found for found in setup.replies if found.number == 1]
    assert [found.reply.revision for found in events] == [2, 3]


def test_leases_expire_without_calls():
    """Guards against a watch that does not see the end of a lease."""
    setup = Setup()
    setup.call(1, store.LeaseRequest(1000))
    lease = setup.next_reply().reply.lease
    setup.call(2, store.SwapRequest((), (store.Put('k', 'v', lease),)))
    setup.next_reply()
    setup.call(3, store.WatchRequest('', 0))
    setup.driver.run_until(lambda: setup.store.watches[3].created)
    setup.driver.advance(999)
    setup.driver.run_until(lambda: setup.replies, step_ms=1)
    assert setup.next_reply().reply == store.WatchEvents(3, (), ('k',))


def test_unsupported_calls_are_refused():
    """Guards against calls that are accepted and do something else."""
    setup = Setup()
    for path, document in (
        ('/v3/kv/range', {'key': 'YQ=='}),
        ('/v3/kv/txn', {'compare': [{'key': 'YQ==', 'target': 'VALUE'}]}),
        ('/v3/kv/txn', {'failure': [{}]}),
        ('/v3/lease/grant', {'TTL': 'long'}),
    ):
        assert setup.post(path, document)['code'] == 3
    assert setup.post('/v3/kv/compact', {})['code'] == 5
