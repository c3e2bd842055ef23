"""Plays an experiment against the product's decisions in virtual time.

One proxy owns the service. Arrivals are open: they do not slow down when the
proxy does. The platform is reduced to its promotion of an instance: when the
leader is silent, the replica that has received most leads after the time of
suspicion and promotion.
"""

import collections
import functools
import math
import random
import typing

from jacinthhaven.lab import (
    constants,
    emulator,
    experiment,
    outcomes,
    schedule,
)
from jacinthhaven.platform import client_wire
from jacinthhaven.sql import election, gateway, ports, records, statements

# As in the process.
_TICK_MS = 20
# Time for the links to open before the load starts.
_LEAD_MS = 1000
_ZONE = 'a'
_MS_PER_S = 1000

_PROMISES = frozenset(
    (
        statements.Code.BUSY,
        statements.Code.ABORTED,
        statements.Code.BEHIND,
        statements.Code.READ_ONLY,
    ),
)


class Request:
    """One request of a client, with its repetitions.

    Attributes:
      kind: Name of its kind.
      text: Statement.
      work_ms: Time that it occupies a slot.
      arrived_ms: When the client sent it first.
      retries: How often it may be repeated.
    """

    __slots__ = ('kind', 'text', 'work_ms', 'arrived_ms', 'retries')

    def __init__(
        self,
        kind: str,
        text: str,
        work_ms: float,
        arrived_ms: int,
        retries: int,
    ) -> None:
        """Describe a request that arrives now."""
        self.kind = kind
        self.text = text
        self.work_ms = work_ms
        self.arrived_ms = arrived_ms
        self.retries = retries


class CountingJournal(ports.Journal):
    """Counts decisions and writes nothing."""

    def __init__(self) -> None:
        """Start without decisions."""
        self.events: collections.Counter[str] = collections.Counter()

    def write(self, event: str, fields: ports.Fields) -> None:
        """Count a decision."""
        self.events[event] += 1

    def count(self, name: str, label: str = '') -> None:
        """Ignore a counter of the process."""

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Ignore a time of the process."""


class Clients(ports.Clients):
    """Clients that send one statement on each connection.

    Attributes:
      on_answer: Called with the number of the connection and its answer.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.on_answer: typing.Callable[[int, statements.Answer], None] = (
            _ignore
        )

    def answer(self, number: int, answer: statements.Answer) -> None:
        """Pass an answer on."""
        self.on_answer(number, answer)

    def send_line(self, number: int, line: str) -> None:
        """Refuse lines of other nodes; an experiment has one proxy."""
        raise NotImplementedError(line)

    def accept(self, number: int) -> None:
        """Accept a session."""

    def refuse(self, number: int, code: statements.Code) -> None:
        """Pass a refusal on."""
        self.on_answer(number, statements.Answer(code=code))

    def close(self, number: int) -> None:
        """Accept the end of a connection."""

    def has_more(self, number: int) -> bool:
        """Return that a client sends nothing further."""
        return False

    def stop_accepting(self) -> None:
        """Do nothing; the proxy of an experiment does not stop."""


