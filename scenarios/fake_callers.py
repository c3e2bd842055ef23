"""Callers: sessions that keep their token and follow every outcome."""

import functools
import typing

import msgspec

from jacinthhaven.records import callers
from scenarios import events, fake_proxies, history, language

Script = typing.Generator[typing.Any, typing.Any, None]

CALLERS = 'callers'
_GIVE_UP_MARGIN_MS = 1000
_SETTLE_TRIES = 200
_SETTLE_PAUSE_MS = 150
_RECONNECT_MS = 20
_MOVING = frozenset(('isolated', 'draining', 'no_owner'))
_IMPATIENT_MS = 60
_PERCENT = 100
SHARED_ROWS = 4


class Balancer:
    """Platform's balancer: gives new connections to running proxies."""

    def __init__(
        self,
        proxies: dict[str, fake_proxies.Proxy],
        queue: events.Events,
    ) -> None:
        """Remember the proxies."""
        self.proxies = proxies
        self.rng = queue.rng

    def choose(self, avoided: str = '') -> fake_proxies.Proxy:
        """Return a running proxy, another one than before if possible."""
        running = [proxy for proxy in self.proxies.values() if proxy.ready]
        others = [proxy for proxy in running if proxy.name != avoided]
        return self.rng.choice(others or running or list(self.proxies.values()))


class Session:
    """One caller that sends one request at a time."""

    def __init__(  # noqa: WPS211
        self,
        name: str,
        databases: tuple[str, ...],
        workload: language.Workload,
        balancer: Balancer,
        network: events.Network,
        log: history.History,
    ) -> None:
        """Create a session that has not started."""
        self.name = name
        self.databases = databases
        self.workload = workload
        self.balancer = balancer
        self.network = network
        self.events = network.events
        self.rng = network.events.rng
        self.log = log
        self.stopped = False
        self.finished = False
        self.session_id = ''
        self.token = ''
        self.proxy = balancer.choose()
        self.serial = 0
        self.script = self._run()

    def start(self) -> None:
        """Start to send requests."""
        self.events.after(
            self.rng.uniform(0, self.workload.think_ms + 1),
            functools.partial(self._advance, None),
        )

    def move(self) -> None:
        """Use another proxy from the next request on."""
        self.proxy = self.balancer.choose(self.proxy.name)

    def _advance(self, arrived: typing.Any) -> None:
        """Run the script until it waits for time or for an answer."""
        try:
            wanted = self.script.send(arrived)
        except StopIteration:
            self.finished = True
            return
        if isinstance(wanted, _Exchange):
            wanted.start()
        else:
            self.events.after(wanted, functools.partial(self._advance, None))

    def _run(self) -> Script:
        workload = self.workload
        kinds = ('read', 'write', 'transaction')
        weights = (workload.reads, workload.writes, workload.transactions)
        while not self.stopped:
            yield self.rng.uniform(0, 2 * workload.think_ms)
            if self._chance(workload.move_percent):
                self.move()
            if self.session_id and self._chance(workload.forget_percent):
                self.token = ''
            kind = self.rng.choices(kinds, weights)[0]
            if kind == 'read':
                yield from self._read()
            elif kind == 'write':
                yield from self._write()
            else:
                yield from self._transact()

    def _read(self) -> Script:
        own = self._chance(self.workload.own_percent)
        number = self.rng.randrange(self.workload.sessions)
        key = self.name if own else f's{number}'
        request = history.Request(
            self.name,
            self.rng.choice(self.databases),
            history.READ,
            key=key,
            max_age_ms=self.rng.choice(self.workload.ages_ms),
        )
        yield from self._ask(request, {'op': 'get', 'key': key})

    def _write(self) -> Script:
        change = self._change()
        tag = f'{self.name}.{change.request_id}'
        change.steps.append((self.name, tag))
        yield from self._attempt(change)
        yield from self._settle(change)

    def _attempt(self, change: history.Change) -> Script:
        key, tag = change.steps[0]
        request = self._request(change, history.WRITE, key, tag)
        yield from self._ask(request, _append(key, tag))
        self._learn(change, request)

    def _transact(self) -> Script:
        change = self._change()
        request = self._request(change, 'begin', '', '')
        yield from self._ask(request, None)
        if request.outcome != history.DONE:
            return
        name = request.answer.transaction
        shared = self.rng.randrange(SHARED_ROWS)
        for key in (self.name, f'x{shared}'):
            yield self.rng.uniform(0, 2 * self.workload.transaction_think_ms)
            tag = f'{self.name}.{change.request_id}.{key}'
            step = self._request(change, 'statement', key, tag, name)
            yield from self._ask(step, _append(key, tag))
            if step.outcome != history.DONE:
                return
            change.steps.append((key, tag))
        if self._chance(self.workload.abandon_percent):
            return
        yield from self._commit(change, name)

    def _commit(self, change: history.Change, name: str) -> Script:
        request = self._request(change, history.COMMIT, '', '', name)
        yield from self._ask(request, None)
        self._learn(change, request)
        yield from self._settle(change)

    def _settle(self, change: history.Change) -> Script:
        """Ask until the outcome of a change is known."""
        single = change.requests[0].kind == history.WRITE
        tries = 0
        while tries < _SETTLE_TRIES:
            tries += 1
            if change.conclusion != history.UNKNOWN:
                return
            yield self.rng.uniform(0, 2 * _SETTLE_PAUSE_MS)
            if not change.session_id:
                change.session_id = self.session_id
            if not change.session_id:
                return
            if single and self._chance(self.workload.repeat_percent):
                yield from self._attempt(change)
            else:
                request = self._request(change, history.OUTCOME, '', '')
                yield from self._ask(request, None)
                self._learn(change, request)

    def _change(self) -> history.Change:
        self.serial += 1
        database = self.rng.choice(self.databases)
        change = history.Change(self.name, database, f'r{self.serial}')
        self.log.changes.append(change)
        return change

    def _learn(self, change: history.Change, request: history.Request) -> None:
        change.session_id = change.session_id or self.session_id
        change.learn(request)

    def _request(
        self,
        change: history.Change,
        kind: str,
        key: str,
        tag: str,
        transaction: str = '',
    ) -> history.Request:
        request_id = change.request_id
        if kind in {'begin', 'statement'}:
            request_id = ''
        return history.Request(
            self.name,
            change.database,
            kind,
            key,
            tag,
            request_id,
            transaction,
        )

    def _ask(self, request: history.Request, statement: typing.Any) -> Script:
        request.proxy = self.proxy.name
        request.session_id = self.session_id
        request.with_token = bool(self.token)
        request.sent_ms = self.events.now_ms
        self.log.requests.append(request)
        answer = yield _Exchange(self, request, self._body(request, statement))
        request.answered_ms = self.events.now_ms
        request.answer = answer
        if answer is None:
            self.move()
            yield _RECONNECT_MS
        elif answer.error in _MOVING or not self.proxy.ready:
            self.move()
        if answer is not None and answer.token:
            self.session_id = answer.session
            self.token = answer.token

    def _body(
        self,
        request: history.Request,
        statement: typing.Any,
    ) -> callers.StatementRequest | callers.OutcomeRequest:
        deadline_ms = self.workload.deadline_ms
        if request.kind == history.OUTCOME:
            return callers.OutcomeRequest(
                self.session_id,
                request.request_id,
                self.token,
                deadline_ms,
            )
        return callers.StatementRequest(
            request.kind,
            msgspec.Raw(msgspec.json.encode(statement)),
            self.session_id,
            request.request_id,
            self.token,
            request.transaction,
            request.max_age_ms,
            deadline_ms,
        )

    def _chance(self, percent: float) -> bool:
        return self.rng.random() * _PERCENT < percent


