"""Log lines and metrics of one process."""

import types

from jacinthhaven.adapters import decision_log, prometheus
from jacinthhaven.decide import messages
from jacinthhaven.sql import ports

# Log lines about successful statements per second. Writing a line takes about
# as much CPU time as all other decision code for a statement.
_MAX_SUCCESS_LINES = 1000
_DONE = 'done'
_DEFAULT_OUTCOMES = types.MappingProxyType({'place': _DONE})


class ProcessJournal(ports.Journal):
    """Log and metrics of one process."""

    def __init__(
        self,
        log: decision_log.DecisionLog,
        page: prometheus.MetricsPage,
    ) -> None:
        """Write to a log and a metrics page."""
        self.log = log
        self.page = page
        self.success_lines = 0
        self.dropped_lines = 0

    def write(self, event: str, fields: ports.Fields) -> None:
        """Log a decision and count it.

        Beyond the limit per second, lines about successful statements are
        dropped. All other lines are always written.
        """
        self.page.count('decisions', event)
        if fields.get('outcome', _DEFAULT_OUTCOMES.get(event)) == _DONE:
            if self.success_lines >= _MAX_SUCCESS_LINES:
                self.dropped_lines += 1
                return
            self.success_lines += 1
        self.log.write(messages.DecisionLine(event, fields))

    def start_second(self) -> None:
        """Log how many lines were dropped and reset the limit."""
        if self.dropped_lines:
            self.page.count('log_lines_skipped', '', self.dropped_lines)
            fields = {'lines': self.dropped_lines}
            self.log.write(messages.DecisionLine('lines_skipped', fields))
        self.success_lines = 0
        self.dropped_lines = 0

    def count(self, name: str, label: str = '') -> None:
        """Increase a counter."""
        self.page.count(name, label)

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Add a duration to a histogram."""
        self.page.observe(name, label, spent_ms)
