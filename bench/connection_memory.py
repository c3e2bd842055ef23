"""Process that opens backend connections and prints its memory.

It runs the backend task of the proxy alone, since a proxy opens only the
connections of its slots.
"""

import os
import sys
import typing

import circuits
import msgspec

from bench import process_stats, processes
from jacinthhaven.adapters import backends, poller
from jacinthhaven.decide import messages
from jacinthhaven.records import backend, topology

COUNTS = (0, 100, 500, 2000)
_BATCH = 50
_INSTANCE = 'instance'


class Probe(circuits.Component):
    """Opens connections and notes the resident memory."""

    channel = 'probe'

    def __init__(self, port: int) -> None:
        """Create the backend task."""
        super().__init__()
        self.poller = poller.Poller().register(self)
        place = topology.Instance(_INSTANCE, processes.HOST, port, 'zone')
        self.backends = backends.HttpBackends(
            self.poller,
            [place],
            self._on_report,
        )
        self.requested = 0
        self.opened = 0
        self.points: list[tuple[int, int]] = []

    def started(self, _component: typing.Any) -> None:
        """Open the first connections."""
        self._open()

    def _on_report(self, message: typing.Any) -> None:
        if not isinstance(message, messages.BackendOpened):
            raise ConnectionError(message)
        self.opened += 1
        if self.opened == self.requested:
            self._open()

    def _open(self) -> None:
        if self.opened in COUNTS:
            memory_kb = process_stats.rss_kb(os.getpid())
            self.points.append((self.opened, memory_kb))
        if self.opened >= COUNTS[-1]:
            sys.stdout.write(msgspec.json.encode(self.points).decode())
            sys.stdout.flush()
            self.stop()
            return
        request = backend.ConnectRequest('bench', 1)
        first = self.requested + 1
        self.requested += _BATCH
        for number in range(first, first + _BATCH):
            self.backends.open(
                messages.BackendOpen(number, _INSTANCE, request),
            )


if __name__ == '__main__':
    Probe(int(sys.argv[1])).run()
