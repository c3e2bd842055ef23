"""Composition of one SQL session proxy.

The circuits application runs the poller and handles start and stop. The node
makes the decisions, and the adapters own the sockets.
"""

import logging
import os
import random
import signal
import sys
import typing

import circuits

from jacinthhaven.adapters import (
    decision_log,
    http_server,
    poller,
    prometheus,
    sql_settings_file,
)
from jacinthhaven.decide import messages
from jacinthhaven.kernel import clock
from jacinthhaven.platform import (
    connections,
    node_sockets,
    plugin,
    sockets,
    store_tunnel,
)
from jacinthhaven.process import (
    client_limits,
    node_messenger,
    process_journal,
    ticker,
)
from jacinthhaven.quotas import limits as quota_limits
from jacinthhaven.quotas import metric_lines
from jacinthhaven.records import sql_settings
from jacinthhaven.sql import (
    node,
    node_context,
    ownership,
    statements,
)

_OK = 200
_UNAVAILABLE = 503
_GAUGE_INTERVAL_MS = 1000
# Exit code if a listener cannot be opened, for example because its address is
# in use; 1 and 2 mean invalid and unreadable settings.
_EXIT_LISTEN_FAILED = 3


class SqlProxy(circuits.Component):
    """One SQL session proxy process."""

    channel = 'sql_proxy'

    def __init__(
        self,
        settings: sql_settings.SqlSettings,
        source: str = '',
    ) -> None:
        """Create all tasks; nothing listens before `started`.

        Args:
          settings: Checked settings.
          source: Path of the settings file, which is read again on SIGHUP.
        """
        super().__init__()
        self.settings = settings
        self.source = source
        self.clock = clock.BootClock()
        self.poller = poller.Poller().register(self)
        self.log = decision_log.DecisionLog(
            settings.node,
            settings.log,
            self.poller,
        )
        logging.getLogger().addHandler(self.log.handler)
        self.page = prometheus.MetricsPage(self.poller)
        self.page.more_lines = self._customer_lines
        self.journal = process_journal.ProcessJournal(self.log, self.page)
        limits = client_limits.ClientLimits(
            settings.limits, self.journal, self.page
        )
        self.clients = sockets.ClientSockets(self.poller, limits.guard)
        self.databases = sockets.DatabaseSockets(self.poller)
        self.borrowers = node_sockets.BorrowerSockets(self.poller, limits.guard)
        self.relays = node_sockets.RelaySockets(self.poller, limits.guard)
        self.messenger = node_messenger.NodeMessenger(self.poller, self.journal)
        self.health = http_server.Server(self.poller, self._on_health)
        self.node = node.Node(
            node_context.Identity(
                settings.node,
                settings.grace_ms,
                ownership.Peer(
                    settings.listeners.peers.pair,
                    settings.zone,
                    settings.processor.capacity,
                ),
                settings.promotion.fenced,
                settings.first_start,
                settings.seed_nodes,
                settings.store.apply_within_ms,
                quota_limits.Slack(
                    settings.quotas.window_ms,
                    settings.quotas.overage,
                    settings.quotas.extra,
                ),
                settings.zones.leaving_cost_ms,
                settings.zones.outflow,
            ),
            node_context.Adapters(
                self.databases,
                self.clients,
                self.borrowers,
                self.relays,
                node_sockets.CopySockets(self.poller),
                self.messenger,
                self.clock,
                plugin.PlatformCalls(self.poller, settings),
                self.journal,
                plugin.PlatformDocuments(),
                random.SystemRandom(),
            ),
        )
        self._connect()
        limits.limit_texts(self.node.gateway, self.clients)
        limits.start(self.poller)
        self.next_gauge_ms = 0
        self.exit_code: int | None = None

    def started(self, _component: typing.Any) -> None:
        """Open the listeners and start the ticks, or stop if that fails."""
        try:
            self._listen()
        except OSError as error:
            self.log.write(
                messages.DecisionLine('not_started', {'reason': str(error)}),
            )
            self.exit_code = _EXIT_LISTEN_FAILED
            self.stop()
            return
        signal.signal(signal.SIGHUP, self._on_reload)
        # A full pipe, whose reader has stalled, must not block the process.
        os.set_blocking(sys.stdout.fileno(), False)
        self.log.write(
            messages.DecisionLine('started', {'zone': self.settings.zone}),
        )
        ticks = ticker.Ticker(self.poller, self._tick)
        ticks.expedite()
        self.node.adapters.platform.on_handled = ticks.expedite

    def signal(self, number: int, _stack: typing.Any) -> None:
        """Start the graceful stop on SIGTERM or SIGINT."""
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.node.stop(self.clock.now_ms())

    def exception(
        self,
        _kind: type,
        error: BaseException,
        _traceback: typing.Any,
        **_context: typing.Any,
    ) -> None:
        """Log an unexpected error; the process continues."""
        self.journal.count('errors', type(error).__name__)
        logging.getLogger(__name__).error('unexpected error', exc_info=error)

    def _listen(self) -> None:
        listeners = self.settings.listeners
        self.clients.listen(listeners.clients.pair)
        self.borrowers.listen(listeners.peers.pair)
        self.messenger.datagrams.listen(listeners.peers.pair)
        self.health.listen(listeners.health.pair)
        self.page.server.listen(listeners.metrics.pair)

    def _connect(self) -> None:
        self._connect_clients()
        self._connect_nodes()
        self.databases.on_open = self._on_open
        self.databases.on_reply = self._on_reply
        self.databases.on_lost = self._on_lost
        self.databases.on_line = self.node.lender.on_reply_line

    def _connect_clients(self) -> None:
        relay = self.node.relay
        self.clients.on_start = self._on_start
        self.clients.on_statement = self._with_time(relay.on_statement)
        self.clients.on_closed = self._with_time(relay.on_closed)
        self.clients.on_malformed = self._on_malformed

    def _connect_nodes(self) -> None:
        lender = self.node.lender
        relay = self.node.relay
        self.borrowers.on_request = self._with_time(lender.on_request)
        self.borrowers.on_line = self._with_time(lender.on_line)
        self.borrowers.on_returned = self._with_time(lender.on_returned)
        self.borrowers.on_relayed = self._on_relayed
        self.borrowers.configuration = self._copy_configuration
        tunnels = store_tunnel.StoreTunnels(
            self.poller, self.settings.store.address.pair
        )
        tunnels.may_open = self._reaches_store
        self.borrowers.on_tunnel = tunnels.open
        self.relays.on_line = self._with_time(relay.on_line)
        self.relays.on_alive = relay.on_alive
        self.relays.on_lost = self._with_time(relay.on_lost)
        self.messenger.on_message = self._with_time(self.node.on_message)

    def _with_time(self, handler: typing.Callable) -> typing.Callable:
        """Wrap a handler so that it gets the current time as last argument."""

        def call(*args: typing.Any) -> None:  # noqa: WPS430
            handler(*args, self.clock.now_ms())

        return call

    def _on_start(self, number: int, database: str, key_digest: str) -> None:
        now_ms = self.clock.now_ms()
        self.node.relay.on_start(number, database, now_ms, key_digest)

    def _on_relayed(
        self,
        connection: connections.ClientConnection,
        version: int,
        database: str,
        key_digest: str,
    ) -> None:
        number = self.clients.adopt(
            connection.stream, connection.account, connection.pass_on()
        )
        self.node.gateway.on_relayed(number, database, version, key_digest)

    def _copy_configuration(self) -> tuple[int, str]:
        return self.node.sync.copy

    def _reaches_store(self) -> bool:
        return self.node.coordination.access.direct

    def _on_malformed(self) -> None:
        self.journal.count('clients_closed', 'malformed')

    def _on_open(self, number: int, reply: statements.Reply | None) -> None:
        now_ms = self.clock.now_ms()
        for group in self.node.gateway.groups.values():
            group.on_open(number, reply, now_ms)

    def _on_reply(self, number: int, reply: statements.Reply | None) -> None:
        now_ms = self.clock.now_ms()
        for group in self.node.gateway.groups.values():
            group.on_reply(number, reply, now_ms)

    def _on_lost(self, number: int) -> None:
        now_ms = self.clock.now_ms()
        self.node.lender.on_lost(number)
        for group in self.node.gateway.groups.values():
            group.on_lost(number, now_ms)

    def _on_health(self, exchange: http_server.Exchange) -> None:
        exchange.respond(_OK if self.node.ready else _UNAVAILABLE, b'')

    def _on_reload(self, _number: int, _stack: typing.Any) -> None:
        self.poller.call_soon(self._reload)

    def _reload(self) -> None:
        """Read the settings file again and log whether a restart is needed.

        The running process keeps its settings.
        """
        loaded = sql_settings_file.load(self.source)
        changed = loaded != self.settings
        valid = isinstance(loaded, sql_settings.SqlSettings)
        self.journal.write(
            'settings_reloaded',
            {'valid': valid, 'needs_restart': valid and changed},
        )

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        self.node.tick(now_ms)
        if now_ms >= self.next_gauge_ms:
            self.next_gauge_ms = now_ms + _GAUGE_INTERVAL_MS
            self._update_gauges()
            self.journal.start_second()
        if self.node.stopped and self.exit_code is None:
            self.exit_code = 0
            self._revoke_lease()

    def _update_gauges(self) -> None:
        gateway = self.node.gateway
        self.page.gauge('sessions', len(gateway.sessions))
        self.page.gauge('configuration_version', gateway.configuration.version)
        self.page.gauge('configuration_age_ms', self.node.sync.age_ms)
        self.page.gauge('zone_outflow_share', self.node.relay.choice.share)
        self.page.gauge('members', len(self.node.members))
        self.page.gauge('log_lines_lost', self.log.buffer.lost)
        waiting = sum(
            len(group.backlog.waiting) for group in gateway.groups.values()
        )
        self.page.gauge('waiting', waiting)
        now_ms = self.clock.now_ms()
        missing = [
            group.availability.missing_for(now_ms)
            for group in gateway.groups.values()
        ]
        self.page.gauge('primary_missing_ms', max(missing, default=0))

    def _customer_lines(self) -> typing.Iterable[str]:
        """Return the state of the customers as lines of the metrics page."""
        states = self.node.protocols.quotas.states(self.clock.now_ms())
        return metric_lines.format_states(states)

    def _revoke_lease(self) -> None:
        # If the store does not respond, the lease expires by itself.
        self.poller.call_later(_REVOKE_TIMEOUT_MS, self._exit)
        self.node.coordination.keeper.revoke(self._exit)

    def _exit(self) -> None:
        self.log.write(messages.DecisionLine('stopped', {}))
        self.log.close()
        self.stop()


# Time for the store to revoke the lease.
_REVOKE_TIMEOUT_MS = 300


def run(settings: sql_settings.SqlSettings, source: str) -> int:
    """Run a proxy until it is stopped and return the exit code."""
    proxy = SqlProxy(settings, source)
    proxy.run()
    proxy.log.flush()
    return proxy.exit_code or 0
