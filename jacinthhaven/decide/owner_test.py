"""Tests of an owner: stop and start with pending work."""

import random

from jacinthhaven.decide import builders, messages, work
from jacinthhaven.kernel import failures


def test_stop_answers_strict_reads():
    """Guards against a read without answer and a drain that never ends."""
    desk, _fake = builders.serving()
    desk.now_ms += 5
    read = desk.submit(work.READ, strict=True)
    desk.done(position=3)
    assert not desk.codes(read)
    desk.keep(desk.owner.stop('test'))
    assert desk.codes(read) == ['no_owner']
    assert desk.owner.executor.idle


def test_stop_answers_everything_once():
    """Guards against work that is lost or answered twice at a slot loss."""
    desk, _fake = builders.serving()
    unconfirmed = desk.submit()
    desk.done()
    running = desk.submit()
    begun = desk.submit(work.BEGIN)
    queued = [desk.submit() for _ in range(9)]
    desk.keep(desk.owner.stop('test'))
    assert desk.codes(unconfirmed) == ['unconfirmed']
    assert desk.codes(running) == ['unconfirmed']
    assert desk.codes(begun) == ['no_owner']
    assert desk.codes(queued[-1]) == ['no_owner']
    assert len(desk.answers) == 12
    assert desk.owner.executor.idle
    desk.calls.clear()
    desk.start(epoch=8)
    desk.advance(10_000)
    assert len(desk.answers) == 12


def test_expired_work_is_forgotten():
    """Guards against unconfirmed writes that fill the memory in an outage."""
    desk, fake = builders.serving()
    desk.submit()
    desk.done(position=5)
    desk.submit(work.READ, strict=True, deadline_ms=desk.now_ms + 5000)
    desk.now_ms += 1
    desk.done(position=5)
    for copy in fake.copies.values():
        copy.reachable = False
    desk.advance(6000)
    assert len(desk.answers) == 2
    assert desk.owner.executor.idle
    assert not len(desk.base.confirmations)


def test_eviction_sends_work_elsewhere():
    """Guards against work that waits at an owner whose slot was taken."""
    desk, _fake = builders.serving()
    running = desk.submit()
    failure = failures.STALE_EPOCH.because('test')
    lost = messages.BackendLost(desk.statements[0].connection, failure)
    desk.calls.pop(lost.connection)
    desk.keep(desk.owner.handle(lost, desk.now_ms))
    assert desk.owner.slot is None
    assert desk.codes(running) == ['unconfirmed']
    desk.start(epoch=7)
    assert desk.codes(desk.submit()) == ['no_owner']
    desk.start(epoch=8)
    assert desk.owner.slot.epoch == 8


def act(rng, desk, fake, jobs):
    """Let one random thing happen to an owner."""
    kinds = (work.READ, work.WRITE, work.BEGIN, work.RESOLVE)
    action = rng.randrange(7)
    if action < 3:
        strict = rng.random() < 1 / 2
        jobs.append(desk.submit(rng.choice(kinds), strict=strict))
    elif action < 5 and desk.statements:
        rng.choice((desk.done, desk.lose))()
    elif rng.randrange(20) == 0:
        term = desk.base.term + 1
        builders.promote(fake, rng.choice(builders.INSTANCES), term)
    else:
        fake.write()
        desk.settle(fake)


def test_random_histories_answer_every_request_once():
    """Guards against answers, connections or work lost on any path."""
    rng = random.Random(11)
    desk, fake = builders.serving()
    jobs = []
    for _ in range(1500):
        act(rng, desk, fake, jobs)
        desk.advance(rng.choice((0, 20)))
        sizes = [found.size for found in desk.state.pools.values()]
        assert max(sizes) <= desk.owner.share
    desk.advance(30_000)
    desk.advance(30_000)
    assert {len(desk.codes(job)) for job in jobs} == {1}
    assert desk.owner.executor.idle
    assert not desk.owner.executor.deadlines


def test_unclear_replies_use_the_retry_budget():
    """Guards against asking an instance without pause until the deadline."""
    desk, _fake = builders.serving()
    job = desk.submit()
    failure = failures.PROTOCOL_ERROR.because('test')
    replies = 0
    while desk.statements and replies < 50:
        desk.reply(failure)
        replies += 1
    assert replies < 50
    assert desk.codes(job) == ['protocol_error']
