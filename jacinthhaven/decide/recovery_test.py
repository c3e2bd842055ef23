"""Tests of requests whose result was not seen or not confirmed."""

from jacinthhaven.decide import builders, tokens, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

CANCELLED = failures.CANCELLED.because('test')


def test_cancelled_write_waits_for_confirmation():
    """Guards against "not run" by a cancellation that is lost later."""
    desk, fake = builders.serving()
    write = desk.submit()
    desk.reply(CANCELLED)
    assert not desk.codes(write)
    desk.reply(backend.ResolveReply(False, 1, 4))
    assert not desk.codes(write)
    fake.write()
    desk.settle(fake)
    assert desk.codes(write) == ['cancelled']


def test_lost_write_is_repeated_under_its_key():
    """Guards against a write that runs twice or is refused unproved."""
    desk, _fake = builders.serving()
    write = desk.submit()
    sent = desk.statements[0].request
    desk.lose()
    desk.accept()
    assert desk.statements[0].request == sent
    rejected = failures.STATEMENT_REJECTED.because('test')
    desk.reply(rejected)
    assert isinstance(desk.statements[0].request, backend.ResolveRequest)
    desk.advance(5000)
    assert desk.codes(write) == ['unconfirmed']


def test_unconfirmed_write_is_repeated_in_the_next_term():
    """Guards against acknowledging a write that a replaced primary took."""
    desk, fake = builders.serving()
    write = desk.submit()
    desk.done(position=4)
    builders.promote(fake, 'i2', 2)
    desk.settle(fake)
    assert not desk.codes(write)
    request = desk.statements[0].request
    assert (request.term, request.request_key) == (2, write.request_key)
    desk.done(position=5, log_term=2)
    fake.write()
    desk.settle(fake)
    assert desk.codes(write) == ['done']
    assert desk.answers[-1].answer.term == 2


def test_status_of_an_older_term_changes_nothing():
    """Guards against a restarted instance that reverts the primary."""
    desk, fake = builders.serving()
    builders.promote(fake, 'i2', 2)
    desk.settle(fake)
    old = fake.copies['i1']
    old.term = 1
    old.primary = True
    desk.settle(fake)
    assert (desk.base.primary, desk.base.term) == ('i2', 2)


def test_cancelled_requests_leave_nothing():
    """Guards against work and transactions that nobody waits for."""
    desk, _fake = builders.serving()
    begun = desk.submit(work.BEGIN)
    parked = desk.submit(work.READ, needed=tokens.Position(2, 9))
    for job in (begun, parked):
        desk.owner.executor.cancel('m2', job.origin.number)
    desk.done(position=3)
    desk.advance(20)
    assert not desk.answers
    assert desk.owner.executor.idle
    assert desk.state.pools['i1'].size == 0
