"""Load process: callers at a fixed rate or in a closed loop over HTTP.

It runs as a process of its own, so that its processor time does not count
as that of the proxy. The same callers send their statements to a proxy or
straight to the database instances, which gives the baseline of the added
latency. The result is one JSON document on standard output.
"""

import collections
import http
import random
import sys
import time
import typing

import circuits
import msgspec

from bench import processes
from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.records import backend, callers

_NS_PER_US = 1000
_NS_PER_MS = 1_000_000
_RETRY_MS = 50
_KEYS = 64
_STATEMENT = msgspec.json.Decoder(callers.Answer).decode
_EXECUTED = msgspec.json.Decoder(backend.ExecuteReply).decode


class Plan(msgspec.Struct, kw_only=True):
    """Load of one process.

    Attributes:
      name: Name of the process; part of its keys and slots.
      ports: Caller ports, or the ports of the instances in the order of
        the databases of which they are primary.
      databases: Names of the databases.
      callers: Number of concurrent callers.
      interval_ms: Time between two statements of a caller; 0 sends the next
        one as soon as the answer arrives.
      duration_ms: Time during which statements are sent.
      warm_ms: Time at the start whose latencies do not count.
      write_share: Share of writes, 0 to 1.
      max_age_ms: Age that the reads allow.
      direct: Whether the ports belong to instances.
    """

    name: str
    ports: list[int]
    databases: list[str]
    callers: int
    interval_ms: int = 0
    duration_ms: int = 4000
    warm_ms: int = 500
    write_share: float = 0
    max_age_ms: int = 0
    direct: bool = False


class Outcome(msgspec.Struct):
    """Result of one load process.

    Attributes:
      answered: All answered statements.
      by_replica: Those that a replica executed.
      latencies_us: Latency of each statement after the warm-up.
      span_ms: Time over which `latencies_us` were collected.
      errors: Refused statements by error code.
    """

    answered: int = 0
    by_replica: int = 0
    latencies_us: list[int] = msgspec.field(default_factory=list)
    span_ms: float = 0
    errors: dict[str, int] = msgspec.field(default_factory=dict)


class SteadyLoad(circuits.Component):
    """Runs a plan and collects the outcome."""

    channel = 'steady_load'

    def __init__(self, plan: Plan) -> None:
        """Create the callers; they connect when the component starts."""
        super().__init__()
        self.plan = plan
        self.poller = poller.Poller().register(self)
        self.rng = random.Random(plan.name)  # noqa: S311
        self.outcome = Outcome()
        self.errors: collections.Counter[str] = collections.Counter()
        self.origin_ns = 0

    def started(self, _component: typing.Any) -> None:
        """Connect all callers and schedule the end."""
        self.origin_ns = time.monotonic_ns()
        kind = DirectCaller if self.plan.direct else ProxyCaller
        for number in range(self.plan.callers):
            kind(self, number)
        self.poller.call_later(self.plan.duration_ms, self._finish)

    def note(self, started_ns: int, *, by_replica: bool) -> None:
        """Count an answered statement."""
        ended_ns = time.monotonic_ns()
        outcome = self.outcome
        outcome.answered += 1
        outcome.by_replica += by_replica
        elapsed_ms = (started_ns - self.origin_ns) / _NS_PER_MS
        if elapsed_ms >= self.plan.warm_ms:
            latency_us = (ended_ns - started_ns) // _NS_PER_US
            outcome.latencies_us.append(latency_us)

    def _finish(self) -> None:
        elapsed_ms = (time.monotonic_ns() - self.origin_ns) / _NS_PER_MS
        self.outcome.span_ms = elapsed_ms - self.plan.warm_ms
        self.outcome.errors = dict(self.errors)
        sys.stdout.write(msgspec.json.encode(self.outcome).decode())
        sys.stdout.flush()
        self.stop()


