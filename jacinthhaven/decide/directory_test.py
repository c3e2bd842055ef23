"""Tests of the directory's merging and of the leaving flags."""

import itertools
import random

import pytest

from jacinthhaven.decide import directory, gossip_builders, leaving
from jacinthhaven.records import gossip, store


SLOT_HELD_BY_N2 = '{"holder":"n2","boot":"b"}'


def _live_revisions(target):
    return {
        key: entry.revision
        for key, entry in target.entries.items()
        if not entry.deleted
    }


class StoreModel:
    """Model of a store whose few keys are written and deleted."""

    def __init__(self, rng):
        """Start empty."""
        self.rng = rng
        self.revision = 1
        self.keys = {}

    def change(self):
        """Write or delete a random key."""
        number = self.rng.randrange(6)
        name = f'slots/g/{number}'
        self.revision += 1
        if self.keys.pop(name, None) is None or self.rng.randrange(2):
            self.keys[name] = gossip_builders.key_value(
                name,
                'n',
                self.revision,
            )

    def read(self):
        """Build the reply to a read of all keys."""
        return store.ReadReply(self.revision, tuple(self.keys.values()))


def _read_or_merge(rng, source, nodes, now_ms):
    node, other = rng.sample(nodes, 2)
    node.expire(now_ms)
    if not rng.randrange(3):
        node.apply_read(source.read(), now_ms)
        return
    base = rng.choice([node.complete, 0, source.revision - 1])
    exchange = other.delta(base)
    node.merge(exchange, now_ms)
    after_first_merge = dict(node.entries)
    node.merge(exchange, now_ms)
    assert node.entries == after_first_merge


@pytest.mark.parametrize('seed', range(60))
def test_random_merges_converge(seed):
    """Guards against lost, resurrected or reverted keys in any merge order."""
    rng = random.Random(seed)
    source = StoreModel(rng)
    nodes = [directory.Directory() for _ in range(4)]
    for step in range(100):
        source.change()
        before = [_live_revisions(node) for node in nodes]
        _read_or_merge(rng, source, nodes, step * 30_000)
        for node, old in zip(nodes, before):
            for key in old.keys() & node.entries.keys():
                assert node.entries[key].revision >= old[key]
    _assert_converged(source, nodes, 3_000_000)


def _assert_converged(source, nodes, now_ms):
    nodes[0].apply_read(source.read(), now_ms)
    expected = {
        name: key_value.mod_revision for name, key_value in source.keys.items()
    }
    assert _live_revisions(nodes[0]) == expected
    for node in nodes[1:]:
        node.merge(nodes[0].delta(node.complete), now_ms)
        # The hash reveals a key that was created and deleted between reads.
        assert (_live_revisions(node) == expected) == (
            node.live_hash == nodes[0].live_hash
        )
        nodes[0].merge(node.delta(0), now_ms)
        node.merge(nodes[0].delta(0), now_ms)
        assert _live_revisions(node) == _live_revisions(nodes[0]) == expected


def test_merge_order_does_not_matter():
    """Guards against a result that depends on the order of arrival."""
    steps = [
        gossip.Exchange(
            complete=revision,
            entries=(gossip.Entry('config', str(revision), revision),),
        )
        for revision in (3, 5)
    ]
    steps.append(
        gossip.Exchange(
            complete=4,
            entries=(gossip.Entry('config', '', 4, deleted=True),),
        ),
    )
    for order in itertools.permutations(steps):
        target = directory.Directory()
        for step in order:
            target.merge(step, 0)
        assert target.entries['config'].value == '5'
        assert target.complete == 0


def test_partial_entries_do_not_complete():
    """Guards against a complete revision despite missing changes."""
    target = directory.Directory()
    target.apply_read(store.ReadReply(10, ()), 0)
    late = gossip.Entry('slots/g/1', SLOT_HELD_BY_N2, 14, 14)
    target.merge(gossip.Exchange(complete=14, base=12, entries=(late,)), 0)
    assert target.complete == 10
    assert target.slots['g', 1].holder == 'n2'
    target.merge(gossip.Exchange(complete=14, base=10, entries=(late,)), 0)
    assert target.complete == 14


def test_ambiguous_events_are_refused():
    """Guards against guessing whether a key was deleted before or after."""
    target = directory.Directory()
    target.apply_read(store.ReadReply(10, ()), 0)
    key = gossip_builders.key_value('config', 'a', 11)
    assert not target.apply_events(
        store.WatchEvents(12, (key,), ('config',)), 0
    )
    assert target.apply_events(store.WatchEvents(13, (key,), ('preset',)), 0)
    assert target.complete == 13


def test_proof_waits_for_the_changes():
    """Guards against a freshness proof before the changes are known."""
    target = directory.Directory()
    target.apply_read(store.ReadReply(10, ()), 0)
    target.record_proof(11, 500)
    assert target.proof_age_ms(600) == gossip.NO_PROOF
    target.apply_events(store.WatchEvents(11, (), ()), 0)
    assert target.proof_age_ms(600) == 100
    target.record_proof(10, 300)
    assert target.proof_age_ms(600) == 100


def test_invalid_member_is_ignored():
    """Guards against a crash on a document that is not a member."""
    target = directory.Directory()
    wrong = gossip_builders.key_value('members/n1', '{"name": 1}')
    other = gossip_builders.key_value('members/n2', wrong.value)
    target.apply_read(store.ReadReply(10, (wrong, other)), 0)
    assert not target.members


def test_leaving_flag_ends_with_a_new_start():
    """Guards against a flag that is lost or survives a restart."""
    first, second = leaving.LeavingFlags(), leaving.LeavingFlags()
    first.set_flag('i1', '', 0)
    second.merge(first.entries.values(), 0)
    assert second.is_leaving('i1', 'b1')
    second.record_start('i1', 'b1', 0)
    assert second.is_leaving('i1', 'b1')
    second.record_start('i1', 'b2', 0)
    # The late flag of the old start must not affect the new one.
    first.set_flag('i1', 'b1', 0)
    first.merge(second.entries.values(), 0)
    second.merge(first.entries.values(), 0)
    assert not second.is_leaving('i1', 'b2')
    assert first.entries == second.entries
    assert first.digest == second.digest
