"""Tests of the instance process: long polls, replication and faults."""

import json

import msgspec
import pytest

from jacinthhaven.adapters import http_client
from jacinthhaven.records import backend
from jacinthhaven.standins import (
    builders,
    driver,
    instance_faults,
    instance_model,
    instance_server,
)

DATABASE = builders.DATABASE
HEARTBEAT_MS = 100


class Caller:
    """One HTTP connection and the answers that arrived on it."""

    def __init__(self, setup, name) -> None:
        """Start to connect to an instance."""
        self.setup = setup
        self.answers = []
        self.lost = False
        self.client = http_client.Client(
            setup.driver.loop,
            (driver.HOST, setup.ports[name]),
        )
        self.client.on_reply = self.answers.append
        self.client.on_lost = self.on_lost

    def on_lost(self) -> None:
        """Note that the instance closed the connection."""
        self.lost = True

    def send(self, path, document) -> None:
        """Send a record or a dict without waiting."""
        self.client.send(path, msgspec.json.encode(document))

    def call(self, path, document):
        """Send a record or a dict and return the decoded answer."""
        self.send(path, document)
        return self.next_answer()

    def next_answer(self):
        """Run until an answer arrives and return its document."""
        self.setup.driver.run_until(lambda: self.answers)
        return json.loads(self.answers.pop(0).body)


class Setup:
    """Three instances on one poller, each with one open connection."""

    def __init__(self) -> None:
        """Start the instances; `a` is primary in term 1."""
        self.driver = driver.Driver()
        self.models = {
            name: instance_model.InstanceModel(name, [DATABASE], 3)
            for name in 'abc'
        }
        addresses = {}
        self.servers = {
            name: instance_server.InstanceServer(
                self.driver.loop,
                model,
                addresses,
                instance_faults.Faults(),
            )
            for name, model in self.models.items()
        }
        self.ports = {
            name: server.server.listen((driver.HOST, 0))
            for name, server in self.servers.items()
        }
        addresses.update(
            {name: (driver.HOST, port) for name, port in self.ports.items()},
        )
        for instance in self.models:
            self.models[instance].start_as({DATABASE: 'a'}, 0)
            self.control(instance, {})
        self.callers = {name: self.connect(name) for name in self.models}

    def connect(self, name):
        """Return an open database connection."""
        caller = Caller(self, name)
        assert not caller.call('/connect', backend.ConnectRequest('g/0', 1))
        return caller

    def control(self, name, faults):
        """Set faults and return the answer of the control endpoint."""
        return Caller(self, name).call('/control', faults)

    def copy(self, name):
        """Return an instance's copy of the database."""
        return self.models[name].copies[DATABASE]

    def write(self, name='a', key='', term=1):
        """Write on the open connection of an instance."""
        return self.callers[name].call('/execute', builders.add(key, term))

    def replicated(self, name, position, step_ms=0):
        """Run until an instance has entries up to a position."""
        self.driver.run_until(
            lambda: self.copy(name).log.position == position,
            step_ms,
        )

    def idle(self):
        """Run until both replicas wait for news of the first primary."""
        pulls = self.servers['a'].pulls.waiting
        self.driver.run_until(lambda: len(pulls) == 2)

    def promote(self, name, term, followers):
        """Fence a majority, promote an instance and let others follow."""
        for other in (name, *followers):
            fence = backend.FenceRequest(DATABASE, term)
            self.callers[other].call('/fence', fence)
        order = backend.PromoteRequest(DATABASE, term)
        assert self.callers[name].call('/promote', order)['term'] == term
        for other in followers:
            follow = backend.FollowRequest(DATABASE, term, name)
            self.callers[other].call('/follow', follow)


def test_status_is_answered_upon_change():
    """Guards against confirming writes only at the end of a long poll."""
    setup = Setup()
    setup.replicated('b', 1)
    poll = backend.StatusRequest(0, 0)
    seen = setup.callers['b'].call('/status', poll)['version']
    setup.callers['b'].send('/status', backend.StatusRequest(seen, 60_000))
    setup.write()
    status = setup.callers['b'].next_answer()
    assert status['databases'][0]['position'] == 2


def test_status_is_answered_after_its_wait():
    """Guards against a healthy instance that looks silent."""
    setup = Setup()
    seen = setup.models['a'].version
    setup.callers['a'].send('/status', backend.StatusRequest(seen, 300))
    setup.driver.run_until(lambda: setup.servers['a'].polls.waiting)
    setup.driver.advance(299)
    assert not setup.callers['a'].answers
    setup.driver.advance(1)
    assert setup.callers['a'].next_answer()['version'] == seen


def test_idle_replication_has_heartbeats():
    """Guards against replicas that report a silent primary while idle."""
    setup = Setup()
    setup.replicated('b', 1)
    setup.idle()
    contact_ms = setup.copy('b').contact_ms
    for idle_ms in range(HEARTBEAT_MS, 5 * HEARTBEAT_MS, HEARTBEAT_MS):
        setup.driver.advance(HEARTBEAT_MS)
        setup.idle()
        assert setup.copy('b').contact_ms == contact_ms + idle_ms


