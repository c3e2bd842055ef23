"""Tests of requests whose result was not received or not confirmed."""

from jacinthhaven.decide import builders, tokens, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

CANCELLED = failures.CANCELLED.because('test')


def test_cancelled_write_waits_for_confirmation():
    """Guards against "not run" from a cancellation that is lost later."""
    harness, fake = builders.serving()
    write = harness.submit()
    harness.reply(CANCELLED)
    assert not harness.codes(write)
    harness.reply(backend.ResolveReply(False, 1, 4))
    assert not harness.codes(write)
    fake.write()
    harness.replicate_twice(fake)
    assert harness.codes(write) == ['cancelled']


def test_lost_write_is_retried_under_its_key():
    """Guards against a write that runs twice or is refused without proof."""
    harness, _fake = builders.serving()
    write = harness.submit()
    sent = harness.statements[0].request
    harness.lose_connection()
    harness.accept()
    assert harness.statements[0].request == sent
    rejected = failures.STATEMENT_REJECTED.because('test')
    harness.reply(rejected)
    assert isinstance(harness.statements[0].request, backend.ResolveRequest)
    harness.advance(5000)
    assert harness.codes(write) == ['unconfirmed']


def test_unconfirmed_write_is_retried_in_the_next_term():
    """Guards against acknowledging a write of a replaced primary."""
    harness, fake = builders.serving()
    write = harness.submit()
    harness.complete_call(position=4)
    builders.promote(fake, 'i2', 2)
    harness.replicate_twice(fake)
    assert not harness.codes(write)
    request = harness.statements[0].request
    assert (request.term, request.request_key) == (2, write.request_key)
    harness.complete_call(position=5, log_term=2)
    fake.write()
    harness.replicate_twice(fake)
    assert harness.codes(write) == ['done']
    assert harness.answers[-1].answer.term == 2


def test_status_of_an_older_term_changes_nothing():
    """Guards against a restarted instance that reverts the primary."""
    harness, fake = builders.serving()
    builders.promote(fake, 'i2', 2)
    harness.replicate_twice(fake)
    old = fake.copies['i1']
    old.term = 1
    old.primary = True
    harness.replicate_twice(fake)
    assert (harness.database_state.primary, harness.database_state.term) == (
        'i2',
        2,
    )


def test_cancelled_requests_release_their_resources():
    """Guards against work and transactions of disconnected callers."""
    harness, _fake = builders.serving()
    begun = harness.submit(work.BEGIN)
    parked = harness.submit(work.READ, needed=tokens.Position(2, 9))
    for job in (begun, parked):
        harness.owner.executor.cancel('m2', job.origin.number)
    harness.complete_call(position=3)
    harness.advance(20)
    assert not harness.answers
    assert harness.owner.executor.idle
    assert harness.state.pools['i1'].size == 0