class _Exchange:
    """One request on the connection of a session to a proxy."""

    def __init__(
        self,
        session: Session,
        request: history.Request,
        body: callers.StatementRequest | callers.OutcomeRequest,
    ) -> None:
        """Create an exchange that was not sent."""
        self.session = session
        self.request = request
        self.body = body
        self.proxy = session.proxy
        network = session.network
        self.there = network.pipe(CALLERS, self.proxy.name)
        self.back = network.pipe(self.proxy.name, CALLERS)
        self.number = 0
        self.ended = False

    def start(self) -> None:
        """Send the request and the copy that a caller may send too early."""
        self.there.send(self._arrive)
        workload = self.session.workload
        limit_ms = workload.deadline_ms + _GIVE_UP_MARGIN_MS
        rng = self.session.rng
        if rng.random() * _PERCENT < workload.impatient_percent:
            limit_ms = rng.uniform(1, _IMPATIENT_MS)
        self.session.events.after(limit_ms, self._give_up)

    def _arrive(self) -> None:
        self.request.refused = self.proxy.closed
        self.proxy.accept(
            self.request.database,
            self.body,
            self._reply,
            self._keep,
        )

    def _keep(self, number: int) -> None:
        self.number = number

    def _reply(self, answer: callers.Answer | None) -> None:
        self.back.send(functools.partial(self._end, answer))

    def _give_up(self) -> None:
        """Close the connection; the request may still be on its way."""
        if not self.ended:
            self.there.send(self._close_at_proxy)
            self._end(None)

    def _close_at_proxy(self) -> None:
        self.there.close()
        self.proxy.run(self._forget)

    def _forget(self) -> None:
        self.proxy.forget(self.number)

    def _end(self, answer: callers.Answer | None) -> None:
        if self.ended:
            return
        self.ended = True
        self.back.close()
        if answer is not None:
            self.there.close()
        self.session._advance(answer)  # noqa: SLF001


def _append(key: str, tag: str) -> dict[str, str]:
    return {'op': 'append', 'key': key, 'value': tag}
