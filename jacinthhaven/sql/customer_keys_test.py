"""Tests of keys, customers and the links that belong to customers."""

import types

import msgspec

from jacinthhaven.sql import builders, customer_keys, records, statements

_KEYS = types.MappingProxyType({'k-ann': 'ann', 'k-bob': 'bob'})


def _configuration(version: int, *keys: str) -> records.Configuration:
    """Return a configuration with some of the keys."""
    return msgspec.structs.replace(
        builders.configuration(version),
        customers={
            customer_keys.digest(key): records.Customer(_KEYS[key])
            for key in keys
        },
    )


def _never() -> bool:
    return False


def _rig(*keys: str) -> builders.Rig:
    rig = builders.Rig()
    rig.gateway.configure(_configuration(2, *keys), rig.now_ms)
    return rig


def _callers_that_ran(rig: builders.Rig, text: str) -> set[str]:
    """Return under which names instances ran a statement."""
    return {
        connection.caller
        for connection in rig.databases.connections.values()
        if any(text in line for line in connection.handled)
    }


def test_unknown_key_is_refused():
    """Guards against serving callers that belong to no customer."""
    rig = _rig('k-ann')
    number = rig.connect(key='k-eve')
    assert rig.clients.refused[number] is statements.Code.UNKNOWN_KEY


def test_unknown_key_is_in_doubt_while_the_configuration_may_be_old():
    """Guards against turning a new key away for good."""
    rig = _rig('k-ann')
    rig.gateway.access.is_certain = _never
    number = rig.connect(key='k-bob')
    assert rig.clients.refused[number] is statements.Code.BUSY


def test_instances_are_told_the_customer():
    """Guards against statements on links of another customer."""
    rig = _rig('k-ann', 'k-bob')
    for key in ('k-ann', 'k-bob', 'k-ann'):
        number = rig.connect(key=key)
        answer = rig.ask(number, f'WRITE {key} data')
        assert answer.code is None
    for key, name in _KEYS.items():
        assert _callers_that_ran(rig, f'WRITE {key}') == {name}


def test_links_make_room_for_other_customers():
    """Guards against customers that wait for links which others hold idle."""
    rig = _rig('k-ann', 'k-bob')
    rig.service.pool.max_links = 1
    numbers = [rig.connect(key=key) for key in _KEYS]
    for _ in range(3):
        for number in numbers:
            assert rig.ask(number, 'WRITE k data').code is None
    for state in rig.service.pool.states.values():
        assert len(state.links) <= 1


def test_removed_key_ends_its_transaction():
    """Guards against work that goes on under a key that was withdrawn."""
    rig = _rig('k-ann', 'k-bob')
    number = rig.connect(key='k-ann')
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k data')
    rig.gateway.configure(_configuration(3, 'k-bob'), rig.now_ms)
    assert rig.ask(number, 'COMMIT').code is statements.Code.ABORTED
    answer = rig.ask(number, 'READ k')
    assert answer.code is statements.Code.UNKNOWN_KEY
    rig.run(1000)
    assert number in rig.clients.closed
    assert not rig.group.committed


def test_public_route_needs_no_key():
    """Guards against refusing callers of a route that is open to all."""
    rig = builders.Rig()
    known = _configuration(2, 'k-ann')
    route = msgspec.structs.replace(known.routes[builders.OWN], is_public=True)
    known = msgspec.structs.replace(
        known, routes={**known.routes, builders.OWN: route}
    )
    rig.gateway.configure(known, rig.now_ms)
    assert rig.ask(rig.connect(), 'READ k').code is None


def test_configuration_without_customers_needs_no_key():
    """Guards against a change for deployments without keys."""
    rig = builders.Rig()
    assert rig.ask(rig.connect(key='any'), 'READ k').code is None
