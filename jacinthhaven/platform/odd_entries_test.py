"""Tests of text that other writers put into the store or send."""

import random

import hypothesis
import pytest

from jacinthhaven.platform import (
    client_wire,
    document_builders,
    documents,
    peer_wire,
    plugin,
    reply_reader,
    words,
)
from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    cluster_builders,
    commands,
    ownership,
    peer_messages,
    store_records,
)

_DEEP = 100_000
_ODD_KEY = 'servers/odd'
_NESTED_LIST = ''.join(('[' * _DEEP, ']' * _DEEP))
_NESTED_OBJECT = ''.join(('{"a":' * _DEEP, '1', '}' * _DEEP))
_ODD_VALUES = (
    '',
    'null',
    '[]',
    '\ufffd\ufffd',
    _NESTED_LIST,
    _NESTED_OBJECT,
    document_builders.entry(extra='nested').replace('"nested"', _NESTED_LIST),
    document_builders.entry(address='127.0.0.1:99999'),
    document_builders.entry(address='127.0.0.1:-5'),
    document_builders.entry(address='127.0.0.1:0'),
    document_builders.entry(address='127.0.0.1'),
    document_builders.entry(address='127.0.0.1: 5'),
    document_builders.entry(address='a\0b:5'),
    document_builders.entry(address='no-such-host:5'),
    document_builders.entry(address='300.0.0.1:5'),
    document_builders.entry(slots=10**400),
    document_builders.entry(slots=10**18),
    document_builders.entry(slots=0),
    document_builders.entry(slots=-4),
    document_builders.entry(slots=1.5),
    document_builders.entry(slots='3'),
    document_builders.entry(state='gone'),
    document_builders.entry(state=None),
    document_builders.entry(dbRole='leader' * 100_000),
    document_builders.entry(born=10**30),
    document_builders.entry(sequence=-1),
    document_builders.entry(zone=['a']),
    document_builders.entry(service=None),
)


def _cluster() -> cluster_builders.Cluster:
    """Return one node that follows the platform's registry."""
    cluster = cluster_builders.Cluster(
        1, documents=plugin.PlatformDocuments(), settle_ms=100
    )
    cluster.put('op/config', document_builders.configuration())
    for name in builders.MEMBERS:
        cluster.put(f'servers/{name}', document_builders.entry(name))
    cluster.run(3000)
    return cluster


@pytest.mark.parametrize('number', range(len(_ODD_VALUES)))
def test_odd_registry_entry_costs_only_itself(number):
    """Guards against a node that ends, or follows the registry no more."""
    cluster = _cluster()
    states = cluster.election(0).service.pool.states
    assert set(states) == set(builders.MEMBERS)
    cluster.put(_ODD_KEY, _ODD_VALUES[number])
    cluster.run(3000)
    cluster.put('servers/db-b', document_builders.entry('db-b', sequence=2))
    leaving = document_builders.entry('db-b', state='draining', sequence=3)
    cluster.put('servers/db-b', leaving)
    cluster.run(4000)
    assert set(states) == set(builders.MEMBERS)
    assert states['db-b'].entry.leaving
    logged = cluster.rigs[0].journal.events('registry_entry_unusable')
    assert [fields['key'] for fields in logged] == [_ODD_KEY]
    assert all(len(fields['reason']) <= 300 for fields in logged)


def test_older_report_does_not_bring_an_instance_back():
    """Guards against work for an instance whose notice to leave was lost."""
    cluster = _cluster()
    known = cluster.election(0).service.pool.states['db-b']
    reports = (
        ('draining', 5, 7, True),
        ('ready', 5, 6, True),
        ('ready', 4, 99, True),
        ('ready', 6, 1, False),
    )
    for state, born, sequence, leaving in reports:
        text = document_builders.entry(
            'db-b', state=state, born=born, sequence=sequence
        )
        cluster.put('servers/db-b', text)
        cluster.run(3000)
        assert known.entry.leaving == leaving


def test_odd_name_of_an_instance_is_not_sent():
    """Guards against commands that a name smuggles into a connection."""
    for key in ('servers/a b', 'servers/a\r\nQUERY - DEMOTE 9', 'servers/'):
        entry = store.KeyValue(key, document_builders.entry(), 1, 1)
        with pytest.raises(documents.MALFORMED):
            documents.decode_instance(entry)


