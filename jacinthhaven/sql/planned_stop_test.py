"""Tests of statements that arrive while their process stops."""

import pytest

from jacinthhaven.platform import client_wire
from jacinthhaven.sql import builders, cluster_builders, statements

_GRACE_MS = 6000
_CODES = statements.Code


class StoppingNode:
    """First node of a cluster, which has got the signal to stop."""

    def __init__(self) -> None:
        """Open a session and begin the stop."""
        self.cluster = cluster_builders.Cluster()
        self.clients = self.cluster.clients(0)
        self.began_ms = self.cluster.now_ms
        self.node = self.cluster.nodes[0]
        self.node.stop(self.began_ms)
        self.cluster.relay(0).on_start(1, builders.STRICT, self.began_ms)

    def send_at(self, elapsed_ms: int, text: str, request: str = 'r') -> None:
        """Send a statement at a time after the signal.

        Until then the client is never inactive.
        """
        while self.cluster.now_ms < self.began_ms + elapsed_ms:
            self.cluster.run(20)
            session = self.node.gateway.sessions.get(1)
            if session is not None:
                session.active_ms = self.cluster.now_ms
        statement = client_wire.decode_query(f'QUERY {request} {text}')
        self.cluster.relay(0).on_statement(1, statement, self.cluster.now_ms)
        self.cluster.run(100)

    @property
    def codes(self) -> list[statements.Code | None]:
        """Return the codes of all answers."""
        return [answer.code for answer in self.clients.answers[1]]


@pytest.fixture
def stopping() -> StoppingNode:
    """Return a node that stops."""
    return StoppingNode()


def test_transaction_without_a_statement_ends_at_half_of_the_grace(stopping):
    """Guards against a transaction that is still running at the exit."""
    stopping.send_at(2500, 'BEGIN')
    stopping.send_at(4000, 'WRITE k 1', 'w1')
    assert stopping.codes == [None, _CODES.ABORTED]
    stopping.send_at(4200, 'ROLLBACK')
    assert stopping.codes[-1] is None
    assert stopping.clients.closed == [1]
    assert not stopping.cluster.group.committed


def test_transaction_of_the_second_half_is_refused(stopping):
    """Guards against a transaction that cannot be finished before the exit."""
    stopping.send_at(3200, 'BEGIN')
    assert stopping.codes == [_CODES.BUSY]
    assert stopping.clients.closed == [1]


def test_statement_shortly_before_the_exit_is_not_sent(stopping):
    """Guards against passing on what will not be answered."""
    stopping.send_at(4600, 'WRITE k 1', 'w1')
    assert stopping.codes == [_CODES.BUSY]
    stopping.cluster.run(_GRACE_MS)
    assert not stopping.cluster.group.committed


def test_statement_before_that_is_executed(stopping):
    """Guards against refusing work that can be done."""
    stopping.send_at(3200, 'WRITE k 1', 'w1')
    assert stopping.codes == [None]
    assert stopping.clients.closed == [1]


def test_local_answer_closes_the_session(stopping):
    """Guards against a session that stays open without a reason."""
    stopping.send_at(3200, 'SET tz utc')
    assert stopping.codes == [None]
    assert stopping.clients.closed == [1]


@pytest.mark.parametrize(
    ('begin', 'text', 'code'),
    [
        (False, 'WRITE k 1', _CODES.OUTCOME_UNKNOWN),
        (False, 'READ k', _CODES.ABORTED),
        (True, 'WRITE k 1', _CODES.ABORTED),
    ],
)
def test_exit_answers_statements_in_flight(begin, text, code):
    """Guards against a request that is passed on and never answered."""
    rig = builders.Rig()
    number = rig.connect()
    if begin:
        rig.ask(number, 'BEGIN')
        rig.ask(number, 'WRITE k 0')
    rig.databases.work_ms = 900
    rig.send(number, text, 'r2')
    rig.run(50)
    rig.gateway.end_sessions(rig.now_ms)
    answer = rig.clients.answers[number][-1]
    assert answer.code is code
    assert rig.clients.closed == [number]
    rig.run(2000)
    assert not rig.group.committed


def test_exit_answers_pipelined_and_queued_statements():
    """Guards against requests that were read and are dropped."""
    rig = builders.Rig()
    rig.databases.silent.update(builders.MEMBERS)
    numbers = [rig.connect() for _ in range(20)]
    for text in ('WRITE k 1', 'BEGIN', 'READ k'):
        for number in numbers:
            rig.send(number, text, 'w1')
    rig.run(10)
    rig.gateway.refused_verbs = frozenset(statements.Verb)
    rig.gateway.end_sessions(rig.now_ms)
    told = list(rig.clients.answers.values())
    assert [len(answers) for answers in told] == [3 for _ in numbers]
    assert sorted(rig.clients.closed) == numbers
    codes = {answers[0].code for answers in told}
    assert codes == {_CODES.BUSY, _CODES.OUTCOME_UNKNOWN}
