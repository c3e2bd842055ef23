"""Load generator: callers in a closed loop over HTTP.

Each caller has one connection and one session. It repeats an unanswered
write under the same request id through the next proxy, as a careful
application does, and keeps what it was told for the final check.
"""

import collections
import dataclasses
import itertools
import random
import time
import typing

import circuits
import msgspec

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.records import callers

_NS_PER_MS = 1_000_000
_RETRY_MS = 50
# Keys of each caller; few keys make reads meet the caller's own writes.
_KEYS = 4

Action = tuple[int, typing.Callable[[], None]]


@dataclasses.dataclass(slots=True)
class Plan:
    """Load to generate.

    Attributes:
      ports: Caller ports on loopback; caller n starts at port n.
      callers: Number of concurrent callers.
      databases: Databases, chosen at random for each request.
      write_share: Share of writes among all requests, 0 to 1.
      max_age_ms: Age that the reads allow; 0 for current data.
      duration_ms: Time after which no new request is started.
      seed: Seed of the random choices.
    """

    ports: list[int]
    callers: int
    databases: tuple[str, ...]
    write_share: float
    max_age_ms: int
    duration_ms: int
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Sample:
    """One answered request.

    Attributes:
      kind: `read` or `write`.
      database: Name of the database.
      key: Key that was read or written.
      expected: For a read, the caller's newest confirmed value of the key.
      started_ms: When it was first sent, since the start of the load.
      ended_ms: When it was answered.
      answer: The answer.
    """

    kind: str
    database: str
    key: str
    expected: int
    started_ms: float
    ended_ms: float
    answer: callers.Answer


class Load(circuits.Component):
    """Runs a plan and collects the samples."""

    channel = 'load'

    def __init__(self, plan: Plan) -> None:
        """Create the callers; they connect when the component starts."""
        super().__init__()
        self.plan = plan
        self.poller = poller.Poller().register(self)
        self.rng = random.Random(plan.seed)  # noqa: S311
        self.samples: list[Sample] = []
        self.errors: collections.Counter = collections.Counter()
        self.actions: list[Action] = []
        self.origin_ns = 0
        self.active = 0
        self.callers = [Caller(self, number) for number in range(plan.callers)]

    def started(self, _component: typing.Any) -> None:
        """Start all callers and schedule the events."""
        self.origin_ns = time.monotonic_ns()
        self.active = len(self.callers)
        for caller in self.callers:
            caller.connect()
        for at_ms, action in self.actions:
            self.poller.call_later(at_ms, action)

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the load."""
        return (time.monotonic_ns() - self.origin_ns) / _NS_PER_MS

    def finished(self) -> None:
        """Stop when the last caller has finished."""
        self.active -= 1
        if self.active == 0:
            self.stop()


class Caller:
    """One caller with its session."""

    def __init__(self, load: Load, number: int) -> None:
        """Prepare a caller that is not connected."""
        self.load = load
        self.number = number
        first = number % len(load.plan.ports)
        self.ports = itertools.cycle(
            load.plan.ports[first:] + load.plan.ports[:first],
        )
        self.client: http_client.Client | None = None
        self.session = ''
        self.token = ''
        self.sequence = itertools.count(1)
        self.written: dict[tuple[str, str], int] = {}
        self.current: dict[str, typing.Any] = {}
        self.database = ''
        self.key = ''
        self.started_ms = float(0)
        self.encode = msgspec.json.Encoder().encode
        self.decode = msgspec.json.Decoder(callers.Answer).decode

    def connect(self) -> None:
        """Connect to the next proxy."""
        address = ('127.0.0.1', next(self.ports))
        self.client = http_client.Client(self.load.poller, address)
        self.client.on_open = self._on_open
        self.client.on_reply = self._on_reply
        self.client.on_lost = self._on_lost

    def _on_open(self) -> None:
        if self.session and self.current:
            self._send()
        elif self.session:
            self._next()
        else:
            self.client.send('/v1/sessions', b'')

    def _next(self) -> None:
        plan = self.load.plan
        if self.load.now_ms() > plan.duration_ms:
            self.client.close()
            self.load.finished()
            return
        rng = self.load.rng
        self.database = rng.choice(plan.databases)
        number = next(self.sequence)
        place = number % _KEYS
        self.key = f'c{self.number}-{place}'
        if rng.random() < plan.write_share:
            self.current = {
                'kind': 'write',
                'request_id': f'r{number}',
                'statement': {'op': 'put', 'key': self.key, 'value': number},
            }
        else:
            self.current = {
                'kind': 'read',
                'max_age_ms': plan.max_age_ms,
                'statement': {'op': 'get', 'key': self.key},
            }
        self.started_ms = self.load.now_ms()
        self._send()

    def _send(self) -> None:
        self.current['session'] = self.session
        self.current['token'] = self.token
        self.client.send(
            f'/v1/databases/{self.database}/statements',
            self.encode(self.current),
        )

    def _on_reply(self, message: http_messages.Message) -> None:
        if not self.session:
            opened = msgspec.json.decode(message.body)
            self.session = opened['session']
            self.token = opened['token']
            self._next()
            return
        answer = self.decode(message.body)
        self.token = answer.token or self.token
        if answer.outcome == 'done':
            self._record(answer)
            self._next()
        else:
            self.load.errors[f'{answer.outcome}:{answer.error}'] += 1
            self.load.poller.call_later(_RETRY_MS, self._repeat)

    def _record(self, answer: callers.Answer) -> None:
        place = (self.database, self.key)
        kind = self.current['kind']
        self.load.samples.append(
            Sample(
                kind,
                self.database,
                self.key,
                self.written.get(place, 0),
                self.started_ms,
                self.load.now_ms(),
                answer,
            ),
        )
        if kind == 'write':
            self.written[place] = self.current['statement']['value']
        self.current = {}

    def _repeat(self) -> None:
        if self.client is not None and not self.client.stream.closed:
            self._send()

    def _on_lost(self) -> None:
        self.load.errors['connection_lost'] += 1
        self.load.poller.call_later(_RETRY_MS, self.connect)
