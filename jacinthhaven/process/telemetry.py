"""Metrics derived from the messages and the state of a node.

The decision code counts rare events itself. Metrics that can be derived from
answers and decision lines are computed here, to keep them out of that code.
"""

import typing

from jacinthhaven.adapters import metrics
from jacinthhaven.decide import messages, node, routing

_GAUGE_INTERVAL_MS = 1000


class Telemetry:
    """Counts answers and routes, and reports gauges once a second."""

    def __init__(self, sink: metrics.Metrics, observed: node.Node) -> None:
        """Create the metrics of a node.

        Args:
          sink: Destination of the metrics.
          observed: Node whose state is reported.
        """
        self.sink = sink
        self.node = observed
        self.next_gauge_ms = 0

    def on_answer(self, message: messages.CallerAnswer) -> None:
        """Count an answer to a caller by its outcome and failure code."""
        outcome = message.answer.outcome
        self._count(f'answers.{outcome}')
        if message.failure is not None:
            code = message.failure.kind.code
            self._count(f'failures.{code}')

    def on_line(self, line: messages.DecisionLine) -> None:
        """Count the decision in a log line, if it has a metric."""
        if line.event == 'route':
            self._on_route(line.fields)
        elif line.event == 'promote':
            self._count('promotions')

    def on_tick(self, now_ms: int) -> None:
        """Report the gauges if the interval has passed."""
        if now_ms < self.next_gauge_ms:
            return
        self.next_gauge_ms = now_ms + _GAUGE_INTERVAL_MS
        held_slots = 0
        for owner in self.node.owners.values():
            held_slots += owner.slot is not None
            for base in owner.state.databases.values():
                self.sink.gauge(f'queue.{base.name}', base.admission.size)
            for name, pool in owner.state.pools.items():
                self.sink.gauge(f'connections.{name}', pool.size)
        self.sink.gauge('slots', held_slots)
        self.sink.gauge('revision', self.node.policy.revision)

    def _on_route(self, fields: dict[str, typing.Any]) -> None:
        if fields['lane'] == routing.REPLICA:
            self._count('reads.replica')
        elif fields['reason'] != routing.PRIMARY:
            self._count('reads.fallback')

    def _count(self, name: str) -> None:
        self.sink.count(messages.Count(name))
