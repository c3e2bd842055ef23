"""Tests of member registration in the store."""

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
    """Membership of one member with a fake store."""

    def __init__(self):
        """Create an unregistered member and an empty directory."""
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
        """Advance the membership and let the store answer its calls."""
        sent = self.membership.tick(now_ms)
        return self.store.serve(self.membership, sent, now_ms)

    @property
    def key(self):
        """Return the stored entry of the member key, or None."""
        return self.store.keys.get('members/n1')


@pytest.fixture(name='setup')
def _setup():
    return Setup()


def _count_calls(setup, kind):
    return sum(isinstance(call, kind) for call in setup.store.calls)


def test_registers_and_keeps_alive(setup):
    """Guards against a lease that expires while the member is alive."""
    for now_ms in range(0, 30_000, 100):
        setup.tick(now_ms)
    assert setup.key.lease == setup.membership.lease
    assert _count_calls(setup, store.SwapRequest) == 1
    assert _count_calls(setup, store.KeepAliveRequest) == 8


def test_ttl_grows_with_the_number_of_members(setup):
    """Guards against more keepalives than the store can handle."""
    names = [f'm{index}' for index in range(2000)]
    setup.directory.apply_read(gossip_builders.read_reply(names), 0)
    setup.tick(0)
    assert setup.store.leases[setup.membership.lease] == 60_000


def test_waits_for_the_directory():
    """Guards against a TTL that is too short for the number of members.

    That number is unknown until the directory was read.
    """
    setup = Setup()
    setup.directory.complete = 0
    setup.tick(0)
    assert not setup.store.calls


def test_expired_lease_after_a_pause(setup):
    """Guards against keys attached to an expired lease."""
    setup.tick(0)
    old = setup.membership.lease
    setup.store.expire(old)
    others = setup.tick(60_000)
    assert setup.membership.lease != old
    assert setup.key.lease == setup.membership.lease
    assert messages.Count('membership_lease_lapsed') in others


def test_lost_reply_is_resolved_by_a_read(setup):
    """Guards against a second write after a write whose reply was lost.

    Its comparison would fail on the member's own first write every time.
    """
    setup.store.lost_reply_types = (store.SwapRequest,)
    setup.tick(0)
    setup.store.lost_reply_types = ()
    assert not setup.membership.registered_document
    for now_ms in range(0, 4000, 100):
        setup.tick(now_ms)
    assert setup.membership.registered_document == setup.key.value
    assert setup.membership.revision == setup.key.mod_revision
    assert _count_calls(setup, store.SwapRequest) == 1


def test_store_outage_causes_few_calls(setup):
    """Guards against a retry storm and a lease dropped in an outage."""
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


def test_call_without_a_reply_times_out(setup):
    """Guards against waiting forever for a reply that was dropped."""
    assert setup.membership.tick(0)
    assert not setup.membership.tick(4999)
    setup.membership.tick(5000)
    setup.tick(6000)
    assert setup.key is not None


def test_deleted_key_is_written_again(setup):
    """Guards against a live member that other members no longer see.

    This happens if another process deletes the member's key.
    """
    setup.tick(0)
    setup.store.keys.pop('members/n1')
    gone = store.WatchEvents(setup.store.revision + 1, (), ('members/n1',))
    setup.store.revision += 1
    setup.directory.apply_read(
        store.ReadReply(
            gone.revision - 1,
            (gossip_builders.member_entry('n1'),),
        ),
        0,
    )
    setup.directory.apply_events(gone, 0)
    setup.tick(1000)
    assert setup.key is not None


def test_lease_that_expired_before_the_write(setup):
    """Guards against endless writes with an expired lease."""
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
    """Guards against new work for a leaving member and a lease after stop."""
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


def test_ttl_uses_the_configured_floor(setup):
    """Guards against a configured minimum TTL that has no effect."""
    setup.membership.ttl_floor_ms = 25_000
    setup.tick(0)
    assert setup.store.leases[setup.membership.lease] == 25_000
