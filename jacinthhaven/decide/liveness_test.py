"""Tests of contact ages and confirmations exchanged between members."""

import msgspec

from jacinthhaven.decide import gossip_builders
from jacinthhaven.records import gossip


def _node(name, members):
    node = gossip_builders.Node(name)
    node.directory.apply_read(gossip_builders.read_reply(members), 0)
    return node


def _reply(node, now_ms):
    return gossip.Exchange(
        members_hash=node.directory.members_hash,
        ages=node.liveness.ages(now_ms),
        acked_revision=node.liveness.acked_revision,
        acked=node.liveness.acked_bitmap(),
    )


def test_relayed_ages_are_never_underestimated():
    """Guards against a contact whose age shrinks when it is relayed."""
    members = ('a', 'b', 'c')
    first, second = _node('a', members), _node('b', members)
    first.liveness.record_reply('c', 1001)
    second.liveness.merge_ages(_reply(first, 1500), 1400)
    assert 650 <= second.liveness.last_contact_ms['c'] <= 901
    assert 'c' not in second.liveness.direct_contact_ms
    second.liveness.merge_ages(_reply(first, 1500), 1100)
    assert second.liveness.last_contact_ms['c'] > 600


def test_expired_contact_is_not_relayed():
    """Guards against a dead member that counts as live forever.

    This happens if two members relay its contact age to each other again
    and again.
    """
    members = ('a', 'b', 'c')
    nodes = [_node(name, members) for name in ('a', 'b')]
    nodes[0].liveness.record_reply('c', 0)
    for now_ms in range(500, 9000, 500):
        source, target = nodes
        target.liveness.merge_ages(_reply(source, now_ms), now_ms - 1)
        nodes.reverse()
    assert all(node.liveness.live_count(9000) < 3 for node in nodes)


def test_other_member_lists_are_ignored():
    """Guards against ages and bits that are attributed to other members."""
    first = _node('a', ('a', 'b'))
    second = _node('b', ('b', 'x', 'y'))
    first.gossip.confirm(5)
    reply = _reply(first, 100)
    second.liveness.merge_ages(reply, 100)
    second.liveness.merge_acked(reply)
    assert not second.liveness.last_contact_ms
    assert not second.liveness.acked
    # With the same member list the reply is merged.
    known = second.directory.members_hash
    reply = msgspec.structs.replace(reply, members_hash=known)
    second.liveness.merge_ages(reply, 100)
    second.liveness.merge_acked(reply)
    assert second.liveness.last_contact_ms
    assert second.liveness.acked


def test_large_cluster_shares_a_majority():
    """Guards against sending too few ages for a majority, or too many."""
    members = [f'n{index}' for index in range(1000, 3000)]
    first, second = _node('n1000', members), _node('n1001', members)
    for index, name in enumerate(members):
        first.liveness.record_reply(name, 1000 + index)
    second.liveness.merge_ages(_reply(first, 3000), 2999)
    assert 1200 < second.liveness.live_count(3000) < 1400
    assert second.liveness.has_majority(3000)


def test_removed_members_are_pruned():
    """Guards against memory that grows with every replaced member."""
    node = _node('a', ('a', 'b'))
    for step in range(2000):
        node.liveness.record_reply(f'gone{step}', step * 100)
        node.liveness.record_reply('b', step * 100)
        node.liveness.prune(step * 100)
    assert len(node.liveness.direct_contact_ms) < 200
    assert len(node.liveness.last_contact_ms) < 200
    assert node.liveness.direct_contact_ms['b'] == 199_900