class _Caller:
    """One caller with one connection."""

    def __init__(self, load: SteadyLoad, number: int) -> None:
        """Start to connect."""
        self.load = load
        self.number = number
        plan = load.plan
        self.database = plan.databases[number % len(plan.databases)]
        port = plan.ports[number % len(plan.ports)]
        self.sequence = 0
        self.opened = False
        self.started_ns = 0
        self.next_ns = 0
        self.client = http_client.Client(load.poller, (processes.HOST, port))
        self.client.on_open = self.open
        self.client.on_reply = self._on_reply
        self.client.on_lost = self._on_lost

    def open(self) -> None:
        """Send what has to precede the first statement."""
        raise NotImplementedError

    def send(self, kind: str, statement: dict[str, typing.Any]) -> None:
        """Send one statement."""
        raise NotImplementedError

    def read(self, message: http_messages.Message) -> None:
        """Use the answer to a statement."""
        raise NotImplementedError

    def _on_reply(self, message: http_messages.Message) -> None:
        if self.opened:
            self.read(message)
        else:
            self.opened = True
            # Callers that send at the same moment would measure a queue.
            plan = self.load.plan
            phase_ns = plan.interval_ms * _NS_PER_MS * self.number
            self.next_ns = time.monotonic_ns() + phase_ns // plan.callers
        self._schedule()

    def _schedule(self) -> None:
        plan = self.load.plan
        if plan.interval_ms:
            # The rate does not depend on the latency, as far as one
            # connection allows it.
            self.next_ns += plan.interval_ms * _NS_PER_MS
            wait_ns = self.next_ns - time.monotonic_ns()
            wait_ms = max(0, wait_ns // _NS_PER_MS)
            self.load.poller.call_later(wait_ms, self._next)
        else:
            self._next()

    def _next(self) -> None:
        self.sequence += 1
        key = f'{self.load.plan.name}-{self.number}-{self.sequence % _KEYS}'
        self.started_ns = time.monotonic_ns()
        if self.load.rng.random() < self.load.plan.write_share:
            row = {'op': 'put', 'key': key, 'value': self.sequence}
            self.send('write', row)
        else:
            self.send('read', {'op': 'get', 'key': key})

    def _on_lost(self) -> None:
        self.load.errors['connection_lost'] += 1


class ProxyCaller(_Caller):
    """Caller of a proxy with a session."""

    def open(self) -> None:
        """Start a session."""
        self.session = ''
        self.token = ''
        self.client.send('/v1/sessions', b'')

    def send(self, kind: str, statement: dict[str, typing.Any]) -> None:
        """Send one statement of the session."""
        request = callers.StatementRequest(
            kind=kind,
            statement=msgspec.Raw(msgspec.json.encode(statement)),
            session=self.session,
            token=self.token,
        )
        if kind == 'write':
            request.request_id = f'r{self.sequence}'
        else:
            request.max_age_ms = self.load.plan.max_age_ms
        self.client.send(
            f'/v1/databases/{self.database}/statements',
            msgspec.json.encode(request),
        )

    def read(self, message: http_messages.Message) -> None:
        """Keep the token and count the statement."""
        answer = _STATEMENT(message.body)
        self.token = answer.token or self.token
        if answer.outcome == 'done':
            by_replica = answer.role == 'replica'
            self.load.note(self.started_ns, by_replica=by_replica)
        else:
            self.load.errors[answer.error] += 1

    def _on_reply(self, message: http_messages.Message) -> None:
        if not self.opened:
            opened = msgspec.json.decode(message.body)
            self.session = opened['session']
            self.token = opened['token']
        super()._on_reply(message)


class DirectCaller(_Caller):
    """Caller of the instance that is primary of its database."""

    def open(self) -> None:
        """Name a slot that no proxy uses."""
        request = backend.ConnectRequest(self.load.plan.name, 1)
        self.client.send('/connect', msgspec.json.encode(request))

    def send(self, kind: str, statement: dict[str, typing.Any]) -> None:
        """Execute one statement in the first term."""
        request = backend.ExecuteRequest(
            self.database,
            1,
            kind,
            msgspec.Raw(msgspec.json.encode(statement)),
        )
        if kind == 'write':
            name = self.load.plan.name
            request.request_key = f'{name}-{self.number}:{self.sequence}'
        self.client.send('/execute', msgspec.json.encode(request))

    def read(self, message: http_messages.Message) -> None:
        """Count the statement."""
        if message.status == http.HTTPStatus.OK:
            _EXECUTED(message.body)
            self.load.note(self.started_ns, by_replica=False)
        else:
            self.load.errors[str(message.status)] += 1


if __name__ == '__main__':
    load_plan = msgspec.json.decode(sys.argv[1], type=Plan)
    SteadyLoad(load_plan).run()
