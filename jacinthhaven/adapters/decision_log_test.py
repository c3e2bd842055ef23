"""Tests of the decision log."""

import json
import logging
import os
import subprocess  # noqa: S404
import sys

import pytest

from jacinthhaven.adapters import decision_log
from jacinthhaven.decide import messages
from jacinthhaven.records import settings

ROUTE = messages.DecisionLine('route', {'database': 'lots', 'term': 3})


class FakeLoop:
    """Poller that runs its timers on demand."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_ms, callback):
        self.timers.append((delay_ms, callback))


@pytest.fixture(name='loop')
def _loop():
    return FakeLoop()


@pytest.fixture(name='opened')
def _opened(tmp_path, loop):
    config = settings.Log(destination=str(tmp_path / 'log'))
    log = decision_log.DecisionLog('macon-1', config, loop)
    yield log
    log.close()


def _lines(tmp_path):
    return [
        json.loads(line) for line in (tmp_path / 'log').read_text().splitlines()
    ]


def test_line_has_stable_fields(tmp_path, opened):
    """Guards against fields that replace a common field or its position."""
    conflicting = messages.DecisionLine('route', {'node': 'other', 'term': 4})
    opened.write(ROUTE)
    opened.write(conflicting)
    opened.flush()
    first, second = _lines(tmp_path)
    assert list(first) == [
        'timestamp',
        'level',
        'node',
        'event',
        'database',
        'term',
    ]
    assert first['timestamp'].endswith('Z')
    assert (first['level'], first['event']) == ('info', 'route')
    assert (second['node'], second['term']) == ('macon-1', 4)


def test_timestamp_keeps_milliseconds_in_utc():
    """Guards against reusing the cached text of another second."""
    times = decision_log.UtcFormatter()
    assert times.format(1_000_000_000) == '1970-01-01T00:00:01.000Z'
    assert times.format(1_987_999_999) == '1970-01-01T00:00:01.987Z'
    assert times.format(86_400_000_000_000) == '1970-01-02T00:00:00.000Z'


def test_values_that_json_cannot_hold_are_logged(tmp_path, opened):
    """Guards against an encoding error that stops the decision code."""
    opened.write(messages.DecisionLine('route', {'bad': '\ud800', 'n': 1}))
    opened.write(messages.DecisionLine('route', {'object': object()}))
    opened.flush()
    assert [line['event'] for line in _lines(tmp_path)] == ['route', 'route']


def test_timer_flushes_once(tmp_path, opened, loop):
    """Guards against lines that stay buffered and against extra timers."""
    opened.write(ROUTE)
    opened.write(ROUTE)
    assert [delay for delay, _callback in loop.timers] == [200]
    assert not _lines(tmp_path)
    loop.timers.pop()[1]()
    assert len(_lines(tmp_path)) == 2
    assert not loop.timers


def test_large_buffer_is_written_without_timer(tmp_path, opened):
    """Guards against a buffer that grows during a burst."""
    for number in range(1000):
        opened.write(messages.DecisionLine('route', {'number': number}))
    assert len(_lines(tmp_path)) > 500


def test_level_hides_decision_lines(tmp_path):
    """Guards against a level setting without effect."""
    config = settings.Log(destination=str(tmp_path / 'log'), level='warning')
    log = decision_log.DecisionLog('macon-1', config)
    log.write(ROUTE)
    log.close()
    assert not _lines(tmp_path)


def test_logging_records_keep_the_order(tmp_path, opened):
    """Guards against library messages in another format or order."""
    logger = logging.Logger('circuits')
    logger.addHandler(opened.handler)
    opened.write(ROUTE)
    logger.error('%s failed', 'dublin-1', exc_info=ValueError('no such peer'))
    route, failure = _lines(tmp_path)
    assert route['event'] == 'route'
    assert (failure['level'], failure['event']) == ('error', 'message')
    assert failure['message'] == 'dublin-1 failed'
    assert 'no such peer' in failure['exception']


def test_unwritable_destination_keeps_lines(tmp_path, opened, loop):
    """Guards against lost lines when a full disk becomes writable again."""
    good_fd = opened.buffer.fd
    opened.buffer.fd = os.open(os.devnull, os.O_RDONLY)
    opened.write(ROUTE)
    loop.timers.pop()[1]()
    assert opened.buffer.failing
    os.close(opened.buffer.fd)
    opened.buffer.fd = good_fd
    loop.timers.pop()[1]()
    assert len(_lines(tmp_path)) == 1


def test_lost_lines_are_reported(tmp_path, opened, monkeypatch):
    """Guards against dropped lines that the log does not mention."""
    monkeypatch.setattr(decision_log, '_MAX_BUFFERED_BYTES', 200)
    for number in range(5):
        opened.write(messages.DecisionLine('route', {'number': number}))
    lost = opened.buffer.lost
    opened.flush()
    lines = _lines(tmp_path)
    assert len(lines) + lost - 1 == 5
    assert (lines[-1]['event'], lines[-1]['lines']) == ('log_lines_lost', lost)


@pytest.mark.parametrize('exit_statement', ['sys.exit(3)', 'raise OSError'])
def test_no_line_is_lost_at_exit(tmp_path, exit_statement):
    """Guards against losing buffered lines when the process ends."""
    program = (
        'import sys\n'
        'from jacinthhaven.adapters import decision_log\n'
        'from jacinthhaven.decide import messages\n'
        'from jacinthhaven.records import settings\n'
        f'config = settings.Log(destination={str(tmp_path / "log")!r})\n'
        'log = decision_log.DecisionLog("n", config)\n'
        'for number in range(2000):\n'
        '    log.write(messages.DecisionLine("route", {"number": number}))\n'
        f'{exit_statement}\n'
    )
    subprocess.run(  # noqa: S603
        [sys.executable, '-c', program],
        check=False,
        capture_output=True,
    )
    assert [line['number'] for line in _lines(tmp_path)] == list(range(2000))
