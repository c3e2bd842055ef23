"""Proxy processes around the real decision code, and their peer network.

A proxy delivers every message in virtual time; nothing of the decision
code is replaced, except by the deliberately broken variants.
"""

import collections
import functools
import random
import traceback
import typing

from jacinthhaven.decide import messages, node
from jacinthhaven.records import callers, peers, presets, topology
from scenarios import events, fake_instances

TICK_MS = 20
_STATUS_WAIT_MS = 200
# The peer transport ends a connection whose bytes stay unacknowledged.
_SILENCE_MS = 3000
_CONNECT_TIMEOUT_MS = 1000
_DISORDER_MS = 400
CLUSTER_KEY = b'scenario cluster key of 32 bytes'

Reply = typing.Callable[[callers.Answer | None], None]


class PeerNetwork:
    """Ordered connections between the proxies."""

    def __init__(self, network: events.Network) -> None:
        """Start without proxies."""
        self.network = network
        self.events = network.events
        self.proxies: dict[str, Proxy] = {}
        self.links: dict[frozenset[str], dict[str, events.Pipe]] = {}
        # Probability that an answer arrives a second time, much later.
        self.disorder = float(0)

    def send(self, source: 'Proxy', message: messages.PeerSend) -> None:
        """Deliver a payload or report the loss of the peer."""
        ends = frozenset((source.name, message.member))
        target = self.proxies.get(message.member)
        if target is None or not target.alive:
            delay_ms = self.network.latency_us(ends) / events.US_PER_MS
            lost = messages.PeerLost(message.member)
            self.events.after(2 * delay_ms, lambda: source.deliver(lost))
            return
        if ends in self.network.cuts:
            self._watch(ends, bool(ends in self.links))
        link = self.links.get(ends) or self._connect(ends)
        received = messages.PeerReceived(source.name, message.payload)
        link[target.name].send(lambda: target.deliver(received))
        answer = isinstance(message.payload, peers.ForwardAnswer)
        if answer and self.events.rng.random() < self.disorder:
            delay_ms = self.events.rng.uniform(0, _DISORDER_MS)
            self.events.after(delay_ms, lambda: target.deliver(received))

    def break_link(self, ends: frozenset[str]) -> None:
        """Lose everything in flight between two proxies."""
        link = self.links.pop(ends, None)
        if link is None:
            return
        for pipe in link.values():
            pipe.close()
        first, second = sorted(ends)
        self.proxies[first].deliver(messages.PeerLost(second))
        self.proxies[second].deliver(messages.PeerLost(first))

    def drop(self, name: str) -> None:
        """Break all links of a process that ended."""
        for ends in tuple(self.links):
            if name in ends:
                delay_ms = self.network.latency_us(ends) / events.US_PER_MS
                lost = functools.partial(self.break_link, ends)
                self.events.after(delay_ms, lost)

    def _connect(self, ends: frozenset[str]) -> dict[str, events.Pipe]:
        first, second = sorted(ends)
        link = {
            first: self.network.pipe(second, first),
            second: self.network.pipe(first, second),
        }
        self.links[ends] = link
        return link

    def _watch(self, ends: frozenset[str], opened: bool) -> None:
        """Break a link that is still cut after the timeout."""
        limit_ms = _SILENCE_MS if opened else _CONNECT_TIMEOUT_MS
        self.events.after(limit_ms, lambda: self._check(ends))

    def _check(self, ends: frozenset[str]) -> None:
        if ends in self.network.cuts:
            self.break_link(ends)


