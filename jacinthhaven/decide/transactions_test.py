"""Tests of the steps of transactions at an owner."""

from jacinthhaven.decide import builders, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend


def begin(desk, **fields):
    """Begin a transaction and return its id."""
    desk.submit(work.BEGIN, **fields)
    desk.done()
    return desk.answers[-1].answer.transaction


def test_repeated_commit_is_looked_up():
    """Guards against "not run" for a commit that has already run."""
    desk, fake = builders.serving()
    again = desk.submit(work.COMMIT, transaction='m1~1', request_key='s/c')
    call = desk.statements[0]
    assert call.request == backend.ResolveRequest('bids', 1, 's/c')
    desk.done(position=3)
    assert desk.codes(again) == ['done']
    unused = desk.submit(work.COMMIT, transaction='m1~1', request_key='s/d')
    desk.reply(backend.ResolveReply(False, 1, 4))
    assert not desk.codes(unused)
    fake.write()
    fake.replicate(desk.now_ms)
    desk.show(fake)
    assert desk.codes(unused) == ['unknown_transaction']


def test_commit_repeated_while_it_runs():
    """Guards against "not run" for a commit that is still running."""
    desk, fake = builders.serving()
    name = begin(desk)
    first = desk.submit(work.COMMIT, transaction=name, request_key='s/c')
    again = desk.submit(work.COMMIT, transaction=name, request_key='s/c')
    other = desk.submit(work.COMMIT, transaction=name, request_key='s/d')
    assert desk.codes(other) == ['bad_request']
    desk.done(position=3)
    desk.done(position=3)
    assert desk.codes(first) == desk.codes(again) == ['done']


def test_foreign_commit_leaves_the_transaction_open():
    """Guards against ending a transaction of another session."""
    desk, _fake = builders.serving()
    name = begin(desk)
    desk.submit(work.COMMIT, transaction=name, session='other')
    desk.done(position=3)
    step = desk.submit(work.STATEMENT, transaction=name)
    desk.done(position=3)
    assert desk.codes(step) == ['done']
    assert len(desk.state.pools['i1'].busy) == 1


def test_idle_time_starts_at_the_end_of_a_step():
    """Guards against aborting a transaction after a slow begin or step."""
    desk, _fake = builders.serving()
    desk.submit(work.BEGIN, deadline_ms=60_000)
    desk.now_ms += 11_000
    desk.done(position=3)
    name = desk.answers[-1].answer.transaction
    desk.advance(20)
    desk.submit(work.STATEMENT, transaction=name, deadline_ms=60_000)
    desk.now_ms += 11_000
    desk.done(position=3)
    desk.advance(9_900)
    assert list(desk.state.transactions.by_name) == [name]
    desk.advance(200)
    assert not desk.state.transactions.by_name
    assert desk.state.pools['i1'].size == 0


def test_unknown_begin_closes_the_connection():
    """Guards against other statements inside a transaction left open."""
    desk, _fake = builders.serving()
    begun = desk.submit(work.BEGIN)
    first = desk.statements[0].connection
    desk.reply(failures.PROTOCOL_ERROR.because('test'))
    assert first in desk.closed
    assert desk.statements[0].connection != first
    desk.done(position=3)
    assert desk.codes(begun) == ['done']