def test_frozen_instance_runs_held_requests_later():
    """Guards against faults that lose the late copy of a request.

    A paused process finds the request in its socket buffer, although its
    sender gave up and closed the connection.
    """
    setup = Setup()
    setup.control('a', {'freeze': True})
    setup.callers['a'].send('/execute', builders.add('late'))
    exchanges = setup.servers['a'].proxy_gate.held
    setup.driver.run_until(lambda: exchanges)
    setup.callers['a'].client.close()
    setup.driver.run_until(lambda: len(exchanges) == 2)
    assert setup.copy('a').log.position == 1
    setup.control('a', {'freeze': False})
    assert setup.copy('a').log.position == 2
    assert not setup.models['a'].table.connections


def test_frozen_instance_holds_delayed_answers():
    """Guards against an answer that a frozen instance still sends."""
    setup = Setup()
    setup.control('a', {'answer_delay_ms': 50})
    setup.callers['a'].send('/execute', builders.add())
    setup.driver.run_until(lambda: setup.copy('a').log.position == 2)
    setup.control('a', {'freeze': True})
    setup.driver.advance(50)
    setup.control('a', {})
    assert not setup.callers['a'].answers
    setup.control('a', {'freeze': False})
    assert setup.callers['a'].next_answer()['position'] == 2


def test_frozen_primary_is_silent():
    """Guards against a frozen instance that still feeds its replicas."""
    setup = Setup()
    setup.replicated('b', 1)
    setup.control('a', {'freeze': True})
    contact_ms = setup.copy('b').contact_ms
    setup.driver.run_until(
        lambda: setup.driver.clock.now_ms() > 10 * HEARTBEAT_MS,
        step_ms=1,
    )
    assert setup.copy('b').contact_ms == contact_ms
    setup.control('a', {'freeze': False})
    setup.driver.run_until(
        lambda: setup.copy('b').contact_ms > contact_ms,
        step_ms=1,
    )


def test_cut_from_proxies_keeps_replication():
    """Guards against a fault that isolates more than was asked for."""
    setup = Setup()
    setup.write()
    setup.control('a', {'cut_proxies': True})
    setup.callers['a'].send('/execute', builders.add())
    setup.replicated('b', 2)
    setup.idle()
    contact_ms = setup.copy('b').contact_ms
    setup.driver.advance(HEARTBEAT_MS)
    setup.idle()
    assert setup.copy('b').contact_ms > contact_ms
    assert not setup.callers['a'].answers
    setup.control('a', {'cut_proxies': False})
    assert setup.callers['a'].next_answer()['position'] == 3


@pytest.mark.parametrize(('where', 'other'), [('a', 'b'), ('b', 'a')])
def test_cut_between_instances(where, other):
    """Guards against replication across a partition, or none after it."""
    setup = Setup()
    setup.replicated('b', 1)
    setup.control(where, {'cut': [other]})
    setup.write()
    setup.replicated('c', 2)
    setup.driver.run_until(
        lambda: setup.driver.clock.now_ms() > 10 * HEARTBEAT_MS,
        step_ms=1,
    )
    assert setup.copy('b').log.position == 1
    setup.control(where, {'cut': []})
    setup.replicated('b', 2, step_ms=1)


def test_lag_delays_a_replica():
    """Guards against a lag fault without effect on status and reads."""
    setup = Setup()
    setup.replicated('b', 1)
    setup.control('b', {'lag_ms': 400})
    setup.write()
    setup.driver.run_until(lambda: setup.models['b'].next_due_ms())
    setup.driver.advance(399)
    assert setup.callers['b'].call('/execute', builders.get())['position'] == 1
    setup.driver.advance(1)
    assert setup.callers['b'].call('/execute', builders.get())['position'] == 2


def test_replaced_primary_follows_the_new_one():
    """Guards against a former primary that keeps its unconfirmed entries."""
    setup = Setup()
    setup.replicated('b', 1)
    setup.replicated('c', 1)
    setup.control('a', {'cut': ['b', 'c']})
    setup.write('a', 'lost')
    setup.promote('b', 2, 'c')
    setup.write('b', 'kept', 2)
    setup.replicated('c', 3, step_ms=1)
    stale = setup.write('a', 'more', 2)
    assert (stale['error'], stale['term']) == ('stale_term', 1)
    setup.control('a', {'cut': []})
    order = backend.FollowRequest(DATABASE, 2, 'b')
    setup.callers['a'].call('/follow', order)
    setup.replicated('a', 3, step_ms=1)
    assert list(setup.copy('a').log.recorded) == ['kept']


def test_opening_takes_time_but_counts_at_once():
    """Guards against more connections than the limit while they open."""
    setup = Setup()
    setup.control('a', {'open_delay_ms': 30})
    late = Caller(setup, 'a')
    late.send('/connect', backend.ConnectRequest('g/1', 1))
    table = setup.models['a'].table
    setup.driver.run_until(lambda: len(table.connections) == 2)
    assert not late.answers
    setup.driver.advance(30)
    assert not late.next_answer()
    assert setup.control('a', {})['connections'] == 2


def test_refused_documents():
    """Guards against a misspelled fault or request that is ignored."""
    setup = Setup()
    assert setup.control('a', {'freze': True})['error'] == 'bad_request'
    reply = setup.callers['a'].call('/execute', {'database': 'lots'})
    assert reply['error'] == 'bad_request'
    unopened = Caller(setup, 'a').call('/execute', builders.add())
    assert unopened['error'] == 'connection_refused'
    other = backend.ResolveRequest('other', 1, 'key')
    reply = setup.callers['a'].call('/resolve', other)
    assert reply['error'] == 'unknown_database'
