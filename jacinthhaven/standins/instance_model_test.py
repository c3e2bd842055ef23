"""Tests of the instance model: refusals, transactions and replication."""

import pytest

from jacinthhaven.records import backend
from jacinthhaven.standins import builders, database_copy

DATABASE = builders.DATABASE
NEW_HOLDER = backend.ConnectRequest('g/0', 2)


def test_lower_epoch_is_closed_and_refused():
    """Guards against a former slot holder that keeps connections."""
    instance = builders.Group().instances['a']
    closed = []
    instance.table.on_closed = closed.append
    assert instance.open('d', NEW_HOLDER) is None
    assert closed == ['c']
    stale = instance.open('e', backend.ConnectRequest('g/0', 1))
    assert stale.error == 'stale_epoch'
    lost = instance.call('c', builders.get(), 0)
    assert lost.error == 'connection_refused'


def test_connection_limit():
    """Guards against more open connections than the limit."""
    instance = builders.Group(limit=2).instances['a']
    assert instance.open('d', backend.ConnectRequest('g/1', 1)) is None
    refused = instance.open('e', backend.ConnectRequest('g/2', 1))
    assert refused.error == 'connection_refused'
    instance.close('d')
    assert instance.open('e', backend.ConnectRequest('g/2', 1)) is None
    assert (instance.table.peak, instance.table.refused) == (2, 1)


@pytest.mark.parametrize('kind', ['write', 'begin', 'statement', 'commit'])
def test_other_term_is_refused(kind):
    """Guards against a change on a copy that is not primary of the term."""
    group = builders.Group()
    statement = {'op': 'put', 'key': 'k', 'value': 1}
    for name, term in (('a', 2), ('a', 0), ('b', 1)):
        reply = group.call(name, builders.execute(kind, statement, term))
        assert (reply.error, reply.term) == ('stale_term', 1)
    assert group.status('a').position == 1


def test_repeated_key_returns_recorded_result():
    """Guards against executing one request twice."""
    group = builders.Group()
    first = group.call('a', builders.add('key'))
    group.call('a', builders.add('other'))
    again = group.call('a', builders.add('key'))
    assert (again.duplicate, again.position) == (True, first.position)
    assert builders.rows(again) == builders.rows(first)
    reused = builders.execute('write', None, key='key', fingerprint='g')
    assert group.call('a', reused).error == 'request_id_reused'


def test_keys_survive_a_promotion():
    """Guards against a promoted replica that executes a request again."""
    group = builders.Group()
    first = group.call('a', builders.add('key'))
    cancelled = backend.ResolveRequest(DATABASE, 1, 'late')
    assert not group.call('a', cancelled).done
    group.pull('b')
    group.promote('b', 2, 'bc')
    again = group.call('b', builders.add('key', term=2))
    assert (again.duplicate, again.position) == (True, first.position)
    assert again.log_term == 2
    late = group.call('b', builders.add('late', term=2))
    assert late.error == 'cancelled'


def test_resolve_of_a_done_request():
    """Guards against cancelling a request that was executed."""
    group = builders.Group()
    first = group.call('a', builders.add('key'))
    question = backend.ResolveRequest(DATABASE, 1, 'key')
    found = group.call('a', question)
    assert (found.done, found.position, builders.rows(found)) == (
        True,
        first.position,
        1,
    )
    assert group.call('b', question).error == 'stale_term'


def test_each_term_is_accepted_once():
    """Guards against two deciders that both obtain a majority."""
    group = builders.Group()
    fence = backend.FenceRequest(DATABASE, 2)
    assert group.call('b', fence) == backend.FenceReply(2, 0, 0)
    assert group.call('b', fence).error == 'stale_term'
    wrong = backend.PromoteRequest(DATABASE, 3)
    assert group.call('b', wrong).error == 'stale_term'
    group.call('a', fence)
    assert group.call('a', builders.add(term=1)).error == 'stale_term'


def test_repeated_promote_adds_no_entry():
    """Guards against a log that grows when a lost answer is repeated."""
    group = builders.Group()
    group.promote('b', 2, 'bc')
    promote = backend.PromoteRequest(DATABASE, 2)
    assert group.call('b', promote) == backend.FenceReply(2, 2, 1)


def test_isolated_primary_drops_its_unconfirmed_entries():
    """Guards against changes of a replaced primary that stay in a log."""
    group = builders.Group()
    group.call('a', builders.add('kept'))
    group.pull('b')
    group.call('a', builders.add('lost'))
    group.promote('b', 2, 'bc')
    group.call('b', builders.add('new', term=2, by=10))
    group.call('a', backend.FollowRequest(DATABASE, 2, 'b'))
    assert group.pull('a')
    assert group.status('a').starts == group.status('b').starts
    assert builders.rows(group.call('a', builders.get())) == 11
    group.promote('a', 3, 'ab')
    rerun = group.call('a', builders.add('lost', term=3))
    assert not rerun.duplicate


def test_fenced_replica_refuses_the_old_primary():
    """Guards against replication from a term that was fenced off."""
    group = builders.Group()
    old = group.instances['a']
    request = group.instances['c'].pull_request(DATABASE)
    group.call('a', builders.add())
    late = old.serve_pull(request)
    group.promote('b', 2, 'bc')
    group.call('c', backend.FollowRequest(DATABASE, 2, 'a'))
    assert not group.instances['c'].accept_pull(DATABASE, late, 0)
    assert not group.pull('c')
    assert group.status('c').position == 0


def test_late_reply_keeps_newer_entries():
    """Guards against dropping entries because replies are reordered."""
    group = builders.Group()
    replica = group.instances['b']
    early = group.instances['a'].serve_pull(replica.pull_request(DATABASE))
    group.call('a', builders.add())
    group.pull('b')
    assert replica.accept_pull(DATABASE, early, 0)
    assert group.status('b').position == 2


