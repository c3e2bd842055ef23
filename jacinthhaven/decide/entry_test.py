"""Tests of the entry: owners, lost answers and proved outcomes."""

import random

from jacinthhaven.decide import builders, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers


def test_commit_without_owner_is_looked_up():
    """Guards against "not run" for the repeat of a commit that has run."""
    desk = builders.EntryDesk()
    number = desk.request(
        work.COMMIT,
        transaction='gone~1',
        request_id='w1',
    )
    sent = desk.forwards[-1]
    assert isinstance(sent.payload, peers.OutcomeForward)
    desk.reply(failures.DEADLINE.because('test'))
    assert desk.outcomes(number) == ['unknown']


def test_unconfirmed_commit_is_looked_up():
    """Guards against an unknown outcome that another owner can find out."""
    desk = builders.EntryDesk()
    number = desk.request(work.COMMIT, transaction='m1~1')
    desk.reply(failures.UNCONFIRMED.because('slot lost'))
    sent = desk.forwards[-1]
    assert sent.member == 'm2'
    assert isinstance(sent.payload, peers.OutcomeForward)
    desk.reply()
    assert desk.outcomes(number) == ['done']


def test_requests_leave_a_frozen_owner():
    """Guards against a wait until the deadline for a frozen process."""
    desk = builders.EntryDesk()
    write = desk.request()
    step = desk.request(work.STATEMENT, transaction='m1~1')
    for _ in range(60):
        desk.advance(20)
    assert desk.probes == ['m1', 'm1', 'm1']
    assert desk.forwards[-1].member == 'm2'
    desk.reply()
    assert desk.outcomes(write) == ['done']
    desk.request()
    assert desk.forwards[-1].member == 'm2'
    desk.entry.on_heard('m1', desk.now_ms)
    assert not desk.entry.watch.silent
    assert not desk.outcomes(step)


def test_probed_owner_keeps_its_requests():
    """Guards against copies of requests that only wait for a primary."""
    desk = builders.EntryDesk()
    desk.request()
    for _ in range(100):
        desk.advance(20)
        if desk.probes:
            desk.probes.clear()
            desk.entry.on_heard('m1', desk.now_ms)
    assert {sent.member for sent in desk.forwards} == {'m1'}


def test_own_pause_makes_nobody_silent():
    """Guards against copies of all requests after a pause of this process."""
    desk = builders.EntryDesk()
    desk.request()
    desk.advance(20)
    desk.advance(5000 - 100)
    assert len(desk.forwards) == 1


def test_unanswered_statement_is_unknown():
    """Guards against "not run" for a statement that is then committed."""
    desk = builders.EntryDesk()
    step = desk.request(work.STATEMENT, transaction='m1~1', deadline_ms=100)
    lost = desk.request(work.STATEMENT, transaction='m2~1')
    desk.lose('m2')
    desk.advance(100)
    assert desk.outcomes(step) == desk.outcomes(lost) == ['unknown']


def test_bad_outcome_question():
    """Guards against a question that is kept for ever or answered wrongly."""
    desk = builders.EntryDesk()
    questions = (
        {'deadline_ms': -1},
        {'deadline_ms': 10**15},
        {'request_id': ''},
        {'request_id': 'x' * 1000},
        {'session': ''},
        {'token': 'forged'},
    )
    for fields in questions:
        assert desk.outcomes(desk.outcome(**fields)) == ['unknown']
    assert not desk.entry.pending
    assert not desk.forwards


def test_every_request_is_answered_once():
    """Guards against lost, repeated or mixed up answers."""
    rng = random.Random(3)
    desk = builders.EntryDesk()
    numbers = []
    for _ in range(3000):
        action = rng.randrange(6)
        if action < 2:
            numbers.append(desk.request(rng.choice((work.READ, work.WRITE))))
        elif action == 2:
            desk.lose(rng.choice(('m1', 'm2')))
        elif desk.forwards:
            failure = rng.choice((None, failures.NO_OWNER.because('test')))
            desk.reply(failure)
        desk.advance(rng.choice((0, 20, 100)))
    desk.advance(60_000)
    assert {len(desk.outcomes(number)) for number in numbers} == {1}
    assert not desk.entry.pending
    assert not desk.entry.waiting
    assert not desk.entry.deadlines
    assert not desk.entry.watch.in_flight
