"""Tests of the registration of a member."""

import itertools
import random

import pytest

from jacinthhaven.decide import (
    directory,
    gossip_builders,
    membership,
    messages,
    store_builders,
)
from jacinthhaven.records import store

_TTL_MS = 10_000


class Setup:
    """Membership of one member with its store."""

    def __init__(self):
        """Register at time 0."""
        self.store = store_builders.FakeStore()
        self.directory = directory.Directory()
        self.directory.apply_read(store.ReadReply(1, ()), 0)
        self.membership = membership.Membership(
            gossip_builders.member('n1'),
            self.directory,
            itertools.count(1),
            random.Random(1),
        )

    def tick(self, now_ms):
        """Let the membership make its calls and answer them."""
        sent = self.membership.tick(now_ms)
        return self.store.serve(self.membership, sent, now_ms)

    @property
    def key(self):
        """Return the stored member key, or None."""
        return self.store.keys.get('members/n1')


@pytest.fixture(name='setup')
def _setup():
    return Setup()


def _count(setup, kind):
    return sum(isinstance(call, kind) for call in setup.store.calls)


def test_registers_and_keeps_alive(setup):
    """Guards against a lease that lapses while the member is alive."""
    for now_ms in range(0, 30_000, 100):
        setup.tick(now_ms)
    assert setup.key.lease == setup.membership.lease
    assert _count(setup, store.SwapRequest) == 1
    assert _count(setup, store.KeepAliveRequest) == 8


def test_lease_grows_with_the_members(setup):
    """Guards against more keepalives than the store can take."""
    names = [f'm{index}' for index in range(2000)]
    setup.directory.apply_read(gossip_builders.read_reply(names), 0)
    setup.tick(0)
    assert setup.store.leases[setup.membership.lease] == 60_000


def test_waits_for_the_directory():
    """Guards against a short lease in a cluster of unknown size."""
    setup = Setup()
    setup.directory.complete = 0
    setup.tick(0)
    assert not setup.store.calls


def test_lapsed_lease_after_a_pause(setup):
    """Guards against keys bound to a lease that is gone."""
    setup.tick(0)
    old = setup.membership.lease
    setup.store.expire(old)
    others = setup.tick(60_000)
    assert setup.membership.lease != old
    assert setup.key.lease == setup.membership.lease
    assert messages.Count('membership_lease_lapsed') in others


def test_lost_answer_is_read_back(setup):
    """Guards against a second write or an endless conflict with itself."""
    setup.store.lost_reply_types = (store.SwapRequest,)
    setup.tick(0)
    setup.store.lost_reply_types = ()
    assert not setup.membership.registered
    for now_ms in range(0, 4000, 100):
        setup.tick(now_ms)
    assert setup.membership.registered == setup.key.value
    assert setup.membership.revision == setup.key.mod_revision
    assert _count(setup, store.SwapRequest) == 1


def test_outage_is_survived_with_few_calls(setup):
    """Guards against a retry storm and against giving up the lease."""
    setup.tick(0)
    lease = setup.membership.lease
    setup.store.down = True
    before = len(setup.store.calls)
    for now_ms in range(_TTL_MS // 3, 60_000, 100):
        setup.tick(now_ms)
    assert len(setup.store.calls) - before < 40
    assert setup.membership.lease == lease
    setup.store.down = False
    setup.tick(70_000)
    assert setup.membership.lease == lease


def test_call_without_an_answer(setup):
    """Guards against waiting for ever for a reply that was dropped."""
    assert setup.membership.tick(0)
    assert not setup.membership.tick(4999)
    setup.membership.tick(5000)
    setup.tick(6000)
    assert setup.key is not None


def test_foreign_change_is_repaired(setup):
    """Guards against a member that others no longer see."""
    setup.tick(0)
    setup.store.keys.pop('members/n1')
    gone = store.WatchEvents(setup.store.revision + 1, (), ('members/n1',))
    setup.store.revision += 1
    setup.directory.apply_read(
        store.ReadReply(gone.revision - 1, (gossip_builders.member_key('n1'),)),
        0,
    )
    setup.directory.apply_events(gone, 0)
    setup.tick(1000)
    assert setup.key is not None


def test_lease_that_lapsed_before_the_write(setup):
    """Guards against writing for ever under a lease that is gone."""
    sent = setup.membership.tick(0)
    reply = setup.store.answer(sent[0])
    setup.store.expire(reply.lease)
    sent = setup.membership.handle(
        messages.StoreReply(sent[0].number, reply),
        0,
    )
    setup.store.serve(setup.membership, sent, 0)
    assert setup.key is None
    setup.tick(1000)
    assert setup.key.lease == setup.membership.lease


def test_drain_and_stop(setup):
    """Guards against new work for a leaving member, and a late lease."""
    setup.tick(0)
    first = setup.key
    sent = setup.membership.drain(100)
    setup.store.serve(setup.membership, sent, 100)
    assert '"leaving":true' in setup.key.value
    assert setup.key.create_revision == first.create_revision
    sent = setup.membership.stop(200)
    setup.store.serve(setup.membership, sent, 200)
    assert setup.key is None
    assert not setup.tick(20_000)
    assert not setup.store.leases


def test_lease_uses_the_configured_floor(setup):
    """Guards against a setting of the lease that has no effect."""
    setup.membership.ttl_floor_ms = 25_000
    setup.tick(0)
    assert setup.store.leases[setup.membership.lease] == 25_000
