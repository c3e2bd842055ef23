"""Tests of queueing and load shedding under overload."""

import collections
import random
import types

from jacinthhaven.scheduling import scheduler
from jacinthhaven.sql import builders, pool, records, statements

_SLOTS = 5
_QUEUE = 40
# Execution time of a statement in milliseconds and arrivals per second, by
# the kind of statement.
_SETTLE = 'settle'
_BOARD = 'board'
_CERT = 'cert'
_WORK_MS = types.MappingProxyType({_SETTLE: 8, _BOARD: 40, _CERT: 24})
_PER_S = types.MappingProxyType({_SETTLE: 40, _BOARD: 40, _CERT: 190})
_TARGET_MS = types.MappingProxyType({_SETTLE: 200, _BOARD: 600, _CERT: 400})
_TEXT = types.MappingProxyType(
    {
        _SETTLE: (builders.STRICT, 'WRITE settle 1'),
        _BOARD: (builders.BOUNDED, 'READ board'),
        _CERT: (builders.OWN, 'READ cert'),
    }
)


def _free_slots() -> list[int]:
    return [0 for _slot in range(_SLOTS)]


class _SlottedDatabases(builders.FakeDatabases):
    """Instances with a limited number of execution slots."""

    def __init__(self, group) -> None:
        super().__init__(group)
        self.free_ms = collections.defaultdict(_free_slots)
        self.starts = collections.defaultdict(list)
        self.busy: set[tuple[int, str]] = set()
        self.longest = 0

    def send(self, number, command) -> None:
        """Put a command into the queue of its instance."""
        super().send(number, command)
        _at_ms, number, line, starts = self.pending.pop()
        name = self.connections[number].instance.name
        work_ms = sum(ms for kind, ms in _WORK_MS.items() if kind in line)
        at_ms = self.now_ms + 1
        if work_ms:
            waiting = [at for at in self.starts[name] if at > self.now_ms]
            self.starts[name] = waiting
            self.longest = max(self.longest, len(waiting))
            if len(waiting) >= _QUEUE:
                self.busy.add((number, line))
            else:
                slots = self.free_ms[name]
                begin_ms = max(min(slots), at_ms)
                slots[slots.index(min(slots))] = begin_ms + work_ms
                waiting.append(begin_ms)
                at_ms = begin_ms + work_ms
        self.pending.append((at_ms, number, line, starts))


class _LoadedRig(builders.Rig):
    """Rig whose clients can send more than the primary can execute."""

    databases_type = _SlottedDatabases

    def __init__(self) -> None:
        super().__init__(members=1)
        self.service.pool.max_links = 60
        for state in self.service.pool.states.values():
            state.window.resize(_SLOTS, 1)
        for name in builders.MEMBERS[1:]:
            self.group.instances[name].lag_ms = 60_000
        self.sent: dict[int, tuple[str, int]] = {}
        self.spent: dict[str, list[int | None]] = collections.defaultdict(list)
        self.refused: dict[str, list[int]] = collections.defaultdict(list)

    def play(self, for_ms: int, factor: float) -> None:
        """Open sessions with one statement each at random times."""
        rng = random.Random(3)
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            for kind, per_s in _PER_S.items():
                if rng.random() < per_s * factor * 5 / 1000:
                    database, text = _TEXT[kind]
                    number = self.connect(database)
                    self.sent[number] = (kind, self.now_ms)
                    self.send(number, text, f'r{number}')
            self.run(5)
            self._collect()

    def share_in_time(self, kind: str) -> float:
        """Return the fraction of the statements that were served in time."""
        served = self.spent[kind]
        limit = _TARGET_MS[kind]
        good = sum(spent <= limit for spent in served)
        return good / (len(served) + len(self.refused[kind]))

    def _collect(self) -> None:
        for number, (kind, at_ms) in tuple(self.sent.items()):
            told = self.clients.answers[number]
            if not told:
                continue
            self.sent.pop(number)
            spent = self.now_ms - at_ms
            done = told[0].code is None
            (self.spent if done else self.refused)[kind].append(spent)

    def _run_line(self, number: int, line: str, starts: bool) -> None:
        if (number, line) not in self.databases.busy:
            super()._run_line(number, line, starts)
            return
        self.databases.busy.remove((number, line))
        reply = statements.Reply()
        reply.code = statements.Code.BUSY
        reply.position = records.Position(1, 0)
        self.service.on_reply(number, reply, self.now_ms)


def _overloaded() -> _LoadedRig:
    rig = _LoadedRig()
    rig.play(1000, 0.5)
    rig.spent.clear()
    rig.refused.clear()
    rig.play(4000, 1.2)
    return rig


