"""Tests of the statsd metrics."""

import socket

import pytest

from jacinthhaven.adapters import metrics
from jacinthhaven.adapters.decision_log_test import FakeLoop
from jacinthhaven.decide import messages
from jacinthhaven.records import settings


@pytest.fixture(name='server')
def _server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        yield sock


def _open(server, loop=None):
    host, port = server.getsockname()
    config = settings.Statsd(host=host, port=port, prefix='j')
    return metrics.open_metrics(config, loop)


def test_increments_are_sent_once_per_interval(server):
    """Guards against a datagram for each increment and sums sent twice."""
    loop = FakeLoop()
    opened = _open(server, loop)
    for amount in (1, 2, 3):
        opened.count(messages.Count('shed', amount))
    opened.gauge('waiting', 4)
    loop.timers.pop()[1]()
    assert server.recv(2048) == b'j.shed:6|c\nj.waiting:4|g'
    opened.count(messages.Count('shed'))
    loop.timers.pop()[1]()
    assert server.recv(2048) == b'j.shed:1|c'
    opened.close()


def test_close_sends_the_last_values(server):
    """Guards against losing counters in a planned shutdown."""
    loop = FakeLoop()
    opened = _open(server, loop)
    opened.count(messages.Count('shed'))
    opened.close()
    opened.close()
    loop.timers.pop()[1]()
    assert server.recv(2048) == b'j.shed:1|c'
    assert not loop.timers


def test_many_counters_fit_into_datagrams(server):
    """Guards against a datagram that needs IP fragmentation."""
    opened = _open(server)
    names = {f'counter_{number}' for number in range(200)}
    for name in names:
        opened.count(messages.Count(name))
    opened.close()
    received = set()
    while len(received) < len(names):
        datagram = server.recv(2048)
        assert len(datagram) <= 1432
        received |= {
            line.split(':')[0].removeprefix('j.')
            for line in datagram.decode().split('\n')
        }
    assert received == names


def test_unconfigured_metrics_do_nothing():
    """Guards against a proxy that needs a statsd server to run."""
    opened = metrics.open_metrics(None)
    opened.count(messages.Count('shed'))
    opened.gauge('waiting', 1)
    opened.flush()
    opened.close()
