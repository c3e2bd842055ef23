"""Decision code of many nodes in one process and in virtual time.

The nodes run the real decision code against the store model. Messages
between them pass through the real peer codec, so that their bytes and the
processor time of encoding count. Sockets, HTTP and the event loop do not
run, so the processor time is that of decisions and codec only.
"""

import collections
import functools
import random
import time
import typing

from bench import virtual_store
from jacinthhaven.adapters import peer_codec
from jacinthhaven.decide import messages, node
from jacinthhaven.records import topology
from scenarios import events, fake_instances

TICK_MS = 20
_FRAME_BYTES = 4
_STATUS_WAIT_MS = 50
_NEAR_MS = 0.5
_FAR_MS = 30
_ZONES_PER_REGION = 2.5
_BOOT_BYTES = 16
_START_SPREAD_MS = 1000
CLUSTER_KEY = b'bench cluster key of 32 bytes...'


class Host:
    """One node and what it has used.

    Attributes:
      cpu_ns: Processor time of decisions and codec.
      longest_ns: Longest time in which nothing else could run.
      sent_bytes: Bytes of peer messages sent, with the length prefix.
      received_bytes: Bytes of peer messages received.
      sent: Number of peer messages sent.
      calls: Number of store calls.
      in_force_ms: When the policy revision in force last changed.
    """

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Create a node that knows nothing."""
        self.fleet = fleet
        self.name = f'proxy-{number:04d}'
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.node = new_node(self.name, self.zone, fleet.groups, number)
        self.backends: typing.Any = None
        self.cpu_ns = 0
        self.longest_ns = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent = 0
        self.calls = 0
        self.revision = 0
        self.in_force_ms = 0
        self.answers: list[typing.Any] = []
        self.lines: collections.Counter[str] = collections.Counter()
        self.handlers: dict[type, typing.Callable] = {
            messages.PeerSend: self._send,
            messages.StoreCall: self._call,
            messages.StoreCancel: self._cancel,
            messages.DecisionLine: self._log,
        }

    def attach(self, group: fake_instances.Group) -> None:
        """Connect the node to instances in virtual time."""
        self.backends = fake_instances.Backends(self.name, group, self.deliver)
        self.handlers[messages.BackendOpen] = self.backends.open
        self.handlers[messages.BackendCall] = self.backends.call
        self.handlers[messages.BackendClose] = self.backends.close

    def tick(self) -> None:
        """Advance the timers and schedule the next tick."""
        self.fleet.events.after(TICK_MS, self.tick)
        started_ns = time.thread_time_ns()
        out = self.node.tick(self.fleet.events.now_ms)
        self._spend(time.thread_time_ns() - started_ns)
        self.dispatch(out)

    def deliver(self, message: typing.Any) -> None:
        """Hand a message to the decision code."""
        started_ns = time.thread_time_ns()
        out = self.node.handle(message, self.fleet.events.now_ms)
        self._spend(time.thread_time_ns() - started_ns)
        self.dispatch(out)

    def receive(self, source: str, raw: bytes) -> None:
        """Decode a peer message and hand it to the decision code."""
        self.received_bytes += len(raw) + _FRAME_BYTES
        started_ns = time.thread_time_ns()
        payload = peer_codec.decode(raw)
        self.cpu_ns += time.thread_time_ns() - started_ns
        self.deliver(messages.PeerReceived(source, payload))

    def dispatch(self, out: list[typing.Any]) -> None:
        """Carry out the messages of the decision code."""
        for message in out:
            handler = self.handlers.get(type(message))
            if handler is None:
                self.answers.append(message)
            else:
                handler(message)
        if self.node.policy.revision != self.revision:
            self.revision = self.node.policy.revision
            self.in_force_ms = self.fleet.events.now_ms

    def _spend(self, spent_ns: int) -> None:
        self.cpu_ns += spent_ns
        self.longest_ns = max(self.longest_ns, spent_ns)

    def _send(self, message: messages.PeerSend) -> None:
        target = self.fleet.hosts.get(message.member)
        if target is None:
            lost = messages.PeerLost(message.member)
            self.fleet.events.after(1, functools.partial(self.deliver, lost))
            return
        started_ns = time.thread_time_ns()
        raw = peer_codec.encode(message.payload)
        self.cpu_ns += time.thread_time_ns() - started_ns
        self.sent += 1
        self.sent_bytes += len(raw) + _FRAME_BYTES
        self.fleet.events.after(
            self.fleet.latency_ms(self.zone, target.zone),
            functools.partial(target.receive, self.name, raw),
        )

    def _call(self, message: messages.StoreCall) -> None:
        self.calls += 1
        self.fleet.store.call(self, message)

    def _cancel(self, message: messages.StoreCancel) -> None:
        self.fleet.store.cancel(self, message)

    def _log(self, message: messages.DecisionLine) -> None:
        self.lines[message.event] += 1


class Fleet:
    """Nodes, their network and the store."""

    def __init__(
        self,
        nodes: int,
        zones: int,
        groups: tuple[topology.Group, ...] = (),
    ) -> None:
        """Create the nodes; they start within the first second."""
        self.events = events.Events(nodes)
        self.now_ms = 0
        self.zones = [f'zone-{number:02d}' for number in range(zones)]
        self.groups = groups
        self.store = virtual_store.Store(self.events)
        created = [Host(self, number) for number in range(nodes)]
        self.hosts = {host.name: host for host in created}
        for host in created:
            delay_ms = self.events.rng.uniform(0, _START_SPREAD_MS)
            self.events.after(delay_ms, host.tick)

    def run_for(self, span_ms: int) -> None:
        """Advance the virtual time."""
        # The clock stands at the last event, which may be earlier.
        self.now_ms += span_ms
        self.events.run(self.now_ms)

    def latency_ms(self, first: str, second: str) -> float:
        """Return the one-way latency between two zones.

        The platform names no latency between regions; 30 ms is assumed.
        """
        if self.region(first) == self.region(second):
            return _NEAR_MS
        return _FAR_MS

    def region(self, zone: str) -> int:
        """Return the region of a zone."""
        return int(self.zones.index(zone) / _ZONES_PER_REGION)

    def settled(self) -> bool:
        """Return whether every node knows all others."""
        return all(
            len(host.node.cluster.directory.members) == len(self.hosts)
            for host in self.hosts.values()
        )

    def reset(self) -> None:
        """Start to count anew."""
        self.store.counts.clear()
        for host in self.hosts.values():
            host.cpu_ns = 0
            host.longest_ns = 0
            host.sent_bytes = 0
            host.received_bytes = 0
            host.sent = 0
            host.calls = 0


def new_node(
    name: str,
    zone: str,
    groups: tuple[topology.Group, ...],
    seed: int,
) -> node.Node:
    """Return a node of a virtual fleet that knows nothing."""
    rng = random.Random(seed)  # noqa: S311
    boot = rng.randbytes(_BOOT_BYTES // 2).hex()
    member = topology.Member(name, boot, '10.0.0.1', 7000, zone)
    return node.Node(
        node.Identity(member, groups, CLUSTER_KEY, _STATUS_WAIT_MS, rng),
    )


def new_groups(count: int) -> tuple[topology.Group, ...]:
    """Return groups of three databases on three instances each."""
    return tuple(
        topology.Group(
            f'group-{number:04d}',
            tuple(
                topology.Instance(
                    f'instance-{number:04d}-{place}',
                    '10.1.0.1',
                    9000,
                    f'zone-{place:02d}',
                )
                for place in range(3)
            ),
            tuple(f'database-{number:04d}-{place}' for place in range(3)),
            20,
        )
        for number in range(count)
    )
