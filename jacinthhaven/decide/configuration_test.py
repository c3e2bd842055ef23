"""Tests of the adoption of policies and of the freshness rule."""

import pytest

from jacinthhaven.decide import configuration, gossip_builders, messages
from jacinthhaven.records import gossip, store

_NAMES = ('n0', 'n1', 'n2')
_CONFIG = '{"presets":{"day":{},"peak":{"queue_limit":9}}}'
_Freshness = configuration.Freshness


def _adopt_documents(target, config, choice, revision, now_ms=0):
    """Pass two documents with these revisions to a configuration."""
    keys = (
        gossip_builders.key_value('config', config, revision[0]),
        gossip_builders.key_value('preset', choice, revision[1]),
    )
    events = store.WatchEvents(max(revision), keys, ())
    target.directory.apply_events(events, now_ms)
    return target.tick(now_ms)


def _configuration(seeds=()):
    node = gossip_builders.Node('n0', seeds)
    node.directory.apply_read(gossip_builders.read_reply(_NAMES), 0)
    return configuration.PolicyTracker(
        node.directory,
        node.liveness,
        node.gossip,
        seeds,
    )


def test_only_higher_revisions_are_adopted():
    """Guards against going back to a policy that was replaced."""
    target = _configuration()
    _adopt_documents(target, _CONFIG, '{"name":"day"}', (11, 12))
    _adopt_documents(target, _CONFIG, '{"name":"peak"}', (11, 13))
    assert target.policy.preset.queue_limit == 9
    _adopt_documents(target, _CONFIG, '{"name":"day"}', (11, 12))
    assert (target.policy.name, target.revision) == ('peak', 13)
    assert target.live.acked_revision == 13


@pytest.mark.parametrize(
    ('config', 'choice'),
    [
        ('{"presets":{"day":{"queue_limit":"9"}}}', '{"name":"day"}'),
        ('{"presets":{"day":{}},"extra":1}', '{"name":"day"}'),
        (_CONFIG, '{"name":"night"}'),
        ('not json', '{"name":"day"}'),
        ('', '{"name":"day"}'),
        (_CONFIG, '\ud800'),
    ],
)
def test_invalid_document_keeps_the_policy(config, choice):
    """Guards against an invalid stored document that replaces the policy."""
    target = _configuration()
    _adopt_documents(target, _CONFIG, '{"name":"peak"}', (11, 12))
    sent = _adopt_documents(target, config, choice, (13, 14))
    assert messages.Count('policy_invalid') in sent
    assert (target.policy.name, target.revision) == ('peak', 12)
    assert not _adopt_documents(target, config, choice, (13, 14))


def test_documents_with_a_gap_are_not_combined():
    """Guards against a new preset choice used with an old configuration."""
    target = _configuration()
    _adopt_documents(target, _CONFIG, '{"name":"day"}', (11, 12))
    choice = gossip.Entry('preset', '{"name":"peak"}', 14)
    partial = gossip.Exchange(complete=14, base=13, entries=(choice,))
    target.directory.merge(partial, 0)
    target.tick(0)
    assert target.revision == 12
    config = gossip.Entry('config', '{"presets":{"peak":{}}}', 13)
    rest = gossip.Exchange(complete=14, base=12, entries=(config, choice))
    target.directory.merge(rest, 0)
    target.tick(0)
    assert target.revision == 14
    assert target.policy.preset.queue_limit == 500


def test_freshness_rule():
    """Guards against serving while isolated or refusing in a store outage."""
    target = _configuration()
    assert target.freshness(0) is _Freshness.ISOLATED
    _adopt_documents(target, _CONFIG, '{"name":"day"}', (11, 12))
    assert target.freshness(0) is _Freshness.ISOLATED
    target.directory.record_proof(12, 1000)
    assert target.freshness(6000) is _Freshness.FRESH
    assert target.freshness(6001) is _Freshness.ISOLATED
    target.live.record_reply('n1', 5000)
    assert target.freshness(10_000) is _Freshness.OUTAGE
    assert target.freshness(10_001) is _Freshness.ISOLATED
    # Members that are not in the directory do not count.
    target.live.record_reply('n9', 10_001)
    assert target.freshness(10_001) is _Freshness.ISOLATED


def test_new_node_in_an_outage():
    """Guards against a new node that trusts a single stale member."""
    seeds = tuple(map(gossip_builders.member, _NAMES))
    target = _configuration(seeds)
    _adopt_documents(target, _CONFIG, '{"name":"day"}', (11, 12))
    target.live.record_reply('n1', 0)
    assert target.freshness(0) is _Freshness.ISOLATED
    target.live.record_reply('n2', 0)
    assert target.freshness(0) is _Freshness.OUTAGE
