"""Tests of the store model: swaps, leases, watches and outages."""

import pytest

from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import store_model

WRITE = store.SwapRequest((), (store.Put('a/k', 'v'),))


def created(key, lease=0):
    """Return a swap that creates a key."""
    return store.SwapRequest(
        (store.Compare(key, 0),),
        (store.Put(key, 'v', lease),),
    )


def names(model, prefix='', now_ms=0):
    """Return the names of the keys in the store."""
    reply = model.call(store.ReadRequest(prefix), now_ms)
    return [entry.key for entry in reply.entries]


def test_one_of_two_racing_swaps_succeeds():
    """Guards against two operators that both change the configuration."""
    model = store_model.StoreModel()
    first = model.call(created('a/k'), 0)
    second = model.call(created('a/k'), 0)
    assert (first.succeeded, second.succeeded) == (True, False)
    assert first.revision == second.revision == 2
    again = store.SwapRequest((store.Compare('a/k', 2),), WRITE.changes)
    assert model.call(again, 0).succeeded
    assert not model.call(again, 0).succeeded
    entry = model.call(store.ReadRequest('a/'), 0).entries[0]
    assert (entry.create_revision, entry.mod_revision) == (2, 3)


def test_expired_lease_deletes_its_keys():
    """Guards against a slot that stays held after its holder died."""
    model = store_model.StoreModel()
    lease = model.call(store.LeaseRequest(1000), 0).lease
    model.call(created('slots/g/0', lease), 0)
    renewed = model.call(store.KeepAliveRequest(lease), 900)
    assert renewed.ttl_ms == 1000
    assert names(model, now_ms=1899) == ['slots/g/0']
    assert model.next_due_ms() == 1900
    assert not names(model, now_ms=1900)
    assert not model.call(store.KeepAliveRequest(lease), 1900).ttl_ms
    assert not model.call(created('slots/g/0', lease), 1900).succeeded


def test_rewritten_key_leaves_the_old_lease():
    """Guards against an old holder's lease that deletes a new holder's key."""
    model = store_model.StoreModel()
    old, new = [
        model.call(store.LeaseRequest(ttl), 0).lease for ttl in (1000, 5000)
    ]
    model.call(created('k', old), 0)
    model.call(store.SwapRequest((), (store.Put('k', 'w', new),)), 0)
    assert names(model, now_ms=1000) == ['k']
    model.call(store.RevokeRequest(new), 1000)
    assert not names(model, now_ms=1000)


def test_outage_does_not_expire_leases():
    """Guards against slots that are lost because the store was down."""
    model = store_model.StoreModel()
    lease = model.call(store.LeaseRequest(1000), 0).lease
    model.call(created('k', lease), 0)
    model.begin_outage()
    refused = model.call(store.ReadRequest(''), 5000)
    assert refused.kind is failures.STORE_UNAVAILABLE
    model.end_outage(9000)
    assert names(model, now_ms=9999) == ['k']
    assert not names(model, now_ms=10000)


def test_watch_replays_from_its_revision():
    """Guards against changes that are missed between a read and a watch."""
    model = store_model.StoreModel()
    revision = model.call(WRITE, 0).revision
    model.call(store.SwapRequest((), (store.Delete('a/k'),)), 0)
    model.call(store.SwapRequest((), (store.Put('b', 'v'),)), 0)
    model.call(WRITE, 0)
    model.open_watch('w', store.WatchRequest('a/', revision))
    found = [
        (events.revision, len(events.changed), events.deleted)
        for events in model.take_events('w')
    ]
    assert found == [(2, 1, ()), (3, 0, ('a/k',)), (5, 1, ())]
    assert not model.take_events('w')


def test_watch_of_the_future():
    """Guards against a watch that reports changes before its start."""
    model = store_model.StoreModel()
    model.open_watch('w', store.WatchRequest('a/', 3))
    model.call(WRITE, 0)
    assert not model.take_events('w')
    model.call(WRITE, 0)
    assert [found.revision for found in model.take_events('w')] == [3]


def test_compacted_history_is_refused():
    """Guards against a watch that silently skips dropped changes."""
    model = store_model.StoreModel()
    model.call(WRITE, 0)
    model.compact()
    refused = model.open_watch('w', store.WatchRequest('a/', 2))
    assert refused.kind is failures.STORE_UNAVAILABLE
    assert model.open_watch('w', store.WatchRequest('a/', 3)) is None
    model.call(WRITE, 0)
    assert [found.revision for found in model.take_events('w')] == [3]


@pytest.mark.parametrize(
    ('changes', 'kind'),
    [
        (
            (store.Put('k', 'x' * (store_model.MAX_VALUE_BYTES + 1)),),
            failures.TOO_LARGE,
        ),
        ((store.Put('k', 'v'), store.Delete('k')), failures.BAD_REQUEST),
    ],
)
def test_refused_swap_changes_nothing(changes, kind):
    """Guards against a refused swap that is written in part."""
    model = store_model.StoreModel()
    assert model.call(store.SwapRequest((), changes), 0).kind is kind
    assert not names(model)
