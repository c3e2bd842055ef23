"""Tests of the connection pool of one slot to one instance."""

import random

from jacinthhaven.decide import builders, messages, pool, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

REFUSED = failures.CONNECTION_REFUSED.because('test')


def empty_pool(share=3):
    """Return a pool without connections."""
    slot = backend.ConnectRequest('exchange-db/0', 7)
    return pool.Pool('i1', share, slot, iter(range(1, 100_000)))


def all_connections(connections):
    """Return the numbers of all connections of a pool."""
    return [*connections.idle, *connections.busy, *connections.opening]


def test_share_is_never_exceeded():
    """Guards against counting a connection twice or not at all."""
    rng = random.Random(5)
    connections = empty_pool()
    actions = (
        lambda number, now_ms: connections.open_more(3, now_ms),
        lambda number, now_ms: connections.open_more(5, now_ms),
        connections.on_opened,
        lambda number, now_ms: connections.on_lost(number, REFUSED, now_ms),
        lambda number, now_ms: connections.idle and connections.acquire(),
        lambda number, now_ms: connections.release(number),
        lambda number, now_ms: connections.expire_opening(now_ms),
    )
    peak = 0
    for now_ms in range(0, 100_000, 50):
        number = rng.choice(all_connections(connections) or [0])
        rng.choice(actions)(number, now_ms)
        assert len(set(all_connections(connections))) == connections.size
        assert len(all_connections(connections)) == connections.size
        peak = max(peak, connections.size)
    assert peak == 3


def test_attempt_without_result_ends():
    """Guards against connections that never open and use up the share."""
    connections = empty_pool()
    asked = connections.open_more(5, 100)
    assert len(asked) == 3
    assert not connections.expire_opening(pool.OPEN_TIMEOUT_MS)
    closed = connections.expire_opening(100 + pool.OPEN_TIMEOUT_MS)
    assert closed == [messages.BackendClose(number) for number in (1, 2, 3)]
    assert not connections.open_more(5, 100 + pool.OPEN_TIMEOUT_MS)
    connections.on_opened(1, 9000)
    assert not connections.idle
    assert len(connections.open_more(5, 9000)) == 3


def test_unanswered_calls_free_the_share():
    """Guards against a hung instance that occupies the share forever."""
    harness, fake = builders.serving()
    begun = harness.submit(work.BEGIN)
    harness.complete_call()
    name = harness.answers[-1].answer.transaction
    step = harness.submit(work.STATEMENT, transaction=name)
    jobs = [harness.submit() for _ in range(8)]
    assert harness.state.pools['i1'].size == harness.owner.share
    harness.advance(5000)
    assert harness.codes(step) == ['deadline']
    assert {code for job in jobs for code in harness.codes(job)} == {
        'unconfirmed',
        'deadline',
    }
    harness.advance(3000)
    assert harness.state.pools['i1'].size == 0
    assert not harness.state.calls.by_number
    assert not harness.state.transactions.by_id
    assert harness.codes(begun) == ['done']