class Proxy:
    """One proxy process; replaced by a new one after its end."""

    def __init__(
        self,
        name: str,
        zone: str,
        groups: tuple[topology.Group, ...],
        peer_network: PeerNetwork,
        group: fake_instances.Group,
    ) -> None:
        """Create a process that is not running."""
        self.name = name
        self.groups = groups
        self.peer_network = peer_network
        self.group = group
        self.events = peer_network.events
        self.alive = False
        self.paused = False
        self.boots = 0
        self.directory_epoch = 0
        self.inbox: collections.deque[events.Action] = collections.deque()
        self.exchanges: dict[int, Reply] = {}
        self.lines: list[tuple[int, str, messages.DecisionLine]] = []
        self.errors: list[str] = []
        peer_network.proxies[name] = self
        peer_network.network.zones[name] = zone

    def start(self) -> None:
        """Start the process with a node that knows nothing."""
        self.alive = True
        self.directory_epoch = 0
        self.paused = False
        self.boots += 1
        seed = self.events.rng.random()
        rng = random.Random(seed)  # noqa: S311
        member = topology.Member(
            self.name,
            str(self.boots),
            '127.0.0.1',
            0,
            self.peer_network.network.zones[self.name],
        )
        self.node = node.Node(
            node.Identity(
                member,
                self.groups,
                CLUSTER_KEY,
                _STATUS_WAIT_MS,
                rng,
            ),
        )
        self.backends = fake_instances.Backends(
            self.name,
            self.group,
            self.deliver,
        )
        self.handlers = {
            messages.CallerAnswer: self._answer,
            messages.BackendOpen: self.backends.open,
            messages.BackendCall: self.backends.call,
            messages.BackendClose: self.backends.close,
            messages.PeerSend: functools.partial(self.peer_network.send, self),
            messages.Count: _ignore,
            messages.DecisionLine: self._log,
        }
        self._tick(self.boots)

    def kill(self) -> None:
        """End the process at once."""
        if not self.alive:
            return
        self.alive = False
        self.inbox.clear()
        self.backends.close_all()
        self.peer_network.drop(self.name)
        waiting = self.exchanges
        self.exchanges = {}
        for reply in waiting.values():
            reply(None)

    def pause(self) -> None:
        """Stop executing; what arrives waits in the socket buffers."""
        self.paused = True

    def resume(self) -> None:
        """Execute what arrived during the pause, timers first or last."""
        self.paused = False
        if self.alive and self.events.rng.random() < 1 / 2:
            self._decide(self.node.tick)
        while self.inbox and not self.paused:
            self.inbox.popleft()()

    def run(self, action: events.Action) -> None:
        """Run an action now, or after the pause; never after the end."""
        if not self.alive:
            return
        if self.paused:
            self.inbox.append(action)
        else:
            action()

    def deliver(self, message: typing.Any) -> None:
        """Hand a message to the decision code."""
        self.run(functools.partial(self._handle, message))

    def accept(
        self,
        database: str,
        body: callers.StatementRequest | callers.OutcomeRequest,
        reply: Reply,
        keep: typing.Callable[[int], None],
    ) -> None:
        """Accept a caller's request.

        Args:
          database: Name of the database.
          body: Statement or outcome request.
          reply: Called with the answer, or None if the process ends.
          keep: Called with the number of the request.
        """
        if self.alive:
            action = functools.partial(
                self._accept,
                database,
                body,
                reply,
                keep,
            )
            self.run(action)
        else:
            reply(None)

    def forget(self, number: int) -> None:
        """Report that a caller closed its connection."""
        if self.exchanges.pop(number, None) is not None:
            self.deliver(messages.CallerGone(number))

    def use_topology(
        self,
        members: list[topology.Member],
        slots: list[topology.Slot],
    ) -> None:
        """Adopt members and slots from the directory."""
        self._decide(self.node.set_topology, members, slots)

    def use_policy(self, policy: presets.Policy) -> None:
        """Adopt a configuration."""
        if policy.revision >= self.node.policy.revision:
            self.node.adopt_policy(policy)

    def send(self, out: list[typing.Any]) -> None:
        """Hand messages of the decision code to the tasks."""
        for message in out:
            self.handlers[type(message)](message)

    def _handle(self, message: typing.Any) -> None:
        self._decide(self.node.handle, message)

    def _decide(
        self,
        step: typing.Callable[..., list[typing.Any]],
        *arguments: typing.Any,
    ) -> None:
        """Run decision code; record an exception as an error."""
        try:
            out = step(*arguments, self.events.now_ms)
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            self.errors.append(f'{error!r} in {place.name}')
        else:
            self.send(out)

    def _accept(
        self,
        database: str,
        body: callers.StatementRequest | callers.OutcomeRequest,
        reply: Reply,
        keep: typing.Callable[[int], None],
    ) -> None:
        number = next(self.node.numbers)
        self.exchanges[number] = reply
        keep(number)
        request = messages.CallerOutcome
        if isinstance(body, callers.StatementRequest):
            request = messages.CallerRequest
        self._handle(request(number, database, body))

    def _log(self, message: messages.DecisionLine) -> None:
        self.lines.append((self.events.now_ms, self.name, message))

    def _answer(self, message: messages.CallerAnswer) -> None:
        reply = self.exchanges.pop(message.number, None)
        if reply is not None:
            reply(message.answer)

    def _tick(self, boot: int) -> None:
        if not self.alive or boot != self.boots:
            return
        self.events.after(TICK_MS, functools.partial(self._tick, boot))
        if not self.paused:
            self._decide(self.node.tick)


def _ignore(_message: typing.Any) -> None:
    """Accept a message that no check needs."""
