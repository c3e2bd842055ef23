"""Tests of a store that comes back from an older copy."""

import pytest

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    builders,
    cluster_builders,
    fleet_builders,
    freshness,
    promotion_lock,
    search_builders,
    statements,
    store_records,
)

_SMALL = 8
_LARGE = 15
# 2,000 nodes that read at 2,000 reads a second get a configuration within 7 s.
_MAX_READS = 7


# Changes that the store loses: more than it gets within the time of a test.
_LOST_CHANGES = 60


def _restored(size: int) -> fleet_builders.Fleet:
    """Return a fleet whose store has lost a version, and has it again."""
    fleet = fleet_builders.Fleet(size)
    copy = fleet.model.space.copy()
    for number in range(_LOST_CHANGES):
        fleet.put(f'ours/lead/{number}', '{}')
    fleet.change()
    fleet.run(200)
    fleet.restore(copy)
    fleet.write_again()
    return fleet


@pytest.mark.parametrize('size', [_SMALL, _LARGE])
def test_version_under_a_reused_revision_is_applied(size):
    """Guards against a write that is ignored for a number that was lost."""
    fleet = _restored(size)
    fleet.run(500)
    for version in (3, 4, 5):
        fleet.change()
        fleet.run(fleet_builders.APPLY_WITHIN_MS)
        assert set(fleet.versions) == {version}


def test_changes_below_the_lost_revision_are_not_missed():
    """Guards against a watch that resumes after changes of the new era."""
    fleet = fleet_builders.Fleet(_SMALL)
    copy = fleet.model.space.copy()
    fleet.change()
    fleet.run(200)
    for platform in fleet.platforms:
        platform.down = True
    fleet.run(200)
    fleet.restore(copy)
    fleet.change()
    for number in range(_LOST_CHANGES):
        fleet.put(f'ours/lead/{number}', '{}')
    for returned in fleet.platforms:
        returned.down = False
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert set(fleet.versions) == {fleet.required}


def _lose_version(size: int) -> fleet_builders.Fleet:
    """Return a fleet whose store has lost the version that is in force."""
    fleet = fleet_builders.Fleet(size)
    copy = fleet.model.space.copy()
    fleet.change()
    fleet.run(500)
    fleet.restore(copy)
    return fleet


def test_node_does_not_return_to_the_version_of_the_copy():
    """Guards against a node that takes an older configuration again."""
    fleet = _lose_version(_SMALL)
    fleet.run(2 * fleet_builders.APPLY_WITHIN_MS)
    assert set(fleet.versions) == {2}


def test_started_node_learns_a_lost_version_from_others():
    """Guards against a node that starts with what the copy has."""
    fleet = _lose_version(_SMALL)
    fleet.run(500)
    fleet.restart(_SMALL - 1)
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert set(fleet.versions) == {2}


def test_lost_database_is_not_refused_as_unknown():
    """Guards against a refusal by a version of the copy."""
    fleet = _lose_version(_SMALL)
    fleet.run(500)
    fleet.restart(_SMALL - 1)
    fleet.run(1000)
    fleet.nodes[-1].relay.on_start(1, 'database-2', fleet.now_ms)
    fleet.run(1100)
    codes = set(fleet.clients[-1].refused.values())
    assert statements.Code.UNKNOWN_DATABASE not in codes


def test_node_without_the_store_learns_of_the_restore():
    """Guards against an old configuration on a node whose way is silent."""
    fleet = fleet_builders.Fleet(_LARGE)
    copy = fleet.model.space.copy()
    for number in range(_LOST_CHANGES):
        fleet.put(f'ours/lead/{number}', '{}')
    fleet.change()
    fleet.run(500)
    fleet.platforms[0].silent = True
    fleet.platforms[0].silence_connections()
    fleet.restore(copy)
    fleet.write_again()
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert fleet.versions[0] == fleet.required
    assert fleet.nodes[0].sync.is_certain()


def test_nodes_are_listed_again():
    """Guards against nodes that renew leases of the earlier era."""
    fleet = fleet_builders.Fleet(_SMALL)
    fleet.restore(fleet.model.space.copy())
    fleet.run(3000)
    listed = fleet.model.space.read('nodes/').entries
    assert len(listed) == _SMALL
    assert len(fleet.nodes[0].members) == _SMALL


