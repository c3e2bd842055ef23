"""Nodes with limits on a simulated network, for tests."""

import collections
import heapq
import itertools
import random
import typing

from jacinthhaven.quotas import limits, messages, quotas

_TICK_MS = 10
_WINDOW_MS = limits.DEFAULT_SLACK.window_ms
_order = itertools.count()
# What a node does at a time; delivered in order of time.
_Event = tuple[int, int, str, typing.Any]


class Network(typing.NamedTuple):
    """Behaviour of the links.

    Attributes:
      loss: Share of the datagrams that are lost.
      duplicated: Share that arrives twice.
      late: Share that is delayed by up to `late_ms`.
      late_ms: Longest delay of these.
    """

    loss: float = 0
    duplicated: float = 0
    late: float = 0
    late_ms: int = 0


GOOD_NETWORK = Network()


class Tally:
    """What happened to the operations, and which messages were sent.

    Attributes:
      offered: Number of operations by customer.
      refused: Number of refused operations by customer.
      admitted_ms: Times of admitted operations by customer.
      waited_ms: Waiting times of admitted operations.
      sent: Number of messages by type.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.offered: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.admitted_ms: dict[str, list[int]] = {}
        self.waited_ms: list[int] = []
        self.sent: collections.Counter[str] = collections.Counter()

    def most_in_window(self, customer: str) -> int:
        """Return the most operations admitted in any window."""
        times = sorted(self.admitted_ms.get(customer, ()))
        most = 0
        first = 0
        for last, time_ms in enumerate(times):
            while times[first] <= time_ms - _WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most


class Fleet:
    """Nodes, a network and operations of customers in virtual time.

    Attributes:
      nodes: Running nodes by name.
      frozen_until_ms: Time until which a node stands still, by name.
      group: Number of the partition of each node, by name; nodes in different
        ones do not reach each other.
      views: Owners as each node knows them.
      waiting: When each waiting operation arrived, by node and customer.
      tally: What happened.
    """

    def __init__(
        self,
        seed: int,
        network: Network = GOOD_NETWORK,
        slack: limits.Slack = limits.DEFAULT_SLACK,
    ) -> None:
        """Start without nodes."""
        self.rng = random.Random(seed)
        self.network = network
        self.slack = slack
        self.now_ms = 1_000_000
        self.nodes: dict[str, quotas.Quotas] = {}
        self.frozen_until_ms: dict[str, int] = {}
        self.group: dict[str, int] = {}
        self.views: dict[str, tuple[str, ...]] = {}
        self.limits: dict[str, limits.Limit] = {}
        self.events: list[_Event] = []
        self.waiting: dict[tuple[str, str], list[int]] = {}
        self.tally = Tally()

    def start(self, name: str, owners: typing.Iterable[str]) -> None:
        """Start or restart a node, which knows the limits and some owners."""
        for key in self.waiting:
            if key[0] == name:
                self.waiting[key] = []
        node = quotas.Quotas(
            lambda receiver, message: self._send(name, receiver, message),
            random.Random(self.rng.random()),
            self.slack,
        )
        node.on_granted = lambda customer, _now_ms: self._ask_again(
            name, customer
        )
        self.nodes[name] = node
        self.frozen_until_ms.pop(name, None)
        node.configure(self.limits, self.now_ms)
        self.show_owners(name, owners)

    def stop(self, name: str) -> None:
        """Kill a node."""
        self.nodes.pop(name, None)

    def show_owners(self, name: str, owners: typing.Iterable[str]) -> None:
        """Let a node know some owners."""
        self.views[name] = tuple(owners)
        node = self.nodes.get(name)
        if node is not None:
            node.update_owners(self.views[name], name, self.now_ms)

    def configure(self, new: dict[str, limits.Limit]) -> None:
        """Bring new limits into force at all nodes."""
        self.limits = new
        for node in self.nodes.values():
            node.configure(new, self.now_ms)

    def add(self, at_ms: int, kind: str, event: typing.Any) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.events, (at_ms, next(_order), kind, event))

    def operate(self, name: str, customer: str, at_ms: int) -> None:
        """Let an operation of a customer arrive at a node at a time."""
        self.add(at_ms, 'operate', (name, customer))

    def configure_node(self, name: str, new: dict[str, limits.Limit]) -> None:
        """Bring new limits into force at one node."""
        node = self.nodes.get(name)
        if node is not None:
            node.configure(new, self.now_ms)

    def run(self, duration_ms: int) -> None:
        """Let all happen that is due within a time."""
        end_ms = self.now_ms + duration_ms
        self.add(self.now_ms, 'tick', None)
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _order, kind, event = heapq.heappop(self.events)
            self.now_ms = max(self.now_ms, at_ms)
            if kind == 'tick':
                self._tick(end_ms)
            elif kind == 'call':
                event()
            elif self._is_awake(event[0], kind, event):
                self._handle(kind, event)
        self.now_ms = end_ms

    def _tick(self, end_ms: int) -> None:
        for name, node in self.nodes.items():
            if self.frozen_until_ms.get(name, 0) <= self.now_ms:
                node.tick(self.now_ms)
        if self.now_ms + _TICK_MS <= end_ms:
            self.add(self.now_ms + _TICK_MS, 'tick', None)

    def _is_awake(self, name: str, kind: str, event: typing.Any) -> bool:
        """Return whether a node runs; put off what a frozen one gets."""
        until_ms = self.frozen_until_ms.get(name, 0)
        if until_ms > self.now_ms:
            self.add(until_ms, kind, event)
            return False
        return name in self.nodes

    def _handle(self, kind: str, event: typing.Any) -> None:
        match kind:
            case 'operate':
                self._on_operate(*event)
            case 'again':
                self._on_again(*event)
            case 'deliver':
                name, message = event
                self.nodes[name].on_message(message, self.now_ms)
            case 'owners':
                self.show_owners(*event)
            case 'limits':
                self.configure_node(*event)

    def _on_operate(self, name: str, customer: str) -> None:
        self.tally.offered[customer] += 1
        self._ask(name, customer, self.now_ms, None)

    def _on_again(self, name: str, customer: str, asked_ms: int) -> None:
        waiting = self.waiting.get((name, customer), [])
        if asked_ms in waiting:
            waiting.remove(asked_ms)
            self._ask(name, customer, asked_ms, asked_ms)

    def _ask_again(self, name: str, customer: str) -> None:
        waiting = self.waiting.pop((name, customer), [])
        for asked_ms in waiting:
            self._ask(name, customer, asked_ms, asked_ms)

    def _ask(
        self, name: str, customer: str, since_ms: int, asked_ms: int | None
    ) -> None:
        answer = self.nodes[name].admit(customer, self.now_ms, asked_ms)
        if answer.admitted:
            times = self.tally.admitted_ms.setdefault(customer, [])
            times.append(self.now_ms)
            self.tally.waited_ms.append(self.now_ms - since_ms)
        elif answer.wait_until_ms is None:
            self.tally.refused[customer] += 1
        else:
            key = (name, customer)
            self.waiting.setdefault(key, []).append(since_ms)
            again = (name, customer, since_ms)
            self.add(answer.wait_until_ms, 'again', again)

    def _send(
        self, sender: str, receiver: str, message: messages.Message
    ) -> None:
        self.tally.sent[type(message).__name__] += 1
        if self.group.get(sender, 0) != self.group.get(receiver, 0):
            return
        net = self.network
        copies = 1 + (self.rng.random() < net.duplicated)
        for _ in range(copies):
            if self.rng.random() < net.loss:
                continue
            delay_ms = 1
            if self.rng.random() < net.late:
                delay_ms = self.rng.randrange(1, net.late_ms)
            self.add(self.now_ms + delay_ms, 'deliver', (receiver, message))
