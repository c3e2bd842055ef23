"""Composition of one proxy process.

Each task owns its sockets, and the switch delivers messages between the tasks
and the decision code. The circuits application runs the poller and handles
start, signals, drain and stop.
"""

import logging
import random
import secrets
import signal
import typing

import circuits

from jacinthhaven.adapters import (
    backends,
    callers,
    decision_log,
    etcd,
    metrics,
    operators,
    peers,
    poller,
    text_file,
    vm_list,
)
from jacinthhaven.decide import (
    cluster,
    gossip,
    inspection,
    messages,
    node,
    operator_changes,
)
from jacinthhaven.process import (
    contexts,
    stopping,
    switch,
    telemetry,
    ticker,
)
from jacinthhaven.records import handshake, topology
from jacinthhaven.records import settings as settings_records

_BOOT_ID_BYTES = 8
_VM_LIST_INTERVAL_MS = 2000


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
        self.rng = random.SystemRandom()
        self.poller = poller.Poller().register(self)
        self.log = decision_log.DecisionLog(
            settings.node,
            settings.log,
            self.poller,
        )
        logging.getLogger().addHandler(self.log.handler)
        self.metrics = metrics.open_metrics(settings.statsd, self.poller)
        self.cluster_key = text_file.read_key(settings.cluster_key_file)
        self.node = self._new_node()
        self.telemetry = telemetry.Telemetry(self.metrics, self.node)
        self.switch = switch.Switch(self.node, self.poller.clock)
        self._create_tasks()
        self._connect_tasks()
        self.stopping = stopping.Stopping(self)

    def started(self, _component: typing.Any) -> None:
        """Open the listeners and start the ticks."""
        listeners = self.settings.listeners
        self.peers.listen((listeners.peer.host, listeners.peer.port))
        self.callers.server.listen(
            (listeners.caller.host, listeners.caller.port),
            contexts.server(listeners.caller.tls),
            share_port=True,
        )
        self.operators.server.listen(
            (listeners.operator.host, listeners.operator.port),
            contexts.server(listeners.operator.tls),
        )
        self.peers.know(self.node.identity.services.seeds)
        ticker.Ticker(self.poller, self._tick)
        self._read_vms()
        boot = self.node.identity.member.boot
        self.log.write(messages.DecisionLine('started', {'boot': boot}))

    def signal(self, number: int, _stack: typing.Any) -> None:
        """Start the graceful stop on SIGTERM or SIGINT."""
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.stopping.begin()

    def exception(
        self,
        _kind: type,
        error: BaseException,
        _traceback: typing.Any,
        **_context: typing.Any,
    ) -> None:
        """Log an unexpected error; circuits continues with the next event."""
        self._count('errors')
        logging.getLogger(__name__).error('unexpected error', exc_info=error)

    def finish(self) -> None:
        """Write the last log lines and end the event loop."""
        self.log.write(messages.DecisionLine('stopped', {}))
        self.peers.close()
        self.metrics.close()
        self.log.close()
        self.stop()

    def _read_vms(self) -> None:
        # Only the members that read the store fetch the list, for all
        # members, so the number of calls does not grow with the cluster.
        if self.node.cluster.reader.active:
            self.vms.read()
        self.poller.call_later(_VM_LIST_INTERVAL_MS, self._read_vms)

    def _new_node(self) -> node.Node:
        settings = self.settings
        return node.Node(
            node.Identity(
                settings_records.member_record(
                    settings,
                    secrets.token_hex(_BOOT_ID_BYTES),
                ),
                settings_records.group_records(settings),
                self.cluster_key,
                settings.status_wait_ms,
                self.rng,
                cluster.ClusterSettings(
                    settings_records.seed_records(settings),
                    gossip.Settings(
                        settings.gossip_ms,
                        settings.fanout,
                        settings.freshness_ms,
                    ),
                    settings.lease_ttl_floor_ms,
                ),
            ),
        )

    def _create_tasks(self) -> None:
        settings = self.settings
        deliver = self.switch.deliver
        instances = self._instances()
        self.callers = callers.HttpCallers(
            self.poller,
            self.node.numbers,
            deliver,
        )
        self.operators = operators.HttpOperators(
            self.poller,
            text_file.read_key(settings.listeners.operator.key_file),
            deliver,
        )
        self.backends = backends.HttpBackends(self.poller, instances, deliver)
        self.store = etcd.EtcdStore(
            self.poller,
            [(place.host, place.port) for place in settings.store.endpoints],
            deliver,
            settings.store.call_timeout_ms,
        )
        self.vms = vm_list.HttpVmList(
            self.poller,
            (settings.vm_list.host, settings.vm_list.port),
            instances,
            deliver,
        )
        self.peers = peers.Peers(
            self.poller,
            handshake.Hello(
                settings.cluster,
                handshake.PROTOCOL_VERSION,
                settings.node,
                self.node.identity.member.boot,
                b'',
            ),
            self.cluster_key,
            self.rng,
            contexts.peer(settings.listeners.peer.tls),
        )

    def _instances(self) -> list[topology.Instance]:
        return [
            instance
            for group in self.node.identity.groups
            for instance in group.instances
        ]

    def _connect_tasks(self) -> None:
        self.peers.deliver = self.switch.deliver
        self.peers.on_failure = self._on_peer_failure
        self.callers.open_session = self.node.entry.signer.open_session
        self.callers.ready = self._is_ready
        self.callers.count = self._count
        self.operators.count = self._count
        self.operators.status = self._status
        self.operators.presets = self._presets
        self.operators.drain = self._drain
        connect = self.switch.connect
        connect(messages.CallerAnswer, self._answer)
        connect(operator_changes.ChangeAnswer, self.operators.answer)
        connect(messages.PeerSend, self.peers.send)
        connect(messages.MemberAddresses, self._update_members)
        connect(messages.StoreCall, self.store.call)
        connect(messages.StoreCancel, self.store.cancel)
        connect(messages.DecisionLine, self._write_line)
        connect(messages.Count, self.metrics.count)
        switch.connect_backends(self.switch, self.backends)

    def _tick(self) -> None:
        self.switch.tick()
        self.telemetry.on_tick(self.poller.clock.now_ms())

    def _answer(self, message: messages.CallerAnswer) -> None:
        self.telemetry.on_answer(message)
        self.callers.answer(message)

    def _write_line(self, line: messages.DecisionLine) -> None:
        self.telemetry.on_line(line)
        self.log.write(line)

    def _update_members(self, message: messages.MemberAddresses) -> None:
        seeds = {seed.name: seed for seed in self.node.identity.services.seeds}
        self.peers.know({**seeds, **message.members}.values())

    def _on_peer_failure(self, failure: typing.Any) -> None:
        code = failure.kind.code
        self._count(f'peers.{code}')

    def _count(self, name: str) -> None:
        self.metrics.count(messages.Count(name))

    def _is_ready(self) -> bool:
        return self.node.ready

    def _drain(self) -> None:
        self.stopping.begin()

    def _status(self) -> inspection.Document:
        return inspection.status(self.node, self.poller.clock.now_ms())

    def _presets(self) -> inspection.Document:
        return inspection.preset_documents(self.node)


def run(settings: settings_records.Settings) -> None:
    """Run a proxy until it is stopped.

    Args:
      settings: Checked settings.
    """
    Application(settings).run()