def test_overloaded_primary_serves_most_callers_in_time():
    """Guards against a queue in which all statements become late."""
    rig = _overloaded()
    assert rig.share_in_time(_SETTLE) * 100 >= 95
    assert rig.share_in_time(_CERT) * 100 >= 80


def test_overload_queues_at_the_node_and_not_at_the_instance():
    """Guards against queueing where priorities are unknown, and refusals."""
    rig = _overloaded()
    assert rig.databases.longest <= 3 * _SLOTS


def test_refusals_come_before_the_target_is_over():
    """Guards against queueing statements that cannot be served in time."""
    rig = _overloaded()
    for kind, spent in rig.refused.items():
        assert max(spent) <= _TARGET_MS[kind] + 30


def test_lost_replies_do_not_hold_back_other_statements():
    """Guards against a window that stays full because of lost replies."""
    rig = builders.Rig(members=1)
    state = rig.service.pool.states['db-a']
    state.window.limit = 2
    state.window.size = 2
    rig.databases.lost_replies.add('lost')
    for step in range(2):
        rig.send(rig.connect(builders.STRICT), f'WRITE lost {step}', f'l{step}')
    rig.run(100)
    number = rig.connect(builders.STRICT)
    before_ms = rig.now_ms
    assert rig.ask(number, 'WRITE k 1', 'w1').code is None
    assert rig.now_ms - before_ms <= 350


def test_read_whose_reply_was_lost_is_retried():
    """Guards against waiting for a lost reply until the deadline."""
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    rig.databases.lost_replies.add('READ k')
    reader = rig.connect(builders.OWN)
    rig.send(reader, 'READ k', 'r1')
    rig.run(50)
    rig.databases.lost_replies.clear()
    for step in range(8):
        rig.ask(writer, f'WRITE k {step}', f'w{step}')
        rig.run(50)
    answers = rig.clients.answers[reader]
    assert [answer.code for answer in answers] == [None]


def test_read_is_retried_at_the_only_instance_that_can_serve_it():
    """Guards against refusing a read because its first attempt was lost."""
    rig = builders.Rig()
    rig.ask(rig.connect(builders.STRICT), 'WRITE k 1', 'w1')
    states = rig.service.pool.states
    for name in builders.MEMBERS[1:]:
        rig.group.instances[name].lag_ms = 60_000
        states[name].behind_until_ms = rig.now_ms + 60_000
    reader = rig.connect(builders.OWN)
    rig.databases.lost_replies.add('READ k')
    rig.send(reader, 'READ k', 'r1')
    rig.run(20)
    rig.lose('db-a')
    rig.databases.lost_replies.clear()
    rig.run(200)
    answers = rig.clients.answers[reader]
    assert [answer.code for answer in answers] == [None]


def test_links_with_lost_replies_are_replaced():
    """Guards against links that wait for replies that nobody needs."""
    rig = builders.Rig()
    rig.databases.lost_replies.add('READ lost')
    share = rig.service.pool.max_links
    for step in range(3 * share):
        rig.send(rig.connect(builders.STRICT), f'READ lost{step}', f'l{step}')
        rig.run(100)
    rig.databases.lost_replies.clear()
    rig.run(1000)
    state = rig.service.pool.states['db-a']
    assert state.links
    # A question of the pool itself may be under way to the idle primary.
    assert all(
        link.free or isinstance(link.work, pool.ControlRequest)
        for link in state.links
    )
    assert all(
        rig.now_ms - link.sent_ms < 10 for link in state.links if link.waiting
    )


def test_instance_that_was_silent_is_used_again():
    """Guards against an instance that stays unused after a silence."""
    rig = builders.Rig()
    rig.databases.silent.add('db-b')
    reader = rig.connect(builders.OWN)
    for step in range(8):
        rig.send(reader, f'READ k{step}', f'r{step}')
        rig.run(300)
    state = rig.service.pool.states['db-b']
    assert not state.usable_at(rig.now_ms)
    rig.databases.silent.clear()
    rig.run(2500)
    assert state.usable_at(rig.now_ms)
    assert state.free_links


def test_long_queue_for_the_primary_does_not_hide_reads():
    """Guards against reads that get no permit behind many writes."""
    rig = builders.Rig()
    for state in rig.service.pool.states.values():
        state.window.size = 0
    texts = {builders.STRICT: 'WRITE k v', builders.OWN: 'READ k'}
    for database, text in texts.items():
        for _ in range(2 * scheduler.MAX_REPORTED):
            rig.send(rig.connect(database), text)
    # Statements ask for permits once they have waited for a while.
    rig.run(30)
    permits = rig.service.scheduler.permits
    counts = collections.Counter(
        report.instances == ('db-a',) for report in permits.last_load.waiting
    )
    assert counts == {
        True: scheduler.MAX_REPORTED,
        False: scheduler.MAX_REPORTED,
    }
