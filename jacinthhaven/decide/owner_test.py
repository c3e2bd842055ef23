"""Tests of stopping and starting an owner with pending requests."""

import random

from jacinthhaven.decide import builders, messages, work
from jacinthhaven.kernel import failures


def test_stop_answers_strict_reads():
    """Guards against an unanswered read, which would block a drain forever."""
    harness, _fake = builders.serving()
    harness.now_ms += 5
    read = harness.submit(work.READ, strict=True)
    harness.complete_call(position=3)
    assert not harness.codes(read)
    harness.collect(harness.owner.stop('test'))
    assert harness.codes(read) == ['no_owner']
    assert harness.owner.executor.idle


def test_stop_answers_everything_once():
    """Guards against requests lost or answered twice when a slot is lost."""
    harness, _fake = builders.serving()
    unconfirmed = harness.submit()
    harness.complete_call()
    running = harness.submit()
    begun = harness.submit(work.BEGIN)
    queued = [harness.submit() for _ in range(9)]
    harness.collect(harness.owner.stop('test'))
    assert harness.codes(unconfirmed) == ['unconfirmed']
    assert harness.codes(running) == ['unconfirmed']
    assert harness.codes(begun) == ['no_owner']
    assert harness.codes(queued[-1]) == ['no_owner']
    assert len(harness.answers) == 12
    assert harness.owner.executor.idle
    harness.calls.clear()
    harness.start(epoch=8)
    harness.advance(10_000)
    assert len(harness.answers) == 12


def test_expired_work_is_forgotten():
    """Guards against unconfirmed writes that use up memory in an outage."""
    harness, fake = builders.serving()
    harness.submit()
    harness.complete_call(position=5)
    harness.submit(work.READ, strict=True, deadline_ms=harness.now_ms + 5000)
    harness.now_ms += 1
    harness.complete_call(position=5)
    for copy in fake.copies.values():
        copy.reachable = False
    harness.advance(6000)
    assert len(harness.answers) == 2
    assert harness.owner.executor.idle
    assert not len(harness.database_state.unconfirmed_writes)


def test_eviction_sends_work_elsewhere():
    """Guards against requests stuck at an owner whose slot was taken over."""
    harness, _fake = builders.serving()
    running = harness.submit()
    failure = failures.STALE_EPOCH.because('test')
    lost = messages.BackendLost(harness.statements[0].connection, failure)
    harness.calls.pop(lost.connection)
    harness.collect(harness.owner.handle(lost, harness.now_ms))
    assert harness.owner.slot is None
    assert harness.codes(running) == ['unconfirmed']
    harness.start(epoch=7)
    assert harness.codes(harness.submit()) == ['no_owner']
    harness.start(epoch=8)
    assert harness.owner.slot.epoch == 8


def take_random_step(rng, harness, fake, jobs):
    """Take one random step: a request, reply, loss, promotion or write."""
    kinds = (work.READ, work.WRITE, work.BEGIN, work.RESOLVE)
    action = rng.randrange(7)
    if action < 3:
        strict = rng.random() < 1 / 2
        jobs.append(harness.submit(rng.choice(kinds), strict=strict))
    elif action < 5 and harness.statements:
        rng.choice((harness.complete_call, harness.lose_connection))()
    elif rng.randrange(20) == 0:
        term = harness.database_state.term + 1
        builders.promote(fake, rng.choice(builders.INSTANCES), term)
    else:
        fake.write()
        harness.replicate_twice(fake)


def test_random_histories_answer_every_request_once():
    """Guards against lost answers, connections or requests on any path."""
    rng = random.Random(11)
    harness, fake = builders.serving()
    jobs = []
    for _ in range(1500):
        take_random_step(rng, harness, fake, jobs)
        harness.advance(rng.choice((0, 20)))
        sizes = [found.size for found in harness.state.pools.values()]
        assert max(sizes) <= harness.owner.share
    harness.advance(30_000)
    harness.advance(30_000)
    assert {len(harness.codes(job)) for job in jobs} == {1}
    assert harness.owner.executor.idle
    assert not harness.owner.executor.deadlines


def test_unclear_replies_use_the_retry_budget():
    """Guards against repeating a request endlessly until its deadline."""
    harness, _fake = builders.serving()
    job = harness.submit()
    failure = failures.PROTOCOL_ERROR.because('test')
    replies = 0
    while harness.statements and replies < 50:
        harness.reply(failure)
        replies += 1
    assert replies < 50
    assert harness.codes(job) == ['protocol_error']
