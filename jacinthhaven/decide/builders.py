"""Builders of test data and harnesses for tests of the decision code."""

import dataclasses
import itertools
import random
import typing

import msgspec

from jacinthhaven.decide import (
    entry,
    group_state,
    messages,
    owner,
    promotion_rules,
    tokens,
    views,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend, callers, peers, presets, topology

DATABASE = 'bids'
INSTANCES = ('i1', 'i2', 'i3')
ZONES = ('macon', 'milledgeville', 'dublin')


def situation(
    instances: views.Instances,
    **changes: typing.Any,
) -> promotion_rules.PromotionInputs:
    """Return the promotion inputs of a single owner in slot 0."""
    preset = changes.pop('preset', presets.Preset())
    return promotion_rules.PromotionInputs(instances, preset, **changes)


def silence(
    received_ms: int,
    **silent_ms: int,
) -> promotion_rules.SilenceReport:
    """Return a peer's report of silent instances."""
    report = peers.InstanceSilence('exchange-db', silent_ms)
    return promotion_rules.SilenceReport(report, received_ms)


def group(owners: int = 3) -> topology.Group:
    """Return a database group with three instances."""
    instances = tuple(
        topology.Instance(name, '127.0.0.1', 1, zone)
        for name, zone in zip(INSTANCES, ZONES, strict=True)
    )
    return topology.Group('exchange-db', instances, (DATABASE,), 20, owners)


def member(name: str) -> topology.Member:
    """Return a member; the digit in its name chooses its zone."""
    zone = ZONES[int(name[1:]) % len(ZONES)]
    return topology.Member(name, f'{name}-boot', '127.0.0.1', 1, zone)


@dataclasses.dataclass
class FakeInstance:
    """Simulated copy of one database that follows the rules of section 3.2.

    The log holds the term of each entry; a position is a one-based index.
    """

    name: str
    term: int = 1
    primary: bool = False
    log: list[int] = dataclasses.field(default_factory=list)
    upstream: str = ''
    heard_ms: int = 0
    reachable: bool = True

    def apply(self, order: messages.InstanceOrder) -> typing.Any:
        """Execute an order and return the reply or a refusal."""
        request = order.request
        if isinstance(request, backend.FenceRequest):
            return self._fence(request.term)
        if isinstance(request, backend.PromoteRequest):
            return self._promote(request.term)
        if request.term < self.term:
            return failures.STALE_TERM.because('follow')
        self._adopt(request.term, request.primary)
        return None

    def end(self) -> tuple[int, int]:
        """Return the term and position of the last log entry."""
        last_term = self.log[-1] if self.log else 0
        return last_term, len(self.log)

    def status(self, now_ms: int) -> backend.DatabaseStatus:
        """Return the status that the instance would report."""
        log_term, position = self.end()
        silent_ms = 0 if self.primary else now_ms - self.heard_ms
        starts = [
            backend.TermStart(term, self.log.index(term) + 1)
            for term in sorted(set(self.log))
        ]
        return backend.DatabaseStatus(
            DATABASE,
            self.primary,
            self.term,
            log_term,
            position,
            position,
            starts,
            upstream_silent_ms=silent_ms,
        )

    def follows(self, source: 'FakeInstance | None') -> bool:
        """Return whether entries of a source reach this instance."""
        if source is None or not source.primary or not source.reachable:
            return False
        return self.reachable and source.term == self.term

    def _fence(self, term: int) -> backend.FenceReply | failures.Failure:
        if term <= self.term:
            return failures.STALE_TERM.because('fence')
        self._adopt(term, '')
        return backend.FenceReply(self.term, *self.end())

    def _promote(self, term: int) -> failures.Failure | None:
        if term != self.term or self.primary:
            return failures.STALE_TERM.because('promote')
        self.primary = True
        self.log.append(self.term)
        return None

    def _adopt(self, term: int, upstream: str) -> None:
        self.term = term
        self.primary = False
        self.upstream = upstream


class FakeGroup:
    """Three instances with i1 as primary of term 1 and equal logs."""

    def __init__(self, entries: int = 3) -> None:
        """Start with some entries that all instances have."""
        self.copies = {
            name: FakeInstance(name, log=[1 for _ in range(entries)])
            for name in INSTANCES
        }
        self.copies['i1'].primary = True
        for name in INSTANCES[1:]:
            self.copies[name].upstream = 'i1'
        self.primaries: dict[int, set[str]] = {1: {'i1'}}

    def apply(self, order: messages.InstanceOrder) -> typing.Any:
        """Deliver an order unless the instance is unreachable."""
        copy = self.copies[order.instance]
        if not copy.reachable:
            return failures.CONNECTION_LOST.because('unreachable')
        reply = copy.apply(order)
        if copy.primary:
            self.primaries.setdefault(copy.term, set()).add(copy.name)
        return reply

    def replicate(
        self,
        now_ms: int,
        names: typing.Iterable[str] = INSTANCES,
    ) -> None:
        """Let replicas copy the log of the primary that they follow."""
        for name in names:
            copy = self.copies[name]
            source = self.copies.get(copy.upstream)
            if copy.follows(source):
                copy.log = list(source.log)
                copy.heard_ms = now_ms

    def write(self) -> None:
        """Append an entry to the log of every copy that acts as primary."""
        for copy in self.copies.values():
            if copy.primary:
                copy.log.append(copy.term)

    def committed(self) -> set[tuple[int, int]]:
        """Return term and position of the newest entries on a majority."""
        ends = [copy.end() for copy in self.copies.values()]
        committed = set()
        for copy in self.copies.values():
            term, position = copy.end()
            same = [end for end in ends if end[0] == term]
            covering = [end for end in same if end[1] >= position]
            if copy.primary and term == copy.term and len(covering) > 1:
                committed.add((term, position))
        return committed

    def views(
        self,
        now_ms: int,
        seen: views.Instances | None = None,
    ) -> views.Instances:
        """Return an owner's views; unreachable instances keep the old status.

        Args:
          now_ms: Current time.
          seen: Previous views; without them, each instance counts as last
            heard at 0.
        """
        seen = {} if seen is None else seen
        for copy, zone in zip(self.copies.values(), ZONES, strict=True):
            view = seen.setdefault(
                copy.name,
                views.InstanceView(copy.name, zone, heard_ms=0),
            )
            if copy.reachable:
                view.heard_ms = now_ms
                view.copies = {DATABASE: copy.status(now_ms)}
            view.suspected = view.silent_ms(now_ms) >= 500
        return seen


class OwnerHarness:
    """Owner of one slot; the test answers its calls and sets its clock."""

    def __init__(self) -> None:
        """Start with connected control channels and no status."""
        self.now_ms = 1000
        self.numbers = itertools.count(1)
        self.state = group_state.GroupState(
            group(),
            'm1',
            itertools.count(1),
            random.Random(1),  # noqa: S311
        )
        self.owner = owner.Owner(self.state, 50)
        self.opening: list[messages.BackendOpen] = []
        self.closed: list[int] = []
        self.calls: dict[int, messages.BackendCall] = {}
        self.answers: list[work.OwnerAnswer] = []
        self.start()

    @property
    def database_state(self) -> typing.Any:
        """Return the state of the database."""
        return self.state.databases[DATABASE]

    @property
    def statements(self) -> list[messages.BackendCall]:
        """Return the calls on data connections that wait for a reply."""
        kinds = (backend.ExecuteRequest, backend.ResolveRequest)
        return [
            call
            for call in self.calls.values()
            if isinstance(call.request, kinds)
        ]

    def start(self, epoch: int = 7) -> None:
        """Assign the slot to the owner and open its connections."""
        slot = topology.Slot('exchange-db', 0, 'm1', epoch)
        self.collect(self.owner.start(slot, self.now_ms))
        self.accept()

    def collect(self, out: list[typing.Any]) -> None:
        """Record the messages of the owner by type."""
        handlers = {
            messages.BackendOpen: self.opening.append,
            messages.BackendClose: self._close,
            messages.BackendCall: self._call,
            work.OwnerAnswer: self.answers.append,
        }
        for message in out:
            handlers.get(type(message), id)(message)

    def accept(self) -> None:
        """Report all requested connections as opened."""
        while self.opening:
            opened = messages.BackendOpened(self.opening.pop(0).connection)
            self.collect(self.owner.handle(opened, self.now_ms))

    def submit(self, kind: str = work.WRITE, **fields: typing.Any) -> work.Work:
        """Submit a request of session `s` and let connections open."""
        fields.setdefault('deadline_ms', self.now_ms + 5000)
        fields.setdefault('session', 's')
        job = work.Work(
            work.Origin('m2', next(self.numbers)),
            DATABASE,
            kind,
            **fields,
        )
        if job.logged and not job.request_key:
            number = job.origin.number
            job.request_key = f's/{number}'
        self.collect(self.owner.submit(job, self.now_ms))
        self.accept()
        return job

    def reply(self, reply: typing.Any) -> None:
        """Answer the oldest call on a data connection."""
        call = self.statements[0]
        self.calls.pop(call.connection)
        replied = messages.BackendReply(call.connection, call.number, reply)
        self.collect(self.owner.handle(replied, self.now_ms))
        self.accept()

    def complete_call(self, position: int = 4, log_term: int = 1) -> None:
        """Answer the oldest call on a data connection with a result."""
        call = self.statements[0]
        if isinstance(call.request, backend.ResolveRequest):
            self.reply(backend.ResolveReply(True, log_term, position))
        else:
            self.reply(backend.ExecuteReply(log_term, position))

    def lose_connection(self) -> None:
        """Report the connection of the oldest call as lost."""
        connection = self.statements[0].connection
        self.calls.pop(connection)
        failure = failures.CONNECTION_LOST.because('test')
        lost = messages.BackendLost(connection, failure)
        self.collect(self.owner.handle(lost, self.now_ms))

    def replicate_twice(self, fake: FakeGroup) -> None:
        """Replicate and answer the control calls, twice."""
        for step_ms in (10, 10):
            fake.replicate(self.now_ms)
            self.advance(step_ms)
            self.answer_control_calls(fake)

    def answer_control_calls(self, fake: FakeGroup) -> None:
        """Answer the control calls of the reachable instances."""
        for connection, call in tuple(self.calls.items()):
            copy = fake.copies[self.owner.instance_of[connection]]
            if copy.reachable and call not in self.statements:
                self.calls.pop(connection)
                replied = messages.BackendReply(
                    connection,
                    call.number,
                    self._control_reply(fake, copy, call),
                )
                self.collect(self.owner.handle(replied, self.now_ms))
        self.accept()

    def advance(self, step_ms: int) -> None:
        """Advance the clock and run the owner's timers once."""
        self.now_ms += step_ms
        self.collect(self.owner.tick(self.now_ms))

    def codes(self, job: work.Work) -> list[str]:
        """Return the failure codes of a request's answers, or `done`."""
        return [
            answer.failure.kind.code if answer.failure else 'done'
            for answer in self.answers
            if answer.origin == job.origin
        ]

    def _control_reply(
        self,
        fake: FakeGroup,
        copy: FakeInstance,
        call: messages.BackendCall,
    ) -> typing.Any:
        if not isinstance(call.request, backend.StatusRequest):
            order = messages.InstanceOrder(copy.name, call.request)
            return fake.apply(order) or backend.FenceReply(copy.term, 1, 1)
        return backend.InstanceStatus(
            copy.name,
            'b1',
            call.number,
            leaving=False,
            connections=1,
            databases=[copy.status(self.now_ms)],
        )

    def _close(self, message: messages.BackendClose) -> None:
        self.closed.append(message.connection)
        self.calls.pop(message.connection, None)

    def _call(self, message: messages.BackendCall) -> None:
        assert message.connection not in self.calls
        self.calls[message.connection] = message


def serving() -> tuple[OwnerHarness, FakeGroup]:
    """Return an owner that has seen two statuses of a healthy group."""
    harness = OwnerHarness()
    fake = FakeGroup()
    harness.replicate_twice(fake)
    return harness, fake


def promote(fake: FakeGroup, name: str, term: int) -> None:
    """Fence all copies and make a reachable instance the primary."""
    for copy in fake.copies.values():
        request = backend.FenceRequest(DATABASE, term)
        fake.apply(messages.InstanceOrder(copy.name, request))
        copy.upstream = name
    request = backend.PromoteRequest(DATABASE, term)
    fake.apply(messages.InstanceOrder(name, request))


class EntryHarness:
    """Entry with two owners; the test answers its forwards."""

    def __init__(self) -> None:
        """Start with both owners reachable."""
        self.now_ms = 1000
        self.numbers = itertools.count(1)
        self.members = ['m1', 'm2']
        rng = random.Random(1)  # noqa: S311
        self.signer = tokens.Signer(b'key', rng)
        self.session = self.signer.new_session()
        self.entry = entry.Entry('m9', self.signer, self)
        self.entry.refusal = None
        self.forwards: list[messages.PeerSend] = []
        self.probes: list[str] = []
        self.answers: dict[int, list[callers.Answer]] = {}

    def owners(self, database: str) -> list[str] | None:
        """Return the reachable owners."""
        return self.members if database == DATABASE else None

    def alive(self, member: str) -> bool:
        """Return whether an owner is reachable."""
        return member in self.members

    def same_zone(self, member: str) -> bool:
        """Return whether a member is in the zone of the entry."""
        return member == 'm1'

    def collect(self, out: list[typing.Any]) -> None:
        """Record the messages of the entry by type."""
        for message in out:
            if isinstance(message, messages.PeerSend):
                if isinstance(message.payload, peers.Probe):
                    self.probes.append(message.member)
                else:
                    self.forwards.append(message)
            elif isinstance(message, messages.CallerAnswer):
                answers = self.answers.setdefault(message.number, [])
                answers.append(message.answer)

    def request(self, kind: str = work.WRITE, **fields: typing.Any) -> int:
        """Send a caller's request and return its number."""
        number = next(self.numbers)
        fields.setdefault('session', self.session)
        body = callers.StatementRequest(kind, **fields)
        request = messages.CallerRequest(number, DATABASE, body)
        self.collect(self.entry.on_request(request, self.now_ms))
        return number

    def outcome(self, **fields: typing.Any) -> int:
        """Ask for the outcome of a write and return the number."""
        number = next(self.numbers)
        fields.setdefault('session', self.session)
        fields.setdefault('request_id', 'w1')
        body = callers.OutcomeRequest(**fields)
        request = messages.CallerOutcome(number, DATABASE, body)
        self.collect(self.entry.on_outcome(request, self.now_ms))
        return number

    def reply(self, failure: failures.Failure | None = None) -> None:
        """Answer the newest forward."""
        sent = self.forwards[-1]
        outcome = failures.Outcome.DONE if failure is None else failure.outcome
        answer = peers.ForwardAnswer(
            sent.payload.number,
            sent.payload.attempt,
            msgspec.json.encode(callers.Answer(outcome.value, position=9)),
        )
        if failure is not None:
            answer.failure = failure.kind.code
        self.collect(self.entry.on_answer(sent.member, answer, self.now_ms))

    def lose_peer(self, member: str) -> None:
        """Report the connection to an owner as lost."""
        self.collect(self.entry.on_peer_lost(member, self.now_ms))

    def advance(self, step_ms: int) -> None:
        """Advance the clock and run the entry's timers once."""
        self.now_ms += step_ms
        self.collect(self.entry.tick(self.now_ms))

    def outcomes(self, number: int) -> list[str]:
        """Return the outcomes of the answers to a request."""
        return [answer.outcome for answer in self.answers.get(number, [])]