def test_lag_delays_visibility():
    """Guards against a lagging replica that reports hidden entries."""
    group = builders.Group()
    group.instances['b'].lag_ms = 100
    group.call('a', builders.add())
    group.pull('b')
    assert group.status('b').position == 0
    assert group.instances['b'].next_due_ms() == 100
    group.now_ms = 100
    assert group.call('b', builders.get()).position == 2
    assert group.status('b').starts == [backend.TermStart(1, 1)]


def test_fence_drops_hidden_entries():
    """Guards against entries that appear after the fence was answered."""
    group = builders.Group()
    group.instances['b'].lag_ms = 100
    group.pull('b')
    fenced = group.call('b', backend.FenceRequest(DATABASE, 2))
    group.now_ms = 500
    assert group.status('b').position == fenced.position == 0


def test_silence_counts_from_the_last_contact():
    """Guards against a replica that hides the silence of its primary."""
    group = builders.Group()
    group.now_ms = 70
    group.pull('b')
    group.now_ms = 200
    assert group.status('b').upstream_silent_ms == 130
    assert group.status('a').upstream_silent_ms == 0


def test_transaction_is_one_entry():
    """Guards against a transaction that is visible in part."""
    group = builders.Group()
    group.call('a', builders.execute('begin'))
    step = builders.execute('statement', {'op': 'add', 'key': 'n'})
    assert builders.rows(group.call('a', step)) == 1
    assert builders.rows(group.call('a', step)) == 2
    assert builders.rows(group.call('a', builders.get())) is None
    done = group.call('a', builders.execute('commit', key='key'))
    assert (done.position, builders.rows(done)) == (2, [1, 2])
    again = group.call('a', builders.execute('commit', key='key'))
    assert (again.duplicate, again.position) == (True, 2)
    assert builders.rows(group.call('a', builders.get())) == 2


@pytest.mark.parametrize('end', ['close', 'rollback', 'term'])
def test_ended_transaction_is_unknown(end):
    """Guards against statements of one transaction that enter another."""
    group = builders.Group()
    instance = group.instances['a']
    put = {'op': 'put', 'key': 'n', 'value': 1}
    group.call('a', builders.execute('begin'))
    group.call('a', builders.execute('statement', put))
    term = 1
    if end == 'close':
        instance.close('c')
        instance.open('c', NEW_HOLDER)
    elif end == 'rollback':
        group.call('a', builders.execute('rollback'))
    else:
        term = 2
        group.promote('a', term, 'ab')
    for kind in ('statement', 'commit'):
        reply = group.call('a', builders.execute(kind, put, term))
        assert reply.error == 'unknown_transaction'
    assert builders.rows(group.call('a', builders.get())) is None


@pytest.mark.parametrize(
    'statement',
    [None, {}, {'op': 'drop'}, {'op': 'put', 'key': 'n'}, 'text'],
)
def test_malformed_statement(statement):
    """Guards against an untyped error for a malformed statement."""
    group = builders.Group()
    for kind in ('read', 'write'):
        reply = group.call('a', builders.execute(kind, statement))
        assert reply.error == 'statement_rejected'


def test_rejected_commit_changes_nothing():
    """Guards against a transaction that is applied in part."""
    group = builders.Group()
    step = {'op': 'put', 'key': 'm', 'value': 1}
    group.call('a', builders.execute('begin'))
    group.call('a', builders.execute('statement', step))
    group.call('a', builders.execute('statement', {'op': 'add', 'key': 'n'}))
    group.call(
        'a', builders.execute('write', {**step, 'key': 'n', 'value': ''})
    )
    refused = group.call('a', builders.execute('commit', key='key'))
    assert refused.error == 'statement_rejected'
    assert builders.rows(group.call('a', builders.get('m'))) is None
    assert group.status('a').position == 2


def test_read_kind_does_not_write():
    """Guards against a change that bypasses the term check."""
    group = builders.Group()
    put = {'op': 'put', 'key': 'n', 'value': 1}
    reply = group.call('b', builders.execute('read', put))
    assert reply.error == 'statement_rejected'


def test_version_rises_with_every_change():
    """Guards against a long poll that misses a change."""
    group = builders.Group()
    instance = group.instances['b']
    versions = [instance.version]
    group.pull('b')
    versions.append(instance.version)
    group.call('b', backend.FenceRequest(DATABASE, 2))
    versions.append(instance.version)
    instance.announce_leaving(True)
    versions.append(instance.version)
    assert versions == sorted(set(versions))


def test_restart_keeps_the_log():
    """Guards against a restarted instance that forgets its term or log."""
    group = builders.Group()
    group.call('a', builders.add('key'))
    instance = group.instances['a']
    instance.restart('2', 0)
    instance.open('c', backend.ConnectRequest('g/0', 1))
    copy = group.status('a')
    assert (copy.primary, copy.term, copy.position) == (False, 1, 2)


@pytest.mark.parametrize(
    'reply',
    [
        database_copy.PullReply('b', 1, 1, 1, []),
        database_copy.PullReply('a', 1, 1, 2, []),
        database_copy.PullReply('a', 1, 2, 1, []),
    ],
)
def test_reply_that_does_not_continue_the_log(reply):
    """Guards against entries of another primary, or with a gap before them."""
    group = builders.Group()
    group.pull('c')
    contact_ms = group.status('c').upstream_silent_ms
    group.now_ms = 10
    assert not group.instances['c'].accept_pull(DATABASE, reply, 10)
    assert group.status('c').upstream_silent_ms == contact_ms + 10
