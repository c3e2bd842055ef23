"""Tests of the time until a configuration is in force on all nodes."""

import pytest

from jacinthhaven.records import store
from jacinthhaven.sql import (
    fleet_builders,
    revision_exchange,
    search_builders,
    statements,
)

_SMALL = 8
_LARGE = 15
_SEARCH_SEEDS = range(12)


@pytest.mark.parametrize('size', [_SMALL, _LARGE])
def test_silent_watches_do_not_delay_a_configuration(size):
    """Guards against an old configuration while open connections are silent."""
    fleet = fleet_builders.Fleet(size)
    for platform in fleet.platforms:
        platform.silence_connections()
    for version in range(2, 7):
        fleet.change()
        fleet.run(fleet_builders.APPLY_WITHIN_MS)
        assert set(fleet.versions) == {version}


def test_silent_watch_is_replaced():
    """Guards against a node that keeps a silent watch after a missed change."""
    fleet = fleet_builders.Fleet(_LARGE)
    for platform in fleet.platforms:
        platform.silence_connections()
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert all(platform.watches for platform in fleet.platforms)


def test_node_without_the_store_learns_from_others():
    """Guards against an old configuration on a node whose way is silent."""
    fleet = fleet_builders.Fleet(_LARGE)
    for platform in fleet.platforms[search_builders.CALM_NODES :]:
        platform.silent = True
        platform.silence_connections()
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert not search_builders.late_nodes(fleet)


def test_node_without_others_polls_the_store():
    """Guards against a node that waits for messages that are all lost."""
    fleet = fleet_builders.Fleet(_LARGE)
    for index, platform in enumerate(fleet.platforms):
        fleet.cut_messages(index)
        platform.silence_connections()
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    assert not search_builders.late_nodes(fleet)


def test_silent_watches_do_not_hide_records_of_owners():
    """Guards against a promotion that owners learn of seconds late."""
    fleet = fleet_builders.Fleet(_SMALL)
    for platform in fleet.platforms[1:]:
        platform.silence_connections()
    fleet.put('ours/lead/other', '{}')
    fleet.run(1500)
    known = [member.coordination.keys.revisions for member in fleet.nodes]
    assert all('ours/lead/other' in revisions for revisions in known)


def test_few_nodes_poll_the_store():
    """Guards against calls to the store that grow with the fleet."""
    counts = []
    for size in (_SMALL, 2 * _LARGE):
        fleet = fleet_builders.Fleet(size)
        fleet.run(2000)
        fleet.clear_calls()
        fleet.run(2 * fleet_builders.APPLY_WITHIN_MS)
        polls = [
            call
            for call in fleet.calls
            if isinstance(call, store.ChangesRequest)
        ]
        counts.append(len(polls))
    # One node polls, four times within the time until a change is in force.
    assert max(counts) <= 10


def _isolate(fleet: fleet_builders.Fleet) -> None:
    """Cut the first node off from the store and from all other nodes."""
    fleet.cut_messages(0)
    fleet.platforms[0].silent = True
    fleet.platforms[0].silence_connections()


def test_added_database_is_not_refused_as_unknown():
    """Guards against a false refusal by a node that was cut off."""
    fleet = fleet_builders.Fleet(_SMALL)
    _isolate(fleet)
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    fleet.nodes[0].relay.on_start(1, 'database-2', fleet.now_ms)
    fleet.run(500)
    clients = fleet.clients[0]
    assert not clients.refused
    fleet.heal_messages()
    fleet.run(500)
    assert 1 in fleet.nodes[0].gateway.sessions
    assert not clients.refused


def test_unknown_database_is_refused_for_now_without_a_proof():
    """Guards against clients that wait, and against a false final refusal."""
    fleet = fleet_builders.Fleet(_SMALL)
    relay = fleet.nodes[0].relay
    relay.on_start(1, 'no-such-database', fleet.now_ms)
    _isolate(fleet)
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    relay.on_start(2, 'no-such-database', fleet.now_ms)
    fleet.run(1100)
    assert fleet.clients[0].refused == {
        1: statements.Code.UNKNOWN_DATABASE,
        2: statements.Code.BUSY,
    }


def test_resumed_node_does_not_refuse_as_unknown_before_a_tick():
    """Guards against a proof that seems young after a suspension."""
    fleet = fleet_builders.Fleet(_SMALL)
    fleet.frozen.add(0)
    fleet.change()
    fleet.run(2 * fleet_builders.APPLY_WITHIN_MS)
    fleet.nodes[0].relay.on_start(1, 'database-2', fleet.now_ms)
    assert not fleet.clients[0].refused


def test_statement_without_a_proof_is_not_refused_as_unknown():
    """Guards against a false refusal in an open session of a removed route."""
    fleet = fleet_builders.Fleet(_SMALL)
    member = fleet.nodes[0]
    member.relay.on_start(1, 'database-1', fleet.now_ms)
    fleet.change()
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    _isolate(fleet)
    fleet.run(fleet_builders.APPLY_WITHIN_MS)
    query = statements.Statement('r', statements.Verb.BEGIN)
    member.relay.on_statement(1, query, fleet.now_ms)
    answers = fleet.clients[0].answers[1]
    assert [answer.code for answer in answers] == [statements.Code.BUSY]


@pytest.mark.parametrize('seed', _SEARCH_SEEDS)
def test_search_finds_no_late_configuration(seed):
    """Guards against orders of silence and changes that hide a version."""
    assert not search_builders.Search(seed).run()


def test_search_finds_a_watch_that_is_trusted(monkeypatch):
    """Guards against a search that cannot fail: nobody asks or polls."""
    exchange = revision_exchange.RevisionExchange
    for name in ('poll_due', '_needs_answers'):
        monkeypatch.setattr(exchange, name, lambda *_args: False)
    assert any(search_builders.Search(seed).run() for seed in _SEARCH_SEEDS)


def test_search_finds_proofs_that_are_too_young(monkeypatch):
    """Guards against a search that cannot fail: the age of a reply is lost."""

    def forget_age(exchange, reply, now_ms):
        exchange.heard_ms = now_ms
        exchange.freshness.on_proof(exchange.freshness.edition, now_ms)

    monkeypatch.setattr(
        revision_exchange.RevisionExchange, '_on_reply', forget_age
    )
    assert any(search_builders.Search(seed).run() for seed in _SEARCH_SEEDS)