class Player:
    """One play of one variant with one seed.

    Attributes:
      tallies: Outcomes by kind.
      journal: Decisions of the proxy.
    """

    def __init__(self, described: experiment.Experiment, seed: int) -> None:
        """Start the group and the proxy."""
        self.described = described
        # Arrivals are the same for all variants of a seed.
        self.arrivals = {
            kind: random.Random(f'{seed} {kind}') for kind in described.load
        }
        self.plan = schedule.Schedule(_LEAD_MS)
        self.databases = emulator.Emulator(
            described.group,
            self.plan,
            random.Random(f'{seed} faults'),
        )
        self.clients = Clients()
        self.clients.on_answer = self._on_answer
        self.journal = CountingJournal()
        self.gateway = gateway.Gateway(
            _ZONE,
            self.databases,
            self.clients,
            self.journal,
        )
        self.tallies = {kind: outcomes.Tally() for kind in described.load}
        self.open: dict[int, Request] = {}
        self.number = 0
        self.silent_ms: int | None = None

    def play(self) -> outcomes.Tallies:
        """Play to the end and return what callers got."""
        self._configure()
        start_ms = self.plan.now_ms + _LEAD_MS
        self.plan.at(self.plan.now_ms, self._tick)
        self._plan_faults(start_ms)
        for name in self.described.load:
            arrive = functools.partial(self._arrive, name, start_ms)
            self.plan.at(start_ms, arrive)
        longest_ms = max(
            kind.deadline_ms for kind in self.described.load.values()
        )
        self.plan.run(start_ms + self.described.length_ms + longest_ms)
        for number in tuple(self.open):
            self._end(number, outcomes.Outcome.FAILED)
        return self.tallies

    def _configure(self) -> None:
        routes = {
            name: records.Route(
                name,
                emulator.SERVICE,
                kind.route_mode,
                kind.deadline_ms,
                kind.target_ms,
                kind.priority,
                kind.max_age_ms,
            )
            for name, kind in self.described.load.items()
        }
        group = self.described.group
        service = records.Service(emulator.SERVICE, group.connections, 0)
        now_ms = self.plan.now_ms
        self.gateway.configure(
            records.Configuration(1, routes, {emulator.SERVICE: service}, 0),
            now_ms,
        )
        self.gateway.set_link_shares(1)
        known = self.gateway.groups[emulator.SERVICE]
        self.databases.on_open = self._timed(known.on_open)
        self.databases.on_reply = self._timed(known.on_reply)
        self._register()

    def _register(self) -> None:
        group = self.described.group
        entries = [
            records.Instance(
                name,
                emulator.SERVICE,
                ('127.0.0.1', 1),
                _ZONE,
                group.slots,
                leaving=False,
                claims_primary=name == self.databases.group.primary,
            )
            for name in group.instances
        ]
        self.gateway.register(entries, self.plan.now_ms)

    def _timed(self, handler: typing.Callable) -> typing.Callable:
        """Return a handler that adds the current time to its arguments."""

        def call(*args: typing.Any) -> None:  # noqa: WPS430
            handler(*args, self.plan.now_ms)

        return call

    def _tick(self) -> None:
        self.gateway.tick(self.plan.now_ms)
        self._watch_leader()
        self.plan.at(self.plan.now_ms + _TICK_MS, self._tick)

    def _watch_leader(self) -> None:
        """Let the platform promote a replica once the leader is doubted."""
        group = self.databases.group
        if group.primary not in self.databases.silent:
            self.silent_ms = None
            return
        if self.silent_ms is None:
            self.silent_ms = self.plan.now_ms
        silent_ms = self.plan.now_ms - self.silent_ms
        wait_ms = election.SUSPICION_MS + self.described.group.promote_ms
        able = [
            instance
            for name, instance in group.instances.items()
            if name not in self.databases.silent
        ]
        if silent_ms >= wait_ms and able:
            best = max(able, key=lambda instance: instance.received)
            group.promote(best.name)

    def _plan_faults(self, start_ms: int) -> None:
        for fault in self.described.faults:
            begin = functools.partial(self._set_fault, fault, active=True)
            end = functools.partial(self._set_fault, fault, active=False)
            self.plan.at(start_ms + fault.at_ms, begin)
            self.plan.at(start_ms + fault.at_ms + fault.for_ms, end)

    def _set_fault(self, fault: experiment.Fault, *, active: bool) -> None:
        name = fault.instance
        strength = fault.strength if active else 0
        databases = self.databases
        match fault.kind:
            case 'silent' if active:
                databases.silent.add(name)
            case 'silent':
                databases.silent.discard(name)
            case 'lag':
                usual_ms = self.described.group.lag_ms
                instance = databases.group.instances[name]
                instance.lag_ms = int(strength) or usual_ms
            case 'slow':
                databases.slots[name].factor = strength or 1
            case _:
                databases.lossy[name] = strength

    def _arrive(self, name: str, start_ms: int) -> None:
        """Send one request and plan the next one of its kind."""
        kind = self.described.load[name]
        now_ms = self.plan.now_ms
        elapsed_ms = now_ms - start_ms
        if elapsed_ms >= self.described.length_ms:
            return
        rng = self.arrivals[name]
        text = f'READ {name}'
        if rng.random() < kind.writes:
            text = f'WRITE {name} 1'
        work_ms = rng.expovariate(1 / kind.work_ms)
        self._send(Request(name, text, work_ms, now_ms, kind.retries))
        per_ms = kind.per_s * self._factor(elapsed_ms) / _MS_PER_S
        self.plan.at(
            now_ms + rng.expovariate(per_ms),
            functools.partial(self._arrive, name, start_ms),
        )

    def _factor(self, elapsed_ms: int) -> float:
        """Return how many times as many requests as usual arrive."""
        factors = [
            burst.factor
            for burst in self.described.bursts
            if 0 <= elapsed_ms - burst.at_ms < burst.for_ms
        ]
        return math.prod(factors)

    def _send(self, request: Request) -> None:
        self.number += 1
        number = self.number
        self.open[number] = request
        request_id = f'r{number}'
        self.databases.work_ms[request_id] = request.work_ms
        line = f'QUERY {request_id} {request.text}'
        self.gateway.on_start(number, request.kind)
        self.gateway.on_statement(
            number,
            client_wire.decode_query(line),
            self.plan.now_ms,
        )
        kind = self.described.load[request.kind]
        due_ms = request.arrived_ms + kind.deadline_ms
        self.plan.at(due_ms, functools.partial(self._give_up, number))

    def _give_up(self, number: int) -> None:
        if number in self.open:
            self._end(number, outcomes.Outcome.FAILED)

    def _on_answer(self, number: int, answer: statements.Answer) -> None:
        request = self.open.get(number)
        if request is None:
            return
        kind = self.described.load[request.kind]
        spent_ms = self.plan.now_ms - request.arrived_ms
        if answer.code is None:
            in_time = spent_ms <= kind.target_ms
            late = outcomes.Outcome.LATE
            self._end(number, outcomes.Outcome.IN_TIME if in_time else late)
        elif answer.code in _PROMISES:
            self._refused(number, request)
        elif answer.code is statements.Code.OUTCOME_UNKNOWN:
            self._end(number, outcomes.Outcome.IN_DOUBT)
        else:
            self._end(number, outcomes.Outcome.FAILED)

    def _refused(self, number: int, request: Request) -> None:
        """Repeat a request that was certainly not executed, or end it."""
        kind = self.described.load[request.kind]
        again_ms = self.plan.now_ms + kind.retry_ms
        if not request.retries or (
            again_ms >= request.arrived_ms + kind.deadline_ms
        ):
            self._end(number, outcomes.Outcome.REFUSED)
            return
        self.open.pop(number)
        request.retries -= 1
        self.plan.at(again_ms, functools.partial(self._send, request))

    def _end(self, number: int, outcome: outcomes.Outcome) -> None:
        request = self.open.pop(number)
        spent_ms = self.plan.now_ms - request.arrived_ms
        tally = self.tallies[request.kind]
        tally.add(outcome, request.arrived_ms - 2 * _LEAD_MS, spent_ms)


def play(
    described: experiment.Experiment,
    variant: str,
    seed: int,
) -> Player:
    """Play one variant with one seed and return the player."""
    with constants.changed(described.variants[variant]):
        player = Player(described, seed)
        player.play()
    return player


def _ignore(_number: int, _answer: statements.Answer) -> None:
    """Do nothing; default of an unset callback."""
