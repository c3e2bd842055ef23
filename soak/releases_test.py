"""Tests of what the soak finds in the log of a proxy."""

import json

import pytest

from soak import releases

_TIME = '2026-01-01T00:00:{:02}+00:00'
_BEGAN_S = 1767225600.0
_SPANS = (releases.Release('i-a', _BEGAN_S, _BEGAN_S + 8),)


def _problems(log, spans=_SPANS, *, calm=True):
    progress = releases.Progress([log])
    return releases.log_problems(
        log, spans, progress, lambda _begin_s, _end_s: calm
    )


@pytest.fixture
def write_log(tmp_path):
    """Return a function that writes a log of events and their seconds."""

    def write(*events, request='1x1'):
        """Write a log and return its file."""
        log = tmp_path / 'n1.log'
        lines = [
            json.dumps(
                {
                    'timestamp': _TIME.format(second),
                    'event': event,
                    'request': request,
                    'instance': 'i-a',
                }
            )
            for second, event in events
        ]
        log.write_text('\n'.join(lines))
        return log

    return write


def test_statement_without_an_answer_at_the_exit_is_found(write_log):
    """Guards against a stop that cuts statements unnoticed."""
    log = write_log((0, 'started'), (1, 'place'), (2, 'stopped'))
    assert len(_problems(log)) == 1


def test_killed_process_owes_no_answer(write_log):
    """Guards against alarms about processes that were killed."""
    log = write_log((0, 'started'), (1, 'place'), (3, 'started'))
    assert not _problems(log)


@pytest.mark.parametrize('second', [6, 7, 8])
def test_work_in_time_is_allowed(write_log, second):
    """Guards against alarms about work that may be sent."""
    log = write_log((second, 'place'), (second, 'answer'))
    assert not _problems(log)


def test_late_work_is_found(write_log):
    """Guards against work at a leaving primary that goes unnoticed."""
    spans = [releases.Release('i-a', _BEGAN_S - 1, _BEGAN_S + 8)]
    log = write_log((7, 'place'), (7, 'answer'))
    assert len(_problems(log, spans)) == 1


def test_work_of_a_disturbed_proxy_is_allowed(write_log):
    """Guards against alarms about proxies that were not in touch."""
    spans = [releases.Release('i-a', _BEGAN_S - 1, _BEGAN_S + 8)]
    log = write_log((7, 'place'), (7, 'answer'))
    assert not _problems(log, spans, calm=False)


def test_client_that_has_left_is_owed_no_answer(tmp_path, write_log):
    """Guards against alarms about connections that the client has ended."""
    later = tmp_path / 'n2.log'
    write_log((2, 'place'), request='1x2').rename(later)
    log = write_log((0, 'started'), (1, 'place'), (3, 'stopped'))
    progress = releases.Progress([log, later])
    assert not releases.log_problems(
        log, _SPANS, progress, lambda _begin_s, _end_s: True
    )
