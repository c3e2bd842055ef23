"""Tests of the steps of open transactions at an owner."""

from jacinthhaven.decide import builders, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend


def begin(harness, **fields):
    """Begin a transaction and return its id."""
    harness.submit(work.BEGIN, **fields)
    harness.complete_call()
    return harness.answers[-1].answer.transaction


def test_retried_commit_is_resolved():
    """Guards against "not run" for a commit that has already run."""
    harness, fake = builders.serving()
    again = harness.submit(work.COMMIT, transaction='m1~1', request_key='s/c')
    call = harness.statements[0]
    assert call.request == backend.ResolveRequest('bids', 1, 's/c')
    harness.complete_call(position=3)
    assert harness.codes(again) == ['done']
    unused = harness.submit(work.COMMIT, transaction='m1~1', request_key='s/d')
    harness.reply(backend.ResolveReply(False, 1, 4))
    assert not harness.codes(unused)
    fake.write()
    fake.replicate(harness.now_ms)
    harness.answer_control_calls(fake)
    assert harness.codes(unused) == ['unknown_transaction']


def test_commit_retried_while_it_runs():
    """Guards against "not run" for a commit that is still running."""
    harness, fake = builders.serving()
    transaction_id = begin(harness)
    first = harness.submit(
        work.COMMIT, transaction=transaction_id, request_key='s/c'
    )
    again = harness.submit(
        work.COMMIT, transaction=transaction_id, request_key='s/c'
    )
    other = harness.submit(
        work.COMMIT, transaction=transaction_id, request_key='s/d'
    )
    assert harness.codes(other) == ['bad_request']
    harness.complete_call(position=3)
    harness.complete_call(position=3)
    assert harness.codes(first) == harness.codes(again) == ['done']


def test_commit_of_another_session_keeps_the_transaction_open():
    """Guards against ending a transaction of another session."""
    harness, _fake = builders.serving()
    transaction_id = begin(harness)
    harness.submit(work.COMMIT, transaction=transaction_id, session='other')
    harness.complete_call(position=3)
    step = harness.submit(work.STATEMENT, transaction=transaction_id)
    harness.complete_call(position=3)
    assert harness.codes(step) == ['done']
    assert len(harness.state.pools['i1'].busy) == 1


def test_idle_time_starts_at_the_end_of_a_step():
    """Guards against counting a slow begin or step as idle time."""
    harness, _fake = builders.serving()
    harness.submit(work.BEGIN, deadline_ms=60_000)
    harness.now_ms += 11_000
    harness.complete_call(position=3)
    transaction_id = harness.answers[-1].answer.transaction
    harness.advance(20)
    harness.submit(
        work.STATEMENT, transaction=transaction_id, deadline_ms=60_000
    )
    harness.now_ms += 11_000
    harness.complete_call(position=3)
    harness.advance(9_900)
    assert list(harness.state.transactions.by_id) == [transaction_id]
    harness.advance(200)
    assert not harness.state.transactions.by_id
    assert harness.state.pools['i1'].size == 0


def test_begin_with_unknown_outcome_closes_the_connection():
    """Guards against running other statements in a transaction left open."""
    harness, _fake = builders.serving()
    begun = harness.submit(work.BEGIN)
    first = harness.statements[0].connection
    harness.reply(failures.PROTOCOL_ERROR.because('test'))
    assert first in harness.closed
    assert harness.statements[0].connection != first
    harness.complete_call(position=3)
    assert harness.codes(begun) == ['done']