def test_restore_costs_few_reads_of_a_node():
    """Guards against a store that is flooded when it comes back."""
    fleet = fleet_builders.Fleet(2 * _LARGE)
    fleet.run(3000)
    fleet.restore(fleet.model.space.copy())
    fleet.clear_calls()
    fleet.run(1000)
    for platform in fleet.platforms[fleet_builders.LARGE_NODES :]:
        reads = [
            call.prefix
            for call in platform.calls
            if isinstance(call, store.ReadRequest)
        ]
        assert reads.count('servers/') <= 1
        assert len(reads) <= _MAX_READS


def test_proof_from_before_the_restore_does_not_count():
    """Guards against a trusted configuration that the store has replaced."""
    known = freshness.Freshness(3000)
    later = history.EraNumber.at(2, 20)
    known.on_received(freshness.Edition(5, later))
    known.on_proof(freshness.Edition(5, history.EraNumber(30)), 1000)
    assert not known.is_certain(1000)
    known.on_proof(freshness.Edition(5, later), 1000)
    assert known.is_certain(1000)


def test_report_that_nothing_confirms_ends():
    """Guards against a wrong report that makes a node doubt for ever."""
    known = freshness.Freshness(3000)
    known.on_received(freshness.Edition(5, history.EraNumber(20)))
    known.on_report(freshness.Edition(9, history.EraNumber(30)), 1000)
    known.on_store_proof(2000)
    assert not known.is_certain(2000)
    known.on_store_proof(5000)
    assert known.is_certain(5000)
    assert not known.outdated


def _promoted(**options: bool) -> cluster_builders.Cluster:
    """Return a cluster that has replaced its primary once."""
    cluster = cluster_builders.Cluster(3, **options)
    cluster.silence('db-a', 3)
    cluster.run(5000)
    assert len(cluster.orders()) == 1
    return cluster


@pytest.mark.parametrize('fenced', [True, False])
def test_fence_after_a_restore_is_higher_than_before(fenced):
    """Guards against orders that the platform refuses, or acts on twice."""
    cluster = cluster_builders.Cluster(3, fenced=fenced)
    copy = cluster.model.space.copy()
    cluster.silence('db-a', 3)
    cluster.run(5000)
    cluster.model.restore(copy)
    cluster.run(5000)
    first = cluster.group.primary
    cluster.silence(first, 3)
    cluster.run(12_000)
    fences = [order[2] for order in cluster.orders()]
    assert cluster.group.primary not in {'db-a', first}
    assert fences == sorted(set(fences))
    assert [history.EraNumber(fence).era for fence in fences] == [1, 2]


def test_lock_of_the_copy_does_not_stop_a_promotion():
    """Guards against a lock whose lease is lost, and that nobody holds."""
    cluster = cluster_builders.Cluster(3)
    key = cluster.keys.promotion_lock(builders.SERVICE)
    put = store.Put(key, 'gone')
    cluster.model.call(store.SwapRequest((), (put,)), cluster.now_ms)
    cluster.run(100)
    assert cluster.election(0).lock.held_by_other
    copy = cluster.model.space.copy()
    copy.keys.pop(key)
    cluster.model.restore(copy)
    cluster.silence('db-a', 3)
    cluster.run(8000)
    assert len(cluster.orders()) == 1


def test_no_order_while_a_holder_may_not_know_of_the_restore():
    """Guards against two holders: one is suspended and has not learned of it."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    cluster.silence('db-a', 3)
    cluster.frozen = {2}
    cluster.model.restore(cluster.model.space.copy())
    cluster.run(promotion_lock.LOCK_TTL_MS - 100)
    assert not cluster.orders()
    cluster.run(4000)
    assert len(cluster.orders()) == 1


@pytest.mark.parametrize('fenced', [True, False])
def test_promotion_does_not_wait_if_no_second_holder_is_possible(fenced):
    """Guards against a service without a primary for longer than needed."""
    cluster = cluster_builders.Cluster(3, fenced=fenced)
    cluster.silence('db-a', 3)
    cluster.model.restore(cluster.model.space.copy())
    cluster.run(promotion_lock.LOCK_TTL_MS - 500)
    assert len(cluster.orders()) == 1


def test_holder_orders_nothing_after_a_restore():
    """Guards against an order under a lock that the store has lost."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    cluster.silence('db-a', 3)
    cluster.run(700)
    # The holder waits until the right of the node that was cut off has expired.
    cluster.isolate({2})
    while not any(known.lock.lease for known in cluster.elections()):
        cluster.run(10)
    cluster.model.restore(cluster.model.space.copy())
    cluster.run(promotion_lock.LOCK_TTL_MS - 500)
    assert not cluster.orders()


