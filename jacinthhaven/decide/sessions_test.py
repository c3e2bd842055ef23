"""Tests of read-your-writes at an owner."""

import pytest

from jacinthhaven.decide import admission, builders, positions, tokens, work
from jacinthhaven.records import backend


@pytest.mark.parametrize('kind', [work.READ, work.BEGIN])
def test_token_of_a_later_term_waits(kind):
    """Guards against reading from a primary that the session knows is gone."""
    desk, fake = builders.serving()
    ahead = desk.submit(kind, needed=tokens.Position(2, 4))
    other = desk.submit(work.READ)
    assert len(desk.statements) == 1
    desk.done()
    assert desk.codes(other) == ['done']
    builders.promote(fake, 'i2', 2)
    desk.settle(fake)
    desk.done(log_term=2)
    assert desk.codes(ahead) == ['done']
    assert desk.answers[-1].answer.served_by == 'i2'


def test_token_of_a_later_term_expires_as_not_run():
    """Guards against a request that waits for ever for a later term."""
    desk, _fake = builders.serving()
    ahead = desk.submit(work.READ, needed=tokens.Position(2, 4))
    desk.advance(5000)
    assert desk.codes(ahead) == ['deadline']
    assert desk.owner.executor.idle


@pytest.mark.parametrize('lane', admission.LANES)
def test_lost_position_is_typed(lane):
    """Guards against data without the session's write after a great loss."""
    desk, fake = builders.serving()
    builders.promote(fake, 'i2', 2)
    fake.write()
    fake.write()
    desk.settle(fake)
    read = desk.submit(
        work.READ,
        needed=tokens.Position(1, 4),
        lane=lane,
        max_age_ms=60_000,
    )
    assert desk.codes(read) == ['position_lost']
    kept = desk.submit(work.READ, needed=tokens.Position(1, 3))
    desk.done(6, log_term=2)
    assert desk.codes(kept) == ['done']


def test_uncovered_primary_read_does_not_spin():
    """Guards against a read that is repeated without waiting."""
    desk, _fake = builders.serving()
    read = desk.submit(work.READ, needed=tokens.Position(1, 9))
    desk.done(position=3)
    assert not desk.statements
    desk.advance(20)
    desk.done(position=9)
    assert desk.codes(read) == ['done']


@pytest.mark.parametrize('kind', [work.READ, work.BEGIN])
def test_strict_answer_needs_a_later_proof(kind):
    """Guards against stale data for a session whose token is missing."""
    desk, fake = builders.serving()
    read = desk.submit(kind, strict=True)
    desk.done(position=3)
    desk.show(fake)
    desk.now_ms += 1
    assert not desk.codes(read)
    desk.show(fake)
    assert not desk.codes(read)
    desk.show(fake)
    assert desk.codes(read) == ['done']
    # The position becomes part of the session's token.
    assert desk.answers[-1].answer.position == 3


def test_read_of_a_replaced_primary_is_repeated():
    """Guards against the answer of a primary that was frozen meanwhile."""
    desk, fake = builders.serving()
    read = desk.submit(work.READ)
    builders.promote(fake, 'i2', 2)
    desk.settle(fake)
    desk.done(position=3)
    assert not desk.codes(read)
    desk.done(position=4, log_term=2)
    assert desk.codes(read) == ['done']
    assert desk.answers[-1].answer.served_by == 'i2'


def test_position_in_a_lost_term():
    """Guards against calling a surviving position lost, or a lost one not."""
    starts = [backend.TermStart(1, 1), backend.TermStart(3, 5)]
    assert not positions.is_lost(starts, tokens.Position(1, 4))
    assert positions.is_lost(starts, tokens.Position(1, 5))
    assert positions.is_lost(starts, tokens.Position(2, 7))
    assert not positions.is_lost(starts, tokens.Position(3, 99))
