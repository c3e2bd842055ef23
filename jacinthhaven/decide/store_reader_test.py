"""Tests of the store reader."""

import itertools
import random

from jacinthhaven.decide import (
    directory,
    gossip_builders,
    messages,
    store_builders,
    store_reader,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import store


class Setup:
    """Store reader of member n1 with its store."""

    def __init__(self, names=()):
        """Create a store in which some members are registered."""
        self.store = store_builders.FakeStore()
        for name in names:
            document = gossip_builders.member_entry(name).value
            self.store.put(f'members/{name}', document)
        self.directory = directory.Directory()
        self.reader = store_reader.StoreReader(
            'n1',
            'z1',
            self.directory,
            itertools.count(1),
            random.Random(1),
        )

    def tick(self, now_ms):
        """Let the reader make its calls and answer them."""
        sent = self.reader.tick(now_ms)
        return self.store.serve(self.reader, sent, now_ms)

    def events(self, *changed, deleted=()):
        """Deliver watch events at the store's revision."""
        reply = store.WatchEvents(self.store.revision, changed, deleted)
        sent = self.reader.handle(
            messages.StoreReply(self.reader.watch, reply),
            0,
        )
        return self.store.serve(self.reader, sent, 0)


def test_first_member_reads_and_watches():
    """Guards against a new cluster in which no member reads the store."""
    setup = Setup()
    setup.tick(0)
    assert setup.reader.active
    assert list(setup.store.watches.values()) == [store.WatchRequest('', 2)]
    assert setup.directory.complete == 1


def test_two_readers_for_a_zone():
    """Guards against store calls that grow with the number of members."""
    names = [f'n{index}' for index in range(6)]
    active = []
    for name in names:
        setup = Setup(names)
        setup.reader.member_name = name
        for now_ms in range(0, 5000, 100):
            setup.tick(now_ms)
        active.append(setup.reader.active)
        # Others read once at the start; readers add a watch and proofs.
        expected = 7 if setup.reader.active else 1
        assert len(setup.store.calls) == expected
    assert sum(active) == 2


def test_role_follows_the_members():
    """Guards against a member that keeps its watch as a non-reader."""
    setup = Setup()
    setup.tick(0)
    watch = setup.reader.watch
    keys = []
    for index in range(9):
        setup.store.put(f'members/m{index}', '')
        keys.append(gossip_builders.member_entry(f'm{index}', index + 2))
    others = setup.events(*keys)
    assert messages.StoreCancel(watch) in others
    assert not setup.reader.active
    setup.store.put('members/x', '')
    gone = tuple(key.key for key in keys)
    setup.directory.apply_events(store.WatchEvents(20, (), gone), 0)
    setup.tick(100)
    assert setup.reader.active
    assert setup.reader.watch not in {None, watch}


def test_lost_watch_is_read_again():
    """Guards against changes missed after a lost or compacted watch."""
    setup = Setup()
    setup.tick(0)
    setup.store.put('config', 'x')
    failure = failures.STORE_UNAVAILABLE.because('compacted')
    lost = messages.StoreReply(setup.reader.watch, failure)
    setup.store.serve(setup.reader, setup.reader.handle(lost, 0), 0)
    setup.tick(1000)
    assert setup.directory.entries['config'].value == 'x'
    assert setup.reader.watch is not None


def test_ambiguous_events_are_read_again():
    """Guards against guessing the order of a write and a deletion."""
    setup = Setup()
    setup.tick(0)
    key = gossip_builders.key_value('config', 'x', 2)
    setup.store.put('preset', 'y')
    setup.events(key, deleted=('config',))
    assert 'config' not in setup.directory.entries
    assert 'preset' in setup.directory.entries


def test_proof_counts_from_the_call():
    """Guards against a proof age that omits the delay of the store."""
    setup = Setup()
    setup.tick(0)
    call = setup.reader.tick(1500)[0]
    reply = messages.StoreReply(call.number, store.ReadReply(1, ()))
    setup.reader.handle(reply, 1900)
    assert setup.directory.proof_ms == 1500


def test_silent_watch_is_replaced():
    """Guards against a watch that is open but reports nothing."""
    setup = Setup()
    setup.tick(0)
    setup.store.put('config', 'x')
    for now_ms in range(1000, 6000, 100):
        setup.tick(now_ms)
    assert 'config' in setup.directory.entries


def test_outage_causes_few_calls():
    """Guards against a retry storm against a store that is down."""
    setup = Setup()
    setup.store.down = True
    for now_ms in range(0, 60_000, 100):
        setup.tick(now_ms)
    assert len(setup.store.calls) < 40
    setup.store.down = False
    setup.tick(70_000)
    assert setup.directory.complete == 1
