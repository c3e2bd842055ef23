"""Composition of one proxy process.

Every task owns its sockets; the switch carries messages between the tasks
and the decision code. The circuits application runs the poller and the
life cycle: start, signals, drain and stop.
"""

import random
import secrets
import signal
import typing

import circuits

from jacinthhaven.adapters import (
    backends,
    callers,
    decision_log,
    metrics,
    peers,
    poller,
    text_file,
)
from jacinthhaven.decide import messages, node
from jacinthhaven.process import switch, ticker
from jacinthhaven.records import handshake, topology
from jacinthhaven.records import settings as settings_records

_BOOT_BYTES = 8
_DRAIN_CHECK_MS = 50


class Application(circuits.Component):
    """One proxy process."""

    channel = 'application'

    def __init__(self, settings: settings_records.Settings) -> None:
        """Create all tasks; nothing listens before `started`.

        Args:
          settings: Checked settings.
        """
        super().__init__()
        self.settings = settings
        self.boot = secrets.token_hex(_BOOT_BYTES)
        self.rng = random.SystemRandom()
        self.poller = poller.Poller().register(self)
        self.log = decision_log.DecisionLog(
            settings.node,
            settings.log,
            self.poller,
        )
        self.metrics = metrics.open_metrics(settings.statsd, self.poller)
        self.node = self._new_node()
        self.switch = switch.Switch(self.node, self.poller.clock)
        self.callers = callers.HttpCallers(
            self.poller,
            self.node.numbers,
            self.switch.deliver,
        )
        self.backends = backends.HttpBackends(
            self.poller,
            self._instances(),
            self.switch.deliver,
        )
        self.peers = self._new_peers()
        self._connect_tasks()

    def started(self, _component: typing.Any) -> None:
        """Listen and start the ticks."""
        listeners = self.settings.listeners
        self.peers.listen((listeners.peer.host, listeners.peer.port))
        self.callers.server.listen(
            (listeners.caller.host, listeners.caller.port),
        )
        self.ticker = ticker.Ticker(self.poller, self.switch.tick)
        self._use_static_topology()

    def signal(self, number: int, _stack: typing.Any) -> None:
        """Stop on SIGTERM or SIGINT."""
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.log.close()

    def _use_static_topology(self) -> None:
        own = self.node.identity.member
        slots = [
            topology.Slot(group.name, 0, own.name, 1)
            for group in self.node.identity.groups
        ]
        now_ms = self.poller.clock.now_ms()
        self.switch.send(self.node.set_topology([own], slots, now_ms))

    def _new_node(self) -> node.Node:
        settings = self.settings
        return node.Node(
            node.Identity(
                settings_records.member_record(settings, self.boot),
                settings_records.group_records(settings),
                text_file.read_key(settings.cluster_key_file),
                settings.status_wait_ms,
                self.rng,
            ),
        )

    def _new_peers(self) -> peers.Peers:
        settings = self.settings
        hello = handshake.Hello(
            settings.cluster,
            handshake.PROTOCOL_VERSION,
            settings.node,
            self.boot,
            b'',
        )
        key = text_file.read_key(settings.cluster_key_file)
        return peers.Peers(self.poller, hello, key, self.rng)

    def _instances(self) -> list[topology.Instance]:
        return [
            instance
            for group in self.node.identity.groups
            for instance in group.instances
        ]

    def _connect_tasks(self) -> None:
        self.peers.deliver = self.switch.deliver
        self.callers.new_session = self.node.entry.signer.new_session
        self.switch.connect(messages.CallerAnswer, self.callers.answer)
        self.switch.connect(messages.PeerSend, self.peers.send)
        self.switch.connect(messages.DecisionLine, self.log.write)
        self.switch.connect(messages.Count, self.metrics.count)
        switch.connect_backends(self.switch, self.backends)


def run(settings: settings_records.Settings) -> None:
    """Run a proxy until it is stopped.

    Args:
      settings: Checked settings.
    """
    Application(settings).run()
