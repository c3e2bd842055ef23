"""Tests of the gossip between a few members."""

from jacinthhaven.decide import gossip_builders, messages
from jacinthhaven.records import gossip, store

_NAMES = tuple(f'n{index}' for index in range(8))


def _cluster():
    return gossip_builders.Cluster(_NAMES, gossip_builders.read_reply(_NAMES))


def _change(revision):
    key = gossip_builders.key_value('preset', 'x' * 2000, revision)
    return store.WatchEvents(revision, (key,), ())


def test_change_reaches_all_at_once():
    """Guards against a change that waits for the periodic rounds."""
    cluster = _cluster()
    cluster.run(2000)
    cluster.nodes['n0'].directory.apply_events(_change(11), cluster.now_ms)
    cluster.run(600)
    for node in cluster.nodes.values():
        assert node.directory.complete == 11
        assert node.directory.entries['preset'].revision == 11


def test_proof_ages_are_never_underestimated():
    """Guards against counting an age from when the answer arrived."""
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
    question = delayed.gossip.probe('n2', cluster.now_ms)[0].payload
    answer = gossip.Exchange(echo=question.number, complete=10, proof_age_ms=0)
    received = messages.PeerReceived('n2', answer)
    delayed.gossip.handle(received, cluster.now_ms + 9000)
    assert delayed.directory.proof_ms == cluster.now_ms
    assert delayed.live.heard['n2'] == cluster.now_ms


def test_unasked_answer_proves_nothing():
    """Guards against a proof whose age cannot be bounded."""
    node = _cluster().nodes['n1']
    question = node.gossip.probe('n2', 500)[0].payload
    for member, echo in (('n3', question.number), ('n2', 999)):
        answer = gossip.Exchange(echo=echo, complete=10, proof_age_ms=0)
        node.gossip.handle(messages.PeerReceived(member, answer), 600)
    assert node.directory.proof_ms == 0
    assert not node.live.heard


def test_confirmations_reach_all():
    """Guards against an operator who waits for a confirmation for ever."""
    cluster = _cluster()
    cluster.run(1000)
    for node in cluster.nodes.values():
        node.gossip.confirm(11)
    cluster.run(4000)
    for node in cluster.nodes.values():
        assert not node.live.unconfirmed(11)
    assert cluster.nodes['n0'].live.unconfirmed(12) == list(_NAMES)


def test_outage_and_isolation():
    """Guards against a live majority that is not seen, or seen too long."""
    cluster = _cluster()
    cluster.run(8000)
    cluster.cut = {'n0', 'n1', 'n2', 'n3', 'n4'}
    assert all(
        node.live.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    )
    cluster.run(7000)
    assert not any(
        node.live.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    )
    cluster.cut = {'n0', 'n1'}
    cluster.run(4000)
    assert [
        node.live.has_majority(cluster.now_ms)
        for node in cluster.nodes.values()
    ] == [name not in cluster.cut for name in _NAMES]


def test_missed_deletion_is_repaired():
    """Guards against a deleted key that stays on one member for ever."""
    cluster = _cluster()
    ghost = gossip.Entry('slots/g/0', 'n9', 5, 5)
    node = cluster.nodes['n0']
    node.directory.entries[ghost.key] = ghost
    node.directory.live_hash ^= 1
    cluster.run(8000)
    assert node.directory.entries[ghost.key].deleted
    others = [cluster.nodes[name] for name in _NAMES[1:]]
    assert not any(ghost.key in other.directory.entries for other in others)


def test_new_member_without_store():
    """Guards against a member that cannot start from its settings."""
    cluster = _cluster()
    seeds = tuple(gossip_builders.member(name) for name in ('n0', 'fresh'))
    cluster.nodes['fresh'] = gossip_builders.Node('fresh', seeds)
    cluster.run(1500)
    fresh = cluster.nodes['fresh'].directory
    assert fresh.complete == 10
    assert sorted(fresh.members) == list(_NAMES)


def test_quiet_cluster_sends_little():
    """Guards against exchanges that never end or always close."""
    cluster = _cluster()
    cluster.run(2000)
    for node in cluster.nodes.values():
        node.directory.record_proof(10, cluster.now_ms)
    before = cluster.sent
    cluster.run(2000)
    assert cluster.sent - before <= len(_NAMES) * 10


def test_gathering_finds_a_majority_at_once():
    """Guards against a change that waits for evidence about many members."""
    names = tuple(f'n{index}' for index in range(100, 180))
    cluster = gossip_builders.Cluster(names, gossip_builders.read_reply(names))
    cluster.run(2000)
    for other in cluster.nodes.values():
        other.directory.record_proof(10, cluster.now_ms)
    node = cluster.nodes['n100']
    assert not node.live.has_majority(cluster.now_ms)
    node.gossip.gather(cluster.now_ms)
    cluster.run(600)
    assert node.live.has_majority(cluster.now_ms)
    # The request ends by itself.
    for _ in range(8):
        cluster.run(1000)
        for proved in cluster.nodes.values():
            proved.directory.record_proof(10, cluster.now_ms)
    before = cluster.sent
    cluster.run(1000)
    assert cluster.sent - before <= len(names) * 5
