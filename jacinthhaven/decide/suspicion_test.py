"""Tests of the adaptive suspicion timeout."""

import pytest

from jacinthhaven.decide import suspicion

SUSPECT_MS = 500
WAIT_MS = 100


def polled(*delays_ms):
    """Return a detector after polls with delays, and the time of the last."""
    detector = suspicion.FailureDetector(0)
    now_ms = 0
    for delay_ms in delays_ms:
        detector.on_request(now_ms)
        now_ms += delay_ms
        detector.on_response(WAIT_MS, now_ms)
    return detector, now_ms


def test_idle_instance_is_not_suspected():
    """Guards against counting the long-poll wait as response delay."""
    detector, now_ms = polled(*[WAIT_MS + 2 for _ in range(20)])
    assert detector.timeout_ms(SUSPECT_MS) == SUSPECT_MS
    assert not detector.suspected(SUSPECT_MS, now_ms + SUSPECT_MS - 1)
    assert detector.suspected(SUSPECT_MS, now_ms + SUSPECT_MS)


def test_slow_link_raises_the_timeout_to_a_bound():
    """Guards against false suspicion and unbounded timeouts on slow links."""
    slow, _ = polled(*[WAIT_MS + 600 for _ in range(30)])
    assert 700 <= slow.timeout_ms(SUSPECT_MS) < 800
    slower, _ = polled(5000, 9000)
    assert slower.timeout_ms(SUSPECT_MS) == suspicion.MAX_TIMEOUT_MS
    assert slower.timeout_ms(3000) == 3000


def test_timeout_recovers_on_a_busy_instance():
    """Guards against a timeout that stays high after one slow period."""
    detector, _ = polled(1500, *[5 for _ in range(40)])
    assert detector.timeout_ms(SUSPECT_MS) == SUSPECT_MS


@pytest.mark.parametrize('losses', [0, 1, 9])
def test_reset_connection_is_silence(losses):
    """Guards against counting a reset as a failure or as a response."""
    detector, now_ms = polled(WAIT_MS, WAIT_MS)
    for step in range(losses):
        detector.on_request(now_ms + step)
        detector.on_connection_lost()
    assert not detector.suspected(SUSPECT_MS, now_ms + 499)
    assert detector.suspected(SUSPECT_MS, now_ms + SUSPECT_MS)
    assert detector.silent_ms(now_ms + SUSPECT_MS) == SUSPECT_MS
