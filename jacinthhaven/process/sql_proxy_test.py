"""Tests of the log limit, the metrics and the start of a SQL proxy."""

import socket

from jacinthhaven.adapters import prometheus
from jacinthhaven.process import process_journal, start
from jacinthhaven.standins import driver


class _Log:
    """Log that records the events of its lines."""

    def __init__(self) -> None:
        self.events = []

    def write(self, line) -> None:
        """Record the event of a line."""
        self.events.append(line.event)


def _journal() -> tuple[process_journal.ProcessJournal, _Log]:
    log = _Log()
    page = prometheus.MetricsPage(driver.Driver().loop)
    return process_journal.ProcessJournal(log, page), log


def test_lines_about_successful_statements_are_limited():
    """Guards against a log volume that grows with the load."""
    journal, log = _journal()
    for request in range(5000):
        journal.write('place', {})
        journal.write('answer', {'outcome': 'done', 'request': request})
    journal.start_second()
    assert len(log.events) == 1001
    assert log.events[-1] == 'lines_skipped'


def test_failures_are_always_logged():
    """Guards against dropping lines about failures over the limit."""
    journal, log = _journal()
    for request in range(5000):
        journal.write('answer', {'outcome': 'done', 'request': request})
    journal.write('answer', {'outcome': 'busy'})
    journal.write('leader_lost', {})
    assert log.events[-2:] == ['answer', 'leader_lost']


def test_metrics_recorded_before_the_library_is_loaded():
    """Guards against losing metrics until prometheus_client is loaded."""
    journal, _log = _journal()
    journal.count('answers', 'done')
    journal.observe('answer_ms', 'own', 12)
    journal.page.gauge('sessions', 3)
    journal.page.load()
    text = journal.page.render().decode()
    assert 'jacinthhaven_answers_total{kind="done"} 1.0' in text
    assert 'jacinthhaven_answer_ms_bucket{kind="own",le="16.0"} 1.0' in text
    assert 'jacinthhaven_sessions 3.0' in text


_SETTINGS = """node: n1
zone: a
listeners:
  clients: 127.0.0.1:{taken}
  health: 127.0.0.1:{taken}
  metrics: 127.0.0.1:{taken}
  peers: 127.0.0.1:{taken}
store:
  address: 127.0.0.1:{taken}
promotion:
  address: 127.0.0.1:{taken}
grace_ms: 4000
"""


def test_process_exits_if_an_address_is_in_use(tmp_path, capfd):
    """Guards against a process that keeps running without listeners."""
    with socket.create_server(('127.0.0.1', 0)) as other:
        name = tmp_path / 'settings.yaml'
        taken = other.getsockname()[1]
        name.write_text(_SETTINGS.format(taken=taken))
        assert start.run_sql_proxy(str(name)) == 3
    assert 'not_started' in capfd.readouterr().out
