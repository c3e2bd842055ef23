"""Tests of the time in which a leaving primary gets new work."""

import pytest

from jacinthhaven.sql import (
    builders,
    cluster_builders,
    departures,
    records,
    statements,
)

_DRAIN_MS = 7000


def _cluster() -> cluster_builders.Cluster:
    """Return a cluster whose promotion orders are lost."""
    cluster = cluster_builders.Cluster(4)
    _lose_orders(cluster)
    return cluster


def _lose_orders(cluster: cluster_builders.Cluster) -> None:
    for platform in cluster.platforms:
        platform.troubles.loses_orders = True


def _restart(cluster: cluster_builders.Cluster, index: int) -> None:
    cluster.restart(index)
    _lose_orders(cluster)


def _release(cluster: cluster_builders.Cluster) -> int:
    """Let the primary give notice; return when."""
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    return cluster.now_ms


def _code(
    cluster: cluster_builders.Cluster, index: int, number: int
) -> statements.Code | None:
    """Return the code of the answer to a write that is sent now."""
    cluster.write(index, number)
    cluster.run(900)
    return cluster.clients(index).answers[number][-1].code


def _last_write_ms(cluster: cluster_builders.Cluster, since_ms: int) -> int:
    """Send writes to all nodes for a while; return when one ran last."""
    last_ms = 0
    number = 100
    while cluster.now_ms < since_ms + 10_000:
        for index in range(4):
            number += 1
            cluster.write(index, number)
        before = len(cluster.group.committed)
        cluster.run(50)
        if len(cluster.group.committed) > before:
            last_ms = cluster.now_ms
    return last_ms - since_ms


def test_restarted_nodes_leave_the_primary_in_time():
    """Guards against a time that starts anew in each process that starts."""
    cluster = _cluster()
    since_ms = _release(cluster)
    for index in range(3):
        cluster.run(1500)
        _restart(cluster, index)
    assert 5000 < _last_write_ms(cluster, since_ms) < _DRAIN_MS


def test_node_that_starts_alone_gives_no_work_to_a_leaving_primary():
    """Guards against a notice of unknown age that is taken for a new one."""
    cluster = _cluster()
    _release(cluster)
    cluster.run(1000)
    _restart(cluster, 0)
    cluster.isolate({0})
    cluster.run(600)
    assert _code(cluster, 0, 1) is statements.Code.BUSY


def test_node_that_starts_learns_the_time_from_others():
    """Guards against refusing work that a primary may still get."""
    cluster = _cluster()
    _release(cluster)
    cluster.run(1000)
    _restart(cluster, 0)
    cluster.run(600)
    assert _code(cluster, 0, 1) is None


def test_time_does_not_depend_on_old_reads():
    """Guards against a time that counts from a read that is seconds old."""
    known = departures.Departure()
    known.on_entry(False, 1000, 990)
    known.on_entry(False, 6000, None)
    known.on_entry(True, 6900, None)
    assert known.allows_work(6900)
    assert not known.allows_work(990 + departures.WORK_AFTER_PROOF_MS)


def test_work_ends_before_the_instance_exits():
    """Guards against a bound that is longer than what operators allow."""
    assert departures.WORK_AFTER_PROOF_MS < _DRAIN_MS


def test_older_proof_does_not_shorten_the_time():
    """Guards against a late reply of a node whose proof is older."""
    known = departures.Departure()
    assert known.on_proof(2000)
    assert not known.on_proof(1500)
    assert known.ready_ms == 2000


def test_entries_that_an_outage_removed_are_used_for_a_while():
    """Guards against giving up all instances when the store returns."""
    known = departures.Departure()
    known.on_entry(False, 0, 0)
    for now_ms in range(20_000, 22_400, 100):
        known.on_missing(now_ms)
        assert known.allows_work(now_ms)
    known.on_missing(20_000 + departures.MISSING_GRACE_MS)
    assert not known.allows_work(20_000 + departures.MISSING_GRACE_MS)


@pytest.mark.parametrize('text', ['WRITE k 1', 'READ k'])
def test_setup_does_not_outlast_the_time(text):
    """Guards against work that arrives late since its setup was slow."""
    rig = builders.Rig()
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'SET tz utc')
    state = rig.service.pool.states['db-a']
    state.update_entry(_leaving(), rig.now_ms, None)
    state.departure.on_proof(rig.now_ms - departures.WORK_AFTER_PROOF_MS + 50)
    rig.databases.work_ms = 100
    rig.send(number, text)
    rig.run(300)
    assert not builders.instances_that_ran(rig, text)


def _leaving() -> records.Instance:
    return builders.instance('db-a', leaving=True)


def test_only_owners_are_asked():
    """Guards against messages that grow with the square of the fleet."""
    cluster = cluster_builders.Cluster(4)
    asked = []
    member = cluster.nodes[0]
    member.gateway.groups[builders.SERVICE].owners = ('n0', 'n2')
    exchange = member.protocols.departures
    exchange.messenger.send = lambda address, _message: asked.append(address[1])
    _release(cluster)
    member.gateway.register(cluster.documents.listed, cluster.now_ms)
    exchange.tick(cluster.now_ms)
    assert asked == [3]
