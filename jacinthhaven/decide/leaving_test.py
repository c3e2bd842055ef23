"""Tests of the leaving marks of backend servers."""

import pytest

from jacinthhaven.decide import builders, leaving
from jacinthhaven.records import presets


@pytest.fixture
def servers():
    """Return marks after a first status response of i1."""
    servers = leaving.LeavingServers()
    servers.on_status(builders.instance_status('i1', 'a'))
    return servers


def list_it(servers):
    servers.on_vm_list({'i1'})


def flag_it(servers):
    servers.on_status(builders.instance_status('i1', 'a', leaving=True))


def hear_it(servers):
    servers.on_peer_mark(leaving.LeavingMark('i1', 'a'))


@pytest.mark.parametrize('source', [list_it, flag_it, hear_it])
def test_mark_stays_until_a_new_boot(servers, source):
    """Guards against new work when a source forgets or is unavailable."""
    source(servers)
    servers.on_vm_list(None)
    servers.on_vm_list(set())
    servers.on_status(builders.instance_status('i1', 'a'))
    assert servers.leaving() == {'i1'}
    assert servers.take_fresh() == [leaving.LeavingMark('i1', 'a')]
    assert not servers.take_fresh()
    servers.on_status(builders.instance_status('i1', 'b'))
    assert not servers.leaving()


def test_late_sources_do_not_mark_the_new_boot(servers):
    """Guards against a restarted instance that never gets work again."""
    list_it(servers)
    servers.on_status(builders.instance_status('i1', 'b'))
    list_it(servers)
    hear_it(servers)
    assert not servers.leaving()
    servers.on_vm_list(set())
    list_it(servers)
    assert servers.leaving() == {'i1'}


def test_mark_of_an_unseen_earlier_boot_ends(servers):
    """Guards against marks that flap when peers repeat an old boot."""
    servers.on_peer_mark(leaving.LeavingMark('i1', 'old'))
    flag_it(servers)
    assert servers.known_marks() == [leaving.LeavingMark('i1', 'a')]
    servers.on_peer_mark(leaving.LeavingMark('i1', 'old'))
    assert servers.known_marks() == [leaving.LeavingMark('i1', 'a')]


def test_peer_sees_the_restart_first(servers):
    """Guards against losing the mark of a boot that follows soon."""
    newer = leaving.LeavingMark('i1', 'b')
    servers.on_peer_mark(newer)
    servers.on_status(builders.instance_status('i1', 'a'))
    servers.on_status(builders.instance_status('i1', 'b'))
    servers.on_peer_mark(newer)
    assert servers.leaving() == {'i1'}


def test_listed_before_first_contact():
    """Guards against work for an instance that was listed before contact."""
    servers = leaving.LeavingServers()
    servers.on_vm_list({'i2'})
    assert servers.leaving() == {'i2'}
    assert not servers.take_fresh()
    servers.on_status(builders.instance_status('i2', 'x'))
    assert servers.take_fresh() == [leaving.LeavingMark('i2', 'x')]
    preset = presets.Preset(excluded_instances=['i3'])
    assert servers.without_new_work(preset) == {'i2', 'i3'}