def test_suspicion_is_reported_again():
    """Guards against votes that were lost with their leases."""
    cluster = cluster_builders.Cluster(3)
    cluster.silence('db-a', 1)
    cluster.run(8000)
    key = cluster.keys.suspicion(builders.SERVICE, 'n0')
    assert cluster.stored(key)
    cluster.model.restore(cluster.model.space.copy())
    assert not cluster.stored(key)
    cluster.run(1500)
    assert cluster.stored(key)


def test_lost_leader_record_is_written_again():
    """Guards against a node that starts with the leader of the copy."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    copy = cluster.model.space.copy()
    cluster.silence('db-a', 3)
    cluster.run(5000)
    key = cluster.keys.leader(builders.SERVICE)
    known = cluster.stored(key)
    cluster.model.restore(copy)
    cluster.run(3000)
    assert cluster.stored(key) == known


def test_older_leader_record_changes_nothing():
    """Guards against a promotion of before that begins again."""
    cluster = _promoted(fenced=False)
    running = cluster.election(0)
    known = running.failover.orders.record
    earlier = store_records.LeaderRecord('db-a', known.term, moving=True)
    running.on_key(
        f'lead/{builders.SERVICE}',
        store_records.encode(earlier),
        history.EraNumber.at(2, 1),
    )
    assert running.failover.orders.record == known


def test_node_that_starts_after_a_restore_confirms_nothing_at_once():
    """Guards against a promise to stop that a restart and a restore lose."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    cluster.model.restore(cluster.model.space.copy())
    cluster.restart(0)
    cluster.run(promotion_lock.LOCK_TTL_MS - 500)
    right = cluster.election(0).service.right
    assert not right.knows_promotions
    cluster.run(1500)
    assert right.knows_promotions


def test_node_that_starts_long_after_a_restore_does_not_wait():
    """Guards against a slow start once no lock of before can be in use."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    cluster.model.restore(cluster.model.space.copy())
    cluster.run(6000)
    assert cluster.stored(cluster.keys.settled_era) == '2'
    cluster.restart(0)
    cluster.run(1500)
    right = cluster.election(0).service.right
    assert right.knows_promotions


@pytest.mark.parametrize('seed', range(12))
def test_search_finds_no_old_configuration(seed):
    """Guards against orders of restores and late answers that hide a version."""
    assert not search_builders.RestoreSearch(seed).run()


@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('fenced', [True, False])
def test_search_finds_no_second_holder(seed, fenced):
    """Guards against orders of restores and late answers that share a lock."""
    assert not search_builders.LockSearch(seed, fenced=fenced).run()


def test_search_finds_revisions_without_eras(monkeypatch):
    """Guards against a search that cannot fail: the era is ignored."""
    monkeypatch.setattr(
        history.EraNumber,
        'at',
        classmethod(lambda kind, _era, text: kind(text)),
    )
    seeds = range(12)
    assert any(search_builders.RestoreSearch(seed).run() for seed in seeds)


def test_search_finds_locks_that_outlive_their_leases(monkeypatch):
    """Guards against a search that cannot fail: a lost lock is kept."""
    lock = promotion_lock.PromotionLock
    monkeypatch.setattr(lock, 'on_restored', lambda _lock: None)
    assert _finds_violation()


def _finds_violation() -> bool:
    return any(
        search_builders.LockSearch(seed, fenced=fenced).run()
        for seed in range(12)
        for fenced in (True, False)
    )


def _without_era(_era: int, number: int) -> history.EraNumber:
    return history.EraNumber(number)
