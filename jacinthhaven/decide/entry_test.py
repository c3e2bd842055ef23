"""Tests of the entry: owner failover, lost answers, proved outcomes."""

import random

from jacinthhaven.decide import builders, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers


def test_commit_with_unreachable_owner_is_resolved():
    """Guards against "not run" for a retried commit that has run before."""
    harness = builders.EntryHarness()
    number = harness.request(
        work.COMMIT,
        transaction='gone~1',
        request_id='w1',
    )
    sent = harness.forwards[-1]
    assert isinstance(sent.payload, peers.OutcomeForward)
    harness.reply(failures.DEADLINE.because('test'))
    assert harness.outcomes(number) == ['unknown']


def test_unconfirmed_commit_is_resolved():
    """Guards against "unknown" when another owner can find the outcome."""
    harness = builders.EntryHarness()
    number = harness.request(work.COMMIT, transaction='m1~1')
    harness.reply(failures.UNCONFIRMED.because('slot lost'))
    sent = harness.forwards[-1]
    assert sent.member == 'm2'
    assert isinstance(sent.payload, peers.OutcomeForward)
    harness.reply()
    assert harness.outcomes(number) == ['done']


def test_requests_move_from_a_frozen_owner():
    """Guards against waiting for a frozen process until the deadline."""
    harness = builders.EntryHarness()
    write = harness.request()
    step = harness.request(work.STATEMENT, transaction='m1~1')
    for _ in range(60):
        harness.advance(20)
    assert harness.probes == ['m1', 'm1', 'm1']
    assert harness.forwards[-1].member == 'm2'
    harness.reply()
    assert harness.outcomes(write) == ['done']
    harness.request()
    assert harness.forwards[-1].member == 'm2'
    harness.entry.on_heard('m1', harness.now_ms)
    assert not harness.entry.watch.silent
    assert not harness.outcomes(step)


def test_probed_owner_keeps_its_requests():
    """Guards against resending requests that only wait for a primary."""
    harness = builders.EntryHarness()
    harness.request()
    for _ in range(100):
        harness.advance(20)
        if harness.probes:
            harness.probes.clear()
            harness.entry.on_heard('m1', harness.now_ms)
    assert {sent.member for sent in harness.forwards} == {'m1'}


def test_own_pause_marks_no_owner_silent():
    """Guards against resending all requests after this process pauses."""
    harness = builders.EntryHarness()
    harness.request()
    harness.advance(20)
    harness.advance(5000 - 100)
    assert len(harness.forwards) == 1


def test_unanswered_statement_is_unknown():
    """Guards against "not run" for a statement that is committed later."""
    harness = builders.EntryHarness()
    step = harness.request(work.STATEMENT, transaction='m1~1', deadline_ms=100)
    lost = harness.request(work.STATEMENT, transaction='m2~1')
    harness.lose_peer('m2')
    harness.advance(100)
    assert harness.outcomes(step) == harness.outcomes(lost) == ['unknown']


def test_invalid_outcome_request():
    """Guards against keeping an invalid request or answering "not run"."""
    harness = builders.EntryHarness()
    invalid_bodies = (
        {'deadline_ms': -1},
        {'deadline_ms': 10**15},
        {'request_id': ''},
        {'request_id': 'x' * 1000},
        {'session': ''},
        {'token': 'forged'},
    )
    for fields in invalid_bodies:
        assert harness.outcomes(harness.outcome(**fields)) == ['unknown']
    assert not harness.entry.pending
    assert not harness.forwards


def test_every_request_is_answered_once():
    """Guards against lost, duplicate and mismatched answers."""
    rng = random.Random(3)
    harness = builders.EntryHarness()
    numbers = []
    for _ in range(3000):
        action = rng.randrange(6)
        if action < 2:
            numbers.append(harness.request(rng.choice((work.READ, work.WRITE))))
        elif action == 2:
            harness.lose_peer(rng.choice(('m1', 'm2')))
        elif harness.forwards:
            failure = rng.choice((None, failures.NO_OWNER.because('test')))
            harness.reply(failure)
        harness.advance(rng.choice((0, 20, 100)))
    harness.advance(60_000)
    assert {len(harness.outcomes(number)) for number in numbers} == {1}
    assert not harness.entry.pending
    assert not harness.entry.waiting
    assert not harness.entry.deadlines
    assert not harness.entry.watch.in_flight
