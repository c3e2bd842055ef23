"""Proxy processes around the real decision code, and their peer network.

A proxy delivers every message in virtual time; nothing of the decision
code is replaced, except by the deliberately broken variants.
"""

import collections
import dataclasses
import functools
import random
import traceback
import typing

from jacinthhaven.decide import (
    cluster,
    messages,
    node,
    operator_changes,
)
from jacinthhaven.kernel import clock
from jacinthhaven.process import stopping
from jacinthhaven.records import callers, operators, peers, topology
from scenarios import events, fake_instances, fake_store

TICK_MS = 20
_STATUS_WAIT_MS = 200
# The peer transport ends a connection whose bytes stay unacknowledged.
_SILENCE_MS = 3000
_CONNECT_TIMEOUT_MS = 1000
_DISORDER_MS = 400
CLUSTER_KEY = b'scenario cluster key of 32 bytes'

_VM_LIST_MS = 2000
_OPEN = 'open'
_DRAINING = 'draining'
_CLOSED = 'closed'
# Time that a planned stop may take; the default settings allow more.
_DRAIN_MS = 8000

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


@dataclasses.dataclass(slots=True)
class OperatorAnswer:
    """Answer to a change of an operator."""

    at_ms: int
    result: operators.ChangeResult


@dataclasses.dataclass(slots=True)
class Platform:
    """What all proxies share.

    Attributes:
      group: Database group.
      instances: Instances of the group.
      peer_network: Connections between the proxies.
      store: Key-value store.
      seeds: Members in the settings of every proxy.
      listed: Instances that the VM list shows as leaving.
      answers: Answers to operators.
    """

    group: topology.Group
    instances: fake_instances.Group
    peer_network: PeerNetwork
    store: fake_store.StoreServer
    seeds: tuple[topology.Member, ...] = ()
    listed: set[str] = dataclasses.field(default_factory=set)
    answers: list[OperatorAnswer] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Settings:
    drain_ms: int = _DRAIN_MS


class _Application:
    """Process as the planned stop sees it."""

    def __init__(self, proxy: 'Proxy') -> None:
        """Let the proxy play all parts of the process."""
        self.poller = proxy
        self.callers = proxy
        self.switch = proxy
        self.node = proxy.node
        self.settings = _Settings()
        self.finish = proxy.kill


class Proxy:
    """One proxy process; replaced by a new one after its end."""

    def __init__(self, name: str, zone: str, platform: Platform) -> None:
        """Create a process that is not running."""
        self.name = name
        self.platform = platform
        self.alive = False
        self.paused = False
        self.stage = _OPEN
        self.boots = 0
        self.inbox: collections.deque[events.Action] = collections.deque()
        self.exchanges: dict[int, Reply] = {}
        self.lines: list[tuple[int, str, messages.DecisionLine]] = []
        self.errors: list[str] = []
        self.platform.peer_network.proxies[name] = self
        self.network = platform.instances.network
        self.events = self.network.events
        self.network.zones[name] = zone

    def start(self) -> None:
        """Start the process with a node that knows nothing."""
        self.alive = True
        self.paused = False
        self.stage = _OPEN
        self.boots += 1
        seed = self.events.rng.random()
        rng = random.Random(seed)  # noqa: S311
        member = topology.Member(
            self.name,
            str(self.boots),
            '127.0.0.1',
            0,
            self.network.zones[self.name],
        )
        self.node = node.Node(
            node.Identity(
                member,
                (self.platform.group,),
                CLUSTER_KEY,
                _STATUS_WAIT_MS,
                rng,
                cluster.ClusterSettings(self.platform.seeds),
            ),
        )
        self.backends = fake_instances.Backends(
            self.name,
            self.platform.instances,
            self.deliver,
        )
        self.store = fake_store.Client(
            self.name,
            self.platform.store,
            self.deliver,
        )
        self.handlers = {
            messages.CallerAnswer: self._answer,
            messages.BackendOpen: self.backends.open,
            messages.BackendCall: self.backends.call,
            messages.BackendClose: self.backends.close,
            messages.PeerSend: functools.partial(
                self.platform.peer_network.send, self
            ),
            messages.Count: _ignore,
            messages.DecisionLine: self._log,
            messages.StoreCall: self.store.call,
            messages.StoreCancel: self.store.cancel,
            messages.MemberAddresses: _ignore,
            operator_changes.ChangeAnswer: self._answer_operator,
        }
        self._read_vms(self.boots)
        self._tick(self.boots)

    @property
    def ready(self) -> bool:
        """Return whether the balancer sends new callers to it."""
        return self.alive and self.stage == _OPEN and self.node.ready

    @property
    def closed(self) -> bool:
        """Return whether it accepts no connection any more."""
        return self.stage == _CLOSED

    def kill(self) -> None:
        """End the process at once."""
        if not self.alive:
            return
        self.alive = False
        self.inbox.clear()
        self.backends.close_all()
        self.store.close()
        self.platform.peer_network.drop(self.name)
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
        if self.alive and not self.closed:
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
            self.deliver(messages.CallerDisconnected(number))

    def change(
        self,
        body: operators.PresetSwitch | operators.ConfigApply,
    ) -> None:
        """Accept a change of an operator."""
        number = next(self.node.numbers)
        self.deliver(operator_changes.ChangeRequest(number, body))

    def stop(self) -> None:
        """Start the planned stop."""
        stopping.Stopping(_Application(self)).begin()

    # What the planned stop uses of the parts of a process.

    @property
    def clock(self) -> clock.Clock:
        """Return the clock of the process."""
        return self.events.clock

    @property
    def busy(self) -> int:
        """Return how many requests wait for an answer."""
        return len(self.exchanges)

    def call_later(self, delay_ms: int, action: events.Action) -> None:
        """Run an action after a delay, unless the process ends before."""
        boot = self.boots

        def fire() -> None:  # noqa: WPS430
            if boot == self.boots:
                self.run(action)

        self.events.after(delay_ms, fire)

    def drain(self) -> None:
        """Close the connection of each caller after its next answer."""
        self.stage = _DRAINING

    def close(self) -> None:
        """Accept no connection any more."""
        self.stage = _CLOSED

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

    def _answer_operator(self, message: operator_changes.ChangeAnswer) -> None:
        answer = OperatorAnswer(self.events.now_ms, message.result)
        self.platform.answers.append(answer)

    def _read_vms(self, boot: int) -> None:
        if not self.alive or boot != self.boots:
            return
        again = functools.partial(self._read_vms, boot)
        self.events.after(_VM_LIST_MS, again)
        if self.node.cluster.reader.active:
            listed = frozenset(self.platform.listed)
            self.deliver(messages.VmListUpdate(listed))

    def _tick(self, boot: int) -> None:
        if not self.alive or boot != self.boots:
            return
        self.events.after(TICK_MS, functools.partial(self._tick, boot))
        if not self.paused:
            self._decide(self.node.tick)


def _ignore(_message: typing.Any) -> None:
    """Accept a message that no check needs."""
