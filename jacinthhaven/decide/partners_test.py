"""Tests of the selection of gossip partners."""

import random

import msgspec

from jacinthhaven.decide import directory, gossip_builders, partners
from jacinthhaven.records import store


def _directory(zones, revision=1):
    cluster_directory = directory.Directory()
    keys = []
    for name, zone in zones.items():
        document = msgspec.json.encode(gossip_builders.member(name, zone))
        key = f'members/{name}'
        keys.append(
            gossip_builders.key_value(key, document.decode(), revision),
        )
    cluster_directory.apply_read(store.ReadReply(revision, tuple(keys)), 0)
    return cluster_directory


def _zones(count):
    zones = ('z0', 'z1', 'z2', 'z3')
    return {f'n{index}': zones[index % 4] for index in range(count)}


def _partner_set(seeds=()):
    return partners.Partners('n0', 'z0', random.Random(1), seeds)


def test_partners_cover_other_zones():
    """Guards against zones that gossip only among themselves."""
    partner_set = _partner_set()
    partner_set.refresh(_directory(_zones(200)), 0)
    zones = [_zones(200)[name] for name in partner_set.chosen]
    assert len(set(partner_set.chosen)) == 12
    assert zones.count('z0') == 8
    assert 'n0' not in partner_set.chosen


def test_partners_change_slowly():
    """Guards against new connections in every round, or in none."""
    cluster_directory = _directory(_zones(200))
    partner_set = _partner_set()
    partner_set.refresh(cluster_directory, 0)
    first = set(partner_set.chosen)
    partner_set.refresh(cluster_directory, 19_999)
    assert set(partner_set.chosen) == first
    partner_set.refresh(cluster_directory, 20_000)
    assert len(first.difference(partner_set.chosen)) <= 1
    for step in range(2, 60):
        partner_set.refresh(cluster_directory, step * 20_000)
    assert len(first.difference(partner_set.chosen)) > 8


def test_removed_partner_is_replaced():
    """Guards against rounds that contact removed members."""
    zones = _zones(200)
    partner_set = _partner_set()
    partner_set.refresh(_directory(zones), 0)
    gone = partner_set.chosen[:3]
    for name in gone:
        zones.pop(name)
    partner_set.refresh(_directory(zones), 10)
    assert not set(gone).intersection(partner_set.chosen)
    assert len(partner_set.chosen) == 12


def test_rotation_reaches_every_member():
    """Guards against a small cluster with a member never contacted."""
    partner_set = _partner_set()
    partner_set.refresh(_directory(_zones(8)), 0)
    asked = [partner_set.next_partner() for _ in range(7)]
    assert sorted(asked) == [f'n{index}' for index in range(1, 8)]


def test_seeds_are_contacted_periodically():
    """Guards against a node that only knows removed members."""
    seeds = (gossip_builders.member('seed'), gossip_builders.member('n0'))
    partner_set = _partner_set(seeds)
    assert partner_set.next_partner() == 'seed'
    partner_set.refresh(_directory(_zones(8)), 0)
    asked = [partner_set.next_partner() for _ in range(40)]
    assert asked.count('seed') == 2
    assert 'n0' not in asked
