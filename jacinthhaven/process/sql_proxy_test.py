"""Tests of the log budget and of the metrics page of a SQL session proxy."""

import socket

from jacinthhaven.adapters import prometheus
from jacinthhaven.process import sql_proxy, start
from jacinthhaven.standins import driver


class _Log:
    """Keeps the events of lines."""

    def __init__(self) -> None:
        self.events = []

    def write(self, line) -> None:
        """Keep a line."""
        self.events.append(line.event)


def _journal() -> tuple[sql_proxy.ProcessJournal, _Log]:
    log = _Log()
    page = prometheus.MetricsPage(driver.Driver().loop)
    return sql_proxy.ProcessJournal(log, page), log


def test_routine_lines_are_bounded():
    """Guards against a log that grows with the load."""
    journal, log = _journal()
    for request in range(5000):
        journal.write('place', {})
        journal.write('answer', {'outcome': 'done', 'request': request})
    journal.start_second()
    assert len(log.events) == 1001
    assert log.events[-1] == 'lines_skipped'


def test_failures_are_always_logged():
    """Guards against a failed request without a line."""
    journal, log = _journal()
    for request in range(5000):
        journal.write('answer', {'outcome': 'done', 'request': request})
    journal.write('answer', {'outcome': 'busy'})
    journal.write('leader_lost', {})
    assert log.events[-2:] == ['answer', 'leader_lost']


def test_metrics_before_the_library_is_loaded_are_kept():
    """Guards against counters that start late."""
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


def test_process_ends_where_an_address_is_taken(tmp_path, capfd):
    """Guards against a process that runs and serves nobody."""
    with socket.create_server(('127.0.0.1', 0)) as other:
        name = tmp_path / 'settings.yaml'
        taken = other.getsockname()[1]
        name.write_text(_SETTINGS.format(taken=taken))
        assert start.run_sql_proxy(str(name)) == 3
    assert 'not_started' in capfd.readouterr().out
