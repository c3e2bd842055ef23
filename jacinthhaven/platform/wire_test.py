"""Tests of the codecs of the line protocol and of registry entries."""

import hypothesis
import pytest

from jacinthhaven.platform import (
    client_wire,
    documents,
    instance_wire,
    peer_wire,
    reply_reader,
    words,
)
from jacinthhaven.records import store
from jacinthhaven.sql import commands, records, statements

_TEXT = hypothesis.strategies.text(
    hypothesis.strategies.characters(
        max_codepoint=255, exclude_characters='\r\n'
    ),
    max_size=60,
)


@pytest.mark.parametrize(
    ('text', 'verb'),
    [
        ('BEGIN', statements.Verb.BEGIN),
        ('BEGIN READ', statements.Verb.BEGIN_READ),
        ('BEGIN WRITE', statements.Verb.INVALID),
        ('COMMIT', statements.Verb.COMMIT),
        ('COMMIT now', statements.Verb.INVALID),
        ('ROLLBACK', statements.Verb.ROLLBACK),
        ('READ 1a4', statements.Verb.READ),
        ('READ', statements.Verb.INVALID),
        ('WRITE 1a4 x y', statements.Verb.WRITE),
        ('SET tz utc', statements.Verb.SET),
        ('PREPARE s1 WRITE q2c', statements.Verb.PREPARE),
        ('PREPARE s1 DROP q2c', statements.Verb.INVALID),
        ('EXECUTE s1 1a4 x', statements.Verb.EXECUTE),
        ('DEALLOC s1', statements.Verb.DEALLOCATE),
        ('WAITPOS 3.1 READ 1a4', statements.Verb.INVALID),
        ('STATUS', statements.Verb.INVALID),
        ('PAUSE 9', statements.Verb.INVALID),
        ('DEMOTE 9', statements.Verb.INVALID),
        ('RESET', statements.Verb.INVALID),
    ],
)
def test_statements_of_clients(text, verb):
    """Guards against clients that run commands reserved for proxies."""
    assert client_wire.decode_query(f'QUERY r1 {text}').verb is verb


def test_text_reaches_the_instance_unchanged():
    """Guards against statements that are altered in forwarding."""
    statement = client_wire.decode_query('QUERY r1 WRITE 1a4  x  y ')
    line = instance_wire.encode_command(commands.Run(statement))
    assert line == b'QUERY r1 WRITE 1a4  x  y \r\n'


def test_position_goes_before_a_read():
    """Guards against reads that do not wait for the required position."""
    statement = client_wire.decode_query('QUERY r1 READ 1a4')
    command = commands.Run(statement, records.Position(3, 1207))
    line = instance_wire.encode_command(command)
    assert line == b'QUERY r1 WAITPOS 3.1207 READ 1a4\r\n'


def test_status_row():
    """Guards against misinterpreting the status row of an instance."""
    reader = reply_reader.ReplyReader()
    reader.wants_status = True
    reader.feed('DATAROW replica 3 3.1209 0 12 2 17')
    reader.feed('COMPLETE -')
    reply = reader.feed('READY I 3.1204')
    assert reply.status == records.InstanceStatus(
        False,
        3,
        records.Position(3, 1209),
    )
    assert reply.position == records.Position(3, 1204)


def test_commands_sent_together_have_one_reply():
    """Guards against taking the reply to a setting for that to the read."""
    command = commands.Setup((commands.Reset(), commands.SetValue('v', '1')))
    assert instance_wire.encode_command(command) == (
        b'QUERY - RESET\r\nQUERY - SET v 1\r\n'
    )
    reader = reply_reader.ReplyReader()
    reader.expect(command)
    lines = ('COMPLETE -', 'READY I 3.1', 'ERROR FAILED x', 'READY E 3.2')
    *missing, reply = [reader.feed(line) for line in lines]
    assert missing == [None, None, None]
    assert (reply.code, reply.succeeded) == (statements.Code.FAILED, 1)
    assert reply.state is statements.State.FAILED
    assert reader.feed('READY I 3.3').code is None


