"""Tests of the suspicion timeout."""

import pytest

from jacinthhaven.decide import suspicion

SUSPECT_MS = 500
WAIT_MS = 100


def polled(*delays_ms):
    """Return a timer after polls with delays, and the time of the last."""
    timer = suspicion.Suspicion(0)
    now_ms = 0
    for delay_ms in delays_ms:
        timer.on_request(now_ms)
        now_ms += delay_ms
        timer.on_response(WAIT_MS, now_ms)
    return timer, now_ms


def test_idle_instance_is_not_suspected():
    """Guards against counting the wait of a long poll as delay."""
    timer, now_ms = polled(*[WAIT_MS + 2 for _ in range(20)])
    assert timer.timeout_ms(SUSPECT_MS) == SUSPECT_MS
    assert not timer.suspected(SUSPECT_MS, now_ms + SUSPECT_MS - 1)
    assert timer.suspected(SUSPECT_MS, now_ms + SUSPECT_MS)


def test_slow_link_raises_the_timeout_to_a_bound():
    """Guards against false suspicion on slow links and endless timeouts."""
    slow, _ = polled(*[WAIT_MS + 600 for _ in range(30)])
    assert 700 <= slow.timeout_ms(SUSPECT_MS) < 800
    slower, _ = polled(5000, 9000)
    assert slower.timeout_ms(SUSPECT_MS) == suspicion.CEILING_MS
    assert slower.timeout_ms(3000) == 3000


def test_timeout_recovers_on_a_busy_instance():
    """Guards against a timeout that stays high after one slow period."""
    timer, _ = polled(1500, *[5 for _ in range(40)])
    assert timer.timeout_ms(SUSPECT_MS) == SUSPECT_MS


@pytest.mark.parametrize('losses', [0, 1, 9])
def test_reset_connection_is_silence(losses):
    """Guards against a reset that counts as failure or as a response."""
    timer, now_ms = polled(WAIT_MS, WAIT_MS)
    for step in range(losses):
        timer.on_request(now_ms + step)
        timer.on_connection_lost()
    assert not timer.suspected(SUSPECT_MS, now_ms + 499)
    assert timer.suspected(SUSPECT_MS, now_ms + SUSPECT_MS)
    assert timer.silent_ms(now_ms + SUSPECT_MS) == SUSPECT_MS
