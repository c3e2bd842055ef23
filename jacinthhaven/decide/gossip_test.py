"""Tests of the gossip protocol in a simulated cluster."""

from jacinthhaven.decide import gossip_builders, messages
from jacinthhaven.records import gossip, store

_NAMES = tuple(f'n{index}' for index in range(8))


def _cluster():
    return gossip_builders.Cluster(_NAMES, gossip_builders.read_reply(_NAMES))


def _change(revision):
    key = gossip_builders.key_value('preset', 'x' * 2000, revision)
    return store.WatchEvents(revision, (key,), ())


def test_change_is_pushed_immediately():
    """Guards against a change that waits for the periodic rounds."""
    cluster = _cluster()
    cluster.run(2000)
    cluster.nodes['n0'].directory.apply_events(_change(11), cluster.now_ms)
    cluster.run(600)
    for node in cluster.nodes.values():
        assert node.directory.complete == 11
        assert node.directory.entries['preset'].revision == 11


def test_proof_ages_are_never_underestimated():
    """Guards against measuring an age from the arrival of the reply.

    The reply may have been delayed, so the age counts from the request.
    """
    cluster = _cluster()
    cluster.run(2000)
    for _ in range(10):
        cluster.nodes['n0'].directory.record_proof(10, cluster.now_ms)
        proved_ms = cluster.now_ms
        cluster.run(1000)
        ages = [node.directory.proof_ms for node in cluster.nodes.values()]
        assert max(ages) == proved_ms
        assert cluster.now_ms - min(ages) < 4000
    delayed = cluster.nodes['n1']
    request = delayed.gossip.probe('n2', cluster.now_ms)[0].payload
    reply = gossip.Exchange(echo=request.number, complete=10, proof_age_ms=0)
    received = messages.PeerReceived('n2', reply)
    delayed.gossip.handle(received, cluster.now_ms + 9000)
    assert delayed.directory.proof_ms == cluster.now_ms
    assert delayed.liveness.direct_contact_ms['n2'] == cluster.now_ms


def test_unsolicited_reply_proves_nothing():
    """Guards against a proof whose age cannot be bounded.

    An age counts from the request, which an unsolicited reply lacks.
    """
    node = _cluster().nodes['n1']
    request = node.gossip.probe('n2', 500)[0].payload
    for member, echo in (('n3', request.number), ('n2', 999)):
        reply = gossip.Exchange(echo=echo, complete=10, proof_age_ms=0)
        node.gossip.handle(messages.PeerReceived(member, reply), 600)
    assert node.directory.proof_ms == 0
    assert not node.liveness.direct_contact_ms


def test_confirmations_reach_all_members():
    """Guards against an operator's wait that never ends.

    This happens if the confirmation of a member does not reach the node
    that handles the change.
    """
    cluster = _cluster()
    cluster.run(1000)
    for node in cluster.nodes.values():
        node.gossip.confirm(11)
    cluster.run(4000)
    for node in cluster.nodes.values():
        assert not node.liveness.unconfirmed(11)
    assert cluster.nodes['n0'].liveness.unconfirmed(12) == list(_NAMES)


def test_majority_is_lost_and_regained():
    """Guards against an undetected majority and one reported too long."""
    cluster = _cluster()
    cluster.run(8000)
    cluster.disconnected = {'n0', 'n1', 'n2', 'n3', 'n4'}
    assert all(
        node.liveness.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    )
    cluster.run(7000)
    assert not any(
        node.liveness.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    )
    cluster.disconnected = {'n0', 'n1'}
    cluster.run(4000)
    assert [
        node.liveness.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    ] == [name not in cluster.disconnected for name in _NAMES]


def test_missed_deletion_is_repaired():
    """Guards against a deleted key that stays on one member forever."""
    cluster = _cluster()
    stale = gossip.Entry('slots/g/0', 'n9', 5, 5)
    node = cluster.nodes['n0']
    node.directory.entries[stale.key] = stale
    node.directory.live_hash ^= 1
    cluster.run(8000)
    assert node.directory.entries[stale.key].deleted
    others = [cluster.nodes[name] for name in _NAMES[1:]]
    assert not any(stale.key in other.directory.entries for other in others)


def test_new_member_without_store():
    """Guards against a member that cannot start from its seeds alone."""
    cluster = _cluster()
    seeds = tuple(gossip_builders.member(name) for name in ('n0', 'fresh'))
    cluster.nodes['fresh'] = gossip_builders.Node('fresh', seeds)
    cluster.run(1500)
    fresh = cluster.nodes['fresh'].directory
    assert fresh.complete == 10
    assert sorted(fresh.members) == list(_NAMES)


def test_idle_cluster_sends_few_messages():
    """Guards against endless exchanges and needless final messages."""
    cluster = _cluster()
    cluster.run(2000)
    for node in cluster.nodes.values():
        node.directory.record_proof(10, cluster.now_ms)
    before = cluster.sent_count
    cluster.run(2000)
    assert cluster.sent_count - before <= len(_NAMES) * 10


def test_collection_finds_a_majority_quickly():
    """Guards against a change that waits long for a majority.

    In a large cluster the regular rounds contact few members.
    """
    names = tuple(f'n{index}' for index in range(100, 180))
    cluster = gossip_builders.Cluster(names, gossip_builders.read_reply(names))
    cluster.run(2000)
    for other in cluster.nodes.values():
        other.directory.record_proof(10, cluster.now_ms)
    node = cluster.nodes['n100']
    assert not node.liveness.has_majority(cluster.now_ms)
    node.gossip.collect_ages(cluster.now_ms)
    cluster.run(600)
    assert node.liveness.has_majority(cluster.now_ms)
    # The collection expires on its own.
    for _ in range(8):
        cluster.run(1000)
        for proved in cluster.nodes.values():
            proved.directory.record_proof(10, cluster.now_ms)
    before = cluster.sent_count
    cluster.run(1000)
    assert cluster.sent_count - before <= len(names) * 5