@hypothesis.given(_TEXT)
@hypothesis.settings(derandomize=True)
def test_any_line_of_a_client_is_decoded_or_refused(text):
    """Guards against client input that raises an unexpected exception."""
    try:
        client_wire.decode_query(text)
    except words.MalformedLineError:
        return
    assert text.startswith(('QUERY ', 'TERMINATE'))


@hypothesis.given(_TEXT)
@hypothesis.settings(derandomize=True)
def test_any_query_is_decoded(text):
    """Guards against statements that raise an exception."""
    statement = client_wire.decode_query(f'QUERY r {text}')
    assert statement is None or statement.text == text


@hypothesis.given(hypothesis.strategies.lists(_TEXT, max_size=6))
@hypothesis.settings(derandomize=True)
def test_any_reply_is_decoded_or_refused(lines):
    """Guards against replies that raise an unexpected exception."""
    reader = reply_reader.ReplyReader()
    reader.wants_status = True
    try:
        for line in lines:
            reader.feed(line)
    except words.MalformedLineError:
        return
    kinds = {shown.partition(' ')[0] for shown in lines}
    assert kinds <= {'DATAROW', 'COMPLETE', 'ERROR', 'READY'}


@hypothesis.given(
    hypothesis.strategies.binary(max_size=200),
    hypothesis.strategies.integers(1, 7),
)
@hypothesis.settings(derandomize=True)
def test_lines_do_not_depend_on_how_bytes_arrive(chunk, size):
    """Guards against lines that are split or joined at chunk boundaries."""
    whole = words.LineReader().feed(chunk)
    reader = words.LineReader()
    parts = []
    for start in range(0, len(chunk), size):
        parts.extend(reader.feed(chunk[start : start + size]))
    assert parts == whole


def test_endless_line_is_refused():
    """Guards against unbounded buffering of a line without an end."""
    reader = words.LineReader()
    with pytest.raises(words.MalformedLineError):
        reader.feed(b'x' * (words.MAX_LINE_BYTES + 1))


@pytest.mark.parametrize(
    'line',
    ['', 'SESSION x db', 'START a b', 'SESSION 1', 'QUERY r READ k'],
)
def test_invalid_first_line_of_a_node_is_refused(line):
    """Guards against accepting other protocols on the internal port."""
    with pytest.raises(words.MalformedLineError):
        if peer_wire.decode_relayed(line) is None:
            peer_wire.decode_loan(line)


@pytest.mark.parametrize(
    'text',
    [
        'garbage',
        '{}',
        '{"service":1}',
        '{"service":"s","address":"1.2.3.4","zone":"a","state":"ready",'
        '"dbRole":"primary"}',
        '{"service":"s","address":"1.2.3.4:1","zone":"a","state":"gone",'
        '"dbRole":"primary"}',
    ],
)
def test_invalid_registry_entry_yields_no_instance(text):
    """Guards against failing on invalid entries of other writers."""
    unusable = []
    entry = store.KeyValue('servers/i-1', text, 1, 1)
    found = documents.decode_instances(
        [entry],
        lambda key, _reason: unusable.append(key),
    )
    assert not found
    assert unusable == ['servers/i-1']


def test_registry_entry_with_unknown_fields():
    """Guards against rejecting entries that have unknown fields."""
    text = (
        '{"service":"s","address":"10.1.2.3:8080","zone":"a","slots":3,'
        '"state":"draining","dbRole":"replica","sequence":4,"new":{}}'
    )
    found = documents.decode_instance(store.KeyValue('servers/i-1', text, 1, 1))
    assert found == records.Instance(
        'i-1',
        's',
        ('10.1.2.3', 8080),
        'a',
        3,
        leaving=True,
        claims_primary=False,
        reported=(0, 4),
    )
