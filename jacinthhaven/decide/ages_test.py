"""Tests of the upper bound of a copy's age."""

import random

from jacinthhaven.decide import ages, views
from jacinthhaven.records import backend


def copy(applied, term=1, log_term=1):
    """Return the status of a copy."""
    return backend.DatabaseStatus('d', False, term, log_term, applied, applied)


def test_proved_time_is_never_later_than_the_data():
    """Guards against a read of data older than its caller allows."""
    rng = random.Random(2)
    history = ages.PrimaryHistory()
    samples = []
    position = 0
    for asked_ms in range(0, 300_000, 7):
        position += rng.randrange(3)
        samples.append((asked_ms, position))
        history.add(copy(position), asked_ms)
        applied = max(0, position - rng.randrange(20))
        proved_ms = asked_ms - rng.randrange(100)
        found_ms = history.complete_until_ms(copy(applied), proved_ms)
        if found_ms != views.NEVER_MS:
            assert found_ms <= proved_ms
            assert samples[found_ms // 7][1] <= applied
    assert len(history.fine) == len(history.coarse) == 1024


def test_no_proof_across_terms():
    """Guards against comparing positions of different terms."""
    history = ages.PrimaryHistory()
    history.add(copy(5), 10)
    assert history.complete_until_ms(copy(5), 10) == 10
    assert history.complete_until_ms(copy(5, 2, 2), 10) == views.NEVER_MS
    history.add(copy(6, 2, 2), 20)
    assert history.complete_until_ms(copy(9), 20) == views.NEVER_MS
    assert history.complete_until_ms(copy(9, 2), 20) == views.NEVER_MS
    history.add(copy(99), 30)
    assert history.complete_until_ms(copy(6, 2, 2), 30) == 20
