"""Tests of the choice of gossip partners."""

import random

import msgspec

from jacinthhaven.decide import directory, gossip_builders, partners
from jacinthhaven.records import store


def _directory(zones, revision=1):
    known = directory.Directory()
    keys = []
    for name, zone in zones.items():
        document = msgspec.json.encode(gossip_builders.member(name, zone))
        key = f'members/{name}'
        keys.append(
            gossip_builders.key_value(key, document.decode(), revision),
        )
    known.apply_read(store.ReadReply(revision, tuple(keys)), 0)
    return known


def _zones(count):
    zones = ('z0', 'z1', 'z2', 'z3')
    return {f'n{index}': zones[index % 4] for index in range(count)}


def _chooser(seeds=()):
    return partners.Partners('n0', 'z0', random.Random(1), seeds)


def test_zones_are_mixed():
    """Guards against zones that gossip only among themselves."""
    chooser = _chooser()
    chooser.refresh(_directory(_zones(200)), 0)
    zones = [_zones(200)[name] for name in chooser.chosen]
    assert len(set(chooser.chosen)) == 12
    assert zones.count('z0') == 8
    assert 'n0' not in chooser.chosen


def test_partners_change_slowly():
    """Guards against new connections in every round, or in none."""
    known = _directory(_zones(200))
    chooser = _chooser()
    chooser.refresh(known, 0)
    first = set(chooser.chosen)
    chooser.refresh(known, 19_999)
    assert set(chooser.chosen) == first
    chooser.refresh(known, 20_000)
    assert len(first.difference(chooser.chosen)) <= 1
    for step in range(2, 60):
        chooser.refresh(known, step * 20_000)
    assert len(first.difference(chooser.chosen)) > 8


def test_gone_partner_is_replaced():
    """Guards against rounds that ask members which are gone."""
    zones = _zones(200)
    chooser = _chooser()
    chooser.refresh(_directory(zones), 0)
    gone = chooser.chosen[:3]
    for name in gone:
        zones.pop(name)
    chooser.refresh(_directory(zones), 10)
    assert not set(gone).intersection(chooser.chosen)
    assert len(chooser.chosen) == 12


def test_everybody_has_a_turn():
    """Guards against a small cluster in which a member is not asked."""
    chooser = _chooser()
    chooser.refresh(_directory(_zones(8)), 0)
    asked = [chooser.following() for _ in range(7)]
    assert sorted(asked) == [f'n{index}' for index in range(1, 8)]


def test_seeds_are_asked_now_and_then():
    """Guards against a node that only knows members which are gone."""
    seeds = (gossip_builders.member('seed'), gossip_builders.member('n0'))
    chooser = _chooser(seeds)
    assert chooser.following() == 'seed'
    chooser.refresh(_directory(_zones(8)), 0)
    asked = [chooser.following() for _ in range(40)]
    assert asked.count('seed') == 2
    assert 'n0' not in asked
