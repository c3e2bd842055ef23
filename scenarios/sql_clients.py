"""Clients of a simulated cluster of SQL proxies, and what they were told.

Each client runs single writes, reads of current data and transactions with pauses
on one session. It connects to another node after its session was closed.
"""

import itertools
import random
import typing

from jacinthhaven.platform import client_wire
from jacinthhaven.sql import builders, cluster_builders, statements

# Pauses between the statements of a transaction. The longest is below the idle
# timeout of the configuration.
_TRANSACTION_PAUSES_MS = (0, 200, 1500, 2600)
# Pause after an operation; a client that is never inactive takes the shortest.
_PAUSES_MS = (20, 150, 600)
# Pause before the next attempt to connect.
_RECONNECT_MS = 100

# Answers that promise that nothing of the operation is kept.
_PROMISES = statements.NOT_RUN | {statements.Code.ABORTED}

Script = typing.Generator[str | int, statements.Answer | None, None]


class Operation(typing.NamedTuple):
    """Statement that a client has sent.

    Attributes:
      index: Node that it was sent to.
      starts_work: Whether it is a single statement or the first one of a
        transaction that an instance executes.
    """

    index: int
    starts_work: bool


class Ledger:
    """What the clients have sent and what they were told.

    Attributes:
      sent: Statements by request.
      acknowledged: Requests of writes that are committed.
      refused: Requests of writes that are not kept.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.numbers = itertools.count(1)
        self.sent: dict[str, Operation] = {}
        self.acknowledged: set[str] = set()
        self.refused: set[str] = set()


class Client:
    """One client.

    Attributes:
      index: Node of its session; None without a session.
      number: Number of the session.
      request: Statement without an answer, or ''.
      writes: Requests of the writes of the present operation.
      resume_ms: When it goes on.
    """

    def __init__(
        self,
        cluster: cluster_builders.Cluster,
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        """Create a client without a session."""
        self.cluster = cluster
        self.ledger = ledger
        self.rng = rng
        self.index: int | None = None
        self.number = 0
        self.request = ''
        self.answered = 0
        self.writes: list[str] = []
        self.resume_ms = 0
        self.script: Script = self._operations()

    def tick(self, now_ms: int) -> None:
        """Take the answer that is due, or send the next statement."""
        if self.index is None or self._lost():
            self._reconnect(now_ms)
        elif self.request:
            self._take_answer(now_ms)
        elif now_ms >= self.resume_ms:
            self._advance(None, now_ms)

    def leave(self, now_ms: int) -> None:
        """Close the session, which rolls back an open transaction."""
        if self.index is not None:
            self.cluster.relay(self.index).on_closed(self.number, now_ms)
            self.index = None

    def on_restart(self, index: int) -> None:
        """Lose the session if it is on a node that has restarted."""
        if self.index == index:
            self.index = None

    @property
    def waits(self) -> bool:
        """Return whether a statement has no answer."""
        if self.index is None or not self.request:
            return False
        return len(self._answers()) <= self.answered

    def _answers(self) -> list[statements.Answer]:
        return self.cluster.clients(self.index).answers[self.number]

    def _lost(self) -> bool:
        clients = self.cluster.clients(self.index)
        return self.number in clients.closed or self.number in clients.refused

    def _reconnect(self, now_ms: int) -> None:
        self.index = None
        self.request = ''
        if now_ms < self.resume_ms:
            return
        self.resume_ms = now_ms + _RECONNECT_MS
        index = self.rng.randrange(len(self.cluster.nodes))
        if index in self.cluster.frozen or not self.cluster.nodes[index].ready:
            return
        self.index = index
        self.number = next(self.ledger.numbers)
        self.answered = 0
        self.script = self._operations()
        relay = self.cluster.relay(index)
        relay.on_start(self.number, builders.STRICT, now_ms)

    def _take_answer(self, now_ms: int) -> None:
        if not self.waits:
            self.request = ''
            self.answered += 1
            self._advance(self._answers()[-1], now_ms)

    def _advance(self, answer: statements.Answer | None, now_ms: int) -> None:
        step = self.script.send(answer)
        if isinstance(step, int):
            self.resume_ms = now_ms + step
            # The generator stops at the pause; `tick` continues it.
            return
        self.request = f'q{next(self.ledger.numbers)}'
        verb, first, _ = step.partition('*')
        self.ledger.sent[self.request] = Operation(self.index, bool(first))
        if verb.startswith('WRITE'):
            self.writes.append(self.request)
        statement = client_wire.decode_query(f'QUERY {self.request} {verb}')
        relay = self.cluster.relay(self.index)
        relay.on_statement(self.number, statement, now_ms)

    def _operations(self) -> Script:
        """Yield statements and pauses; an asterisk marks the start of work."""
        kinds = (self._write, self._read, self._transaction, self._transaction)
        for _ in itertools.count():
            self.writes = []
            yield from self.rng.choice(kinds)()
            yield self.rng.choice(_PAUSES_MS)

    def _write(self) -> Script:
        answer = yield 'WRITE k 1*'
        self._settle(answer)

    def _read(self) -> Script:
        yield 'READ k*'

    def _transaction(self) -> Script:
        answer = yield 'BEGIN'
        first = '*'
        for _ in range(self.rng.randint(1, 2)):
            if answer.code is not None:
                break
            yield self.rng.choice(_TRANSACTION_PAUSES_MS)
            answer = yield f'WRITE k 1{first}'
            first = ''
        if answer.code is None:
            yield self.rng.choice(_TRANSACTION_PAUSES_MS)
            answer = yield 'COMMIT'
            self._settle(answer)
        elif answer.code in _PROMISES:
            self.ledger.refused.update(self.writes)
        if answer.state is not statements.State.IDLE:
            yield 'ROLLBACK'

    def _settle(self, answer: statements.Answer) -> None:
        """Note what the client was told about its writes."""
        if answer.code is None:
            self.ledger.acknowledged.update(self.writes)
        elif answer.code in _PROMISES:
            self.ledger.refused.update(self.writes)