@pytest.mark.parametrize(
    'text',
    [
        '',
        '{}',
        _NESTED_LIST,
        '{"address":["127.0.0.1",99999],"zone":"a","capacity":1}',
        '{"address":["127.0.0.1",-1],"zone":"a","capacity":1}',
        '{"address":["a host",7],"zone":"a","capacity":1}',
        '{"address":["127.0.0.1",7],"zone":"a","capacity":-1}',
        '{"address":["127.0.0.1",7],"zone":"a","capacity":1e999}',
    ],
)
def test_odd_member_costs_only_itself(text):
    """Guards against a node that ends, or follows the members no more."""
    cluster = _cluster()
    with pytest.raises(ownership.MALFORMED):
        ownership.decode(text)
    cluster.put('nodes/odd', text)
    cluster.run(5000)
    assert cluster.nodes[0].members == ('n0',)
    assert cluster.rigs[0].journal.events('member_unusable')


@pytest.mark.parametrize(
    'text',
    [
        '',
        _NESTED_OBJECT,
        '{"instance":"a","term":1,"moving":false,"fence":-1}',
        '{"instance":"a","term":1,"moving":false,"fence":1e30}',
    ],
)
def test_odd_leader_record_costs_only_itself(text):
    """Guards against a node that ends, or loses other records."""
    cluster = _cluster()
    key = cluster.keys.leader(builders.SERVICE)
    cluster.put(key, text)
    cluster.put(f'ours/zzz/{builders.SERVICE}', 'x')
    cluster.run(500)
    reads = cluster.nodes[0].coordination
    assert f'ours/zzz/{builders.SERVICE}' in reads.keys.revisions
    assert cluster.rigs[0].journal.events('note_unusable')


def test_odd_configuration_is_not_taken():
    """Guards against a node that ends by a document that cannot be used."""
    for text in ('', '{}', _NESTED_LIST, _NESTED_OBJECT):
        loaded = plugin.PlatformDocuments().configuration(text)
        assert isinstance(loaded, str)
        assert len(loaded) <= 300


@pytest.mark.parametrize('seed', range(40))
def test_mutated_entries_raise_nothing_else(seed):
    """Guards against an error that no reader of the registry expects."""
    rng = random.Random(seed)
    text = document_builders.entry()
    mutations = [document_builders.mutate(text, rng) for _ in range(50)]
    for mutated in mutations:
        unusable = {}
        entry = store.KeyValue('servers/a', mutated, 1, 1)
        found = documents.decode_instances([entry], unusable.__setitem__)
        assert len(found) + len(unusable) == 1


_LINES = hypothesis.strategies.one_of(
    hypothesis.strategies.text(max_size=80),
    hypothesis.strategies.lists(
        hypothesis.strategies.sampled_from(
            (
                'START', 'QUERY', 'SESSION', 'READY', 'DATAROW', 'COMPLETE',
                'ERROR', 'I', 'T', '-', '3.1', '9' * 5000, '', 'x', 'SET',
                'PREPARE', 'READ', 'STATUS', '\0', '-1', '1.', '.1', '²',
            ),
        ),
        max_size=7,
    ).map(' '.join),
)  # fmt: skip


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(_LINES)
def test_lines_raise_nothing_else(line):
    """Guards against an error that no reader of lines expects."""
    reader = reply_reader.ReplyReader()
    reader.expect(commands.AskStatus())
    readers = (
        client_wire.decode_start,
        client_wire.decode_query,
        peer_wire.decode_relayed,
        peer_wire.decode_loan,
        words.ready_state,
        reader.feed,
        _decode_copy,
    )
    for read in readers:
        document_builders.read_line(read, line)


def _decode_copy(line: str) -> None:
    peer_wire.decode_copy(line.encode())


def test_copy_with_an_impossible_revision_is_malformed():
    """Guards against a revision that hides all later ones."""
    for line in (b'-1 "x"', b'99999999999999999999 "x"', b'1 2', b'1 ['):
        with pytest.raises(words.MalformedLineError):
            peer_wire.decode_copy(line)


@pytest.mark.parametrize('seed', range(40))
def test_mutated_datagrams_harm_nothing(seed):
    """Guards against a datagram that ends a node or blocks its messages."""
    rng = random.Random(seed)
    cluster = _cluster()
    member = cluster.nodes[0]
    chunks = [document_builders.odd_datagram(rng) for _ in range(40)]
    for chunk in chunks:
        try:
            message = peer_messages.decode(chunk)
        except peer_messages.MALFORMED:
            continue
        member.on_message(message, cluster.now_ms)
        cluster.run(20)
    cluster.put('op/config', document_builders.configuration(version=9))
    cluster.run(3000)
    assert member.gateway.configuration.version == 9


def test_deep_datagram_is_malformed():
    """Guards against an error of nesting that no reader expects."""
    with pytest.raises(peer_messages.MALFORMED):
        peer_messages.decode(b'\x91' * 4096)


def test_records_of_owners_keep_their_reader():
    """Guards against a reader that raises an error of its own."""
    with pytest.raises(store_records.MALFORMED):
        store_records.decode(_NESTED_LIST)
