"""Limits against misbehaving clients: composition, log lines and gauges."""

import functools
import resource

from jacinthhaven.adapters import poller, prometheus
from jacinthhaven.limits import bounds, guard, kept_texts
from jacinthhaven.platform import sockets
from jacinthhaven.records import sql_settings
from jacinthhaven.sql import gateway, ports

# Log lines about closed connections in one second; all are counted.
_MAX_LINES = 20
# Interval of the checks of times and of the buffers of the kernel.
_CHECK_INTERVAL_MS = 100
_UPDATE_INTERVAL_MS = 1000


class ClientLimits:
    """Limits of one process.

    Attributes:
      guard: Decisions about connections.
      lines: Log lines about closed connections in this second.
      pressed: Whether memory was short at the last update.
      refused: Number of refused connections at the last update.
      update_ms: Time of the next update.
    """

    def __init__(
        self,
        settings: sql_settings.Limits,
        journal: ports.Journal,
        page: prometheus.MetricsPage,
    ) -> None:
        """Derive the bounds from the settings and the operating system."""
        open_files, _most = resource.getrlimit(resource.RLIMIT_NOFILE)
        if open_files == resource.RLIM_INFINITY:
            open_files = settings.max_fds
        self.journal = journal
        self.page = page
        self.guard = guard.Guard(bounds.derive(settings, open_files))
        self.guard.on_closed = self._on_closed
        self.lines = 0
        self.pressed = False
        self.refused = 0
        self.update_ms = 0

    def start(self, loop: poller.Poller) -> None:
        """Check the limits again and again from now on."""
        check = functools.partial(self._check, loop)
        loop.call_later(_CHECK_INTERVAL_MS, check)

    def limit_texts(
        self, sessions: gateway.Gateway, clients: sockets.ClientSockets
    ) -> None:
        """Limit and count the texts that sessions keep."""
        kept = kept_texts.KeptTexts(self.guard.bounds.kept_bytes)
        kept.on_change = clients.set_kept
        sessions.kept = kept

    def _check(self, loop: poller.Poller) -> None:
        self.start(loop)
        now_ms = loop.clock.now_ms()
        self.guard.tick(now_ms)
        if now_ms >= self.update_ms:
            self.update_ms = now_ms + _UPDATE_INTERVAL_MS
            self._update()

    def _update(self) -> None:
        """Update the gauges and log what has changed."""
        self.lines = 0
        ledger = self.guard.ledger
        self.page.gauge('held_bytes', ledger.held)
        self.page.gauge('connections', ledger.connections)
        self.page.gauge('paused_connections', len(ledger.paused))
        if self.guard.pressed != self.pressed:
            self.pressed = self.guard.pressed
            self._write_pressure()
        refused = self.guard.refused - self.refused
        if refused:
            self.refused = self.guard.refused
            self.page.count('clients_closed', 'no_room', refused)
            self.journal.write(
                'connections_refused',
                {'connections': ledger.connections, 'refused': refused},
            )

    def _write_pressure(self) -> None:
        ledger = self.guard.ledger
        event = 'memory_short' if self.pressed else 'memory_sufficient'
        self.journal.write(
            event,
            {'held': ledger.held, 'connections': ledger.connections},
        )

    def _on_closed(self, reason: str, held: int) -> None:
        self.journal.count('clients_closed', reason)
        self.lines += 1
        if self.lines <= _MAX_LINES:
            self.journal.write(
                'connection_closed',
                {
                    'reason': reason,
                    'bytes': held,
                    'held': self.guard.ledger.held,
                },
            )
