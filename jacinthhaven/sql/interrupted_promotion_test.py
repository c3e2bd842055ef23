"""Tests of promotions whose holder is lost before they are finished."""

import pytest

from jacinthhaven.records import history
from jacinthhaven.sql import (
    builders,
    cluster_builders,
    leadership,
    store_records,
)

# Limit of a failover.
_LIMIT_MS = 6000


def _release(cluster: cluster_builders.Cluster) -> None:
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]


def _holder(cluster: cluster_builders.Cluster) -> int | None:
    """Return the node that holds the promotion lock, or None."""
    for index, running in enumerate(cluster.elections()):
        if running.lock.until_ms > cluster.now_ms:
            return index
    return None


def _serving(cluster: cluster_builders.Cluster) -> int:
    """Return how many nodes have a success for a write."""
    before = len(cluster.successes())
    for index in range(4):
        cluster.write(index, cluster.now_ms + index)
    cluster.run(900)
    return len(cluster.successes()) - before


@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('after_ms', range(0, 1300, 100))
def test_half_of_the_nodes_restart_in_a_promotion(fenced, after_ms):
    """Guards against a promotion that nobody finishes or gives up."""
    cluster = cluster_builders.Cluster(4, fenced=fenced)
    _release(cluster)
    while _holder(cluster) is None:
        cluster.run(10)
    holder = _holder(cluster)
    cluster.run(after_ms)
    cluster.restart(holder)
    cluster.restart((holder + 1) % 4)
    cluster.run(_LIMIT_MS)
    assert _serving(cluster) == 4


def test_term_has_one_leader():
    """Guards against a record that contradicts what an instance has said."""
    known = leadership.Leadership(0)
    assert known.observe('db-b', 2, leadership.Source.STATUS)
    assert not known.observe('db-a', 2, leadership.Source.RECORD)
    assert known.lead == leadership.Lead('db-b', 2)


def test_instance_is_believed_before_a_record():
    """Guards against a false record that hides the leader of its term."""
    known = leadership.Leadership(0)
    assert known.observe('db-a', 2, leadership.Source.RECORD)
    assert known.observe('db-b', 2, leadership.Source.STATUS)
    assert known.lead == leadership.Lead('db-b', 2)


def test_lost_leader_is_not_replaced_by_a_record_of_its_term():
    """Guards against beliefs that change to and fro."""
    known = leadership.Leadership(0)
    known.observe('db-b', 2, leadership.Source.STATUS)
    known.observe_not_leading('db-b', 2)
    assert not known.observe('db-a', 2, leadership.Source.RECORD)
    assert known.leader is None


def test_contradiction_is_logged():
    """Guards against a false record that nobody notices."""
    rig = builders.Rig()
    tracker = rig.service.tracker
    tracker.set_leader('db-b', 2, leadership.Source.STATUS)
    tracker.set_leader('db-a', 2, leadership.Source.RECORD)
    assert rig.journal.events('leader_contradicted')


def test_given_up_promotion_names_no_leader_that_was_not_seen():
    """Guards against a record of the old instance beside a newer term."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    running = cluster.election(0)
    running.service.tracker.clear_leader('db-a', 2, 'test')
    running.lock.fence = history.EraNumber(10**6)
    script = running.failover._abandon(2)
    request = script.send(None)
    record = store_records.decode(request.changes[0].value)
    assert (record.instance, record.term) != ('db-a', 2)
    assert not record.moving


def test_record_of_a_lost_holder_hinders_no_starting_node():
    """Guards against nodes that wait for a record which nobody finishes."""
    cluster = cluster_builders.Cluster(4, fenced=False)
    record = store_records.LeaderRecord('db-b', 2, moving=True, accepted=True)
    cluster.put(
        cluster.keys.leader(builders.SERVICE), store_records.encode(record)
    )
    cluster.group.promote('db-b')
    for index in range(4):
        cluster.restart(index)
    cluster.run(_LIMIT_MS)
    assert _serving(cluster) == 4
