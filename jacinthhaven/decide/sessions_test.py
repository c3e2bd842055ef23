"""Tests of read-your-writes at an owner."""

import pytest

from jacinthhaven.decide import admission, builders, positions, tokens, work
from jacinthhaven.records import backend


@pytest.mark.parametrize('kind', [work.READ, work.BEGIN])
def test_token_of_a_later_term_waits(kind):
    """Guards against reading from a primary replaced in a later term."""
    harness, fake = builders.serving()
    ahead = harness.submit(kind, needed=tokens.Position(2, 4))
    other = harness.submit(work.READ)
    assert len(harness.statements) == 1
    harness.complete_call()
    assert harness.codes(other) == ['done']
    builders.promote(fake, 'i2', 2)
    harness.replicate_twice(fake)
    harness.complete_call(log_term=2)
    assert harness.codes(ahead) == ['done']
    assert harness.answers[-1].answer.served_by == 'i2'


def test_token_of_a_later_term_expires_as_not_run():
    """Guards against a request that waits forever for a later term."""
    harness, _fake = builders.serving()
    ahead = harness.submit(work.READ, needed=tokens.Position(2, 4))
    harness.advance(5000)
    assert harness.codes(ahead) == ['deadline']
    assert harness.owner.executor.idle


@pytest.mark.parametrize('lane', admission.LANES)
def test_lost_position_is_reported(lane):
    """Guards against serving a session data that lacks its lost write."""
    harness, fake = builders.serving()
    builders.promote(fake, 'i2', 2)
    fake.write()
    fake.write()
    harness.replicate_twice(fake)
    read = harness.submit(
        work.READ,
        needed=tokens.Position(1, 4),
        lane=lane,
        max_age_ms=60_000,
    )
    assert harness.codes(read) == ['position_lost']
    kept = harness.submit(work.READ, needed=tokens.Position(1, 3))
    harness.complete_call(6, log_term=2)
    assert harness.codes(kept) == ['done']


def test_uncovered_primary_read_waits_for_a_status():
    """Guards against a busy loop that retries a read without waiting."""
    harness, _fake = builders.serving()
    read = harness.submit(work.READ, needed=tokens.Position(1, 9))
    harness.complete_call(position=3)
    assert not harness.statements
    harness.advance(20)
    harness.complete_call(position=9)
    assert harness.codes(read) == ['done']


@pytest.mark.parametrize('kind', [work.READ, work.BEGIN])
def test_strict_answer_needs_a_later_proof(kind):
    """Guards against stale data for a session whose token is missing."""
    harness, fake = builders.serving()
    read = harness.submit(kind, strict=True)
    harness.complete_call(position=3)
    harness.answer_control_calls(fake)
    harness.now_ms += 1
    assert not harness.codes(read)
    harness.answer_control_calls(fake)
    assert not harness.codes(read)
    harness.answer_control_calls(fake)
    assert harness.codes(read) == ['done']
    # The position becomes part of the session's token.
    assert harness.answers[-1].answer.position == 3


def test_read_of_a_replaced_primary_is_retried():
    """Guards against the stale answer of a primary that was frozen."""
    harness, fake = builders.serving()
    read = harness.submit(work.READ)
    builders.promote(fake, 'i2', 2)
    harness.replicate_twice(fake)
    harness.complete_call(position=3)
    assert not harness.codes(read)
    harness.complete_call(position=4, log_term=2)
    assert harness.codes(read) == ['done']
    assert harness.answers[-1].answer.served_by == 'i2'


def test_position_in_a_lost_term():
    """Guards against misjudging whether a position survived a failover."""
    starts = [backend.TermStart(1, 1), backend.TermStart(3, 5)]
    assert not positions.is_lost(starts, tokens.Position(1, 4))
    assert positions.is_lost(starts, tokens.Position(1, 5))
    assert positions.is_lost(starts, tokens.Position(2, 7))
    assert not positions.is_lost(starts, tokens.Position(3, 99))
