"""Tests of work that is under way while its primary is replaced."""

import pytest

from jacinthhaven.sql import (
    builders,
    cluster_builders,
    leadership,
    proofs,
    statements,
)


@pytest.fixture
def rig() -> builders.Rig:
    """Return a gateway that may use the primary of the present term."""
    known = builders.Rig()
    known.group.fenced = False
    right = known.service.right
    right.require('n0', known.now_ms)
    right.voters = ('n0',)
    right.knows_promotions = True
    return known


def _replace(rig: builders.Rig) -> None:
    """Let db-b lead; db-a goes on, since nobody demotes it."""
    rig.group.promote('db-b')
    rig.service.tracker.set_leader('db-b', 2, leadership.Source.STATUS)


def _answer(rig: builders.Rig, number: int) -> statements.Answer:
    """Return the last answer to a client."""
    return rig.clients.answers[number][-1]


def _newest_proof(rig: builders.Rig) -> proofs.Proof | None:
    return rig.service.proofs.newest


def test_transaction_is_not_committed_at_a_replaced_primary():
    """Guards against a COMMIT under the right for the successor's term."""
    cluster = cluster_builders.Cluster(fenced=False)
    rig = cluster.rigs[1]
    rig.databases.failing.add('DEMOTE')
    for other in cluster.rigs:
        other.databases.failing.add('DEMOTE')
    rig.gateway.on_start(1, builders.STRICT)
    for text in ('BEGIN', 'WRITE k 1'):
        rig.send(1, text, 'w1')
        cluster.run(50)
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    while cluster.leadership(1).term == 1:
        cluster.run(10)
    cluster.run(100)
    rig.send(1, 'COMMIT', 'c1')
    cluster.run(200)
    assert _answer(rig, 1).code is statements.Code.ABORTED
    assert not cluster.group.split_commits


def test_reply_of_a_replaced_primary_is_not_passed_on(rig):
    """Guards against a write that is acknowledged and lost."""
    rig.databases.work_ms = 50
    number = rig.connect(builders.STRICT)
    rig.send(number, 'WRITE k 1', 'w1')
    _replace(rig)
    rig.run(100)
    assert rig.group.split_commits == ['w1']
    assert _answer(rig, number).code is statements.Code.OUTCOME_UNKNOWN


def test_read_of_a_replaced_primary_runs_again(rig):
    """Guards against a current read without the successor's commits."""
    rig.databases.work_ms = 50
    number = rig.connect(builders.STRICT)
    rig.send(number, 'READ k')
    _replace(rig)
    rig.group.commit((('k', 'new'),), ('w2',), rig.now_ms)
    rig.run(800)
    assert _answer(rig, number).rows == ('new',)


def test_write_is_not_sent_if_the_primary_was_replaced_during_its_setup(rig):
    """Guards against a write in doubt that was not sent yet."""
    rig.databases.work_ms = 50
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'SET tz utc')
    rig.send(number, 'WRITE k 1', 'w1')
    _replace(rig)
    rig.run(500)
    assert _answer(rig, number).code is None
    assert builders.instances_that_ran(rig, 'WRITE') == ['db-b']


def test_old_reply_proves_nothing_about_the_successor(rig):
    """Guards against a position of a replaced primary under a later term."""
    rig.databases.work_ms = 50
    rig.send(rig.connect(builders.STRICT), 'WRITE k 1', 'w1')
    _replace(rig)
    rig.service.tracker.set_leader('db-c', 3, leadership.Source.STATUS)
    rig.service.tracker.set_leader('db-a', 4, leadership.Source.STATUS)
    rig.run(60)
    assert _newest_proof(rig) is None or _newest_proof(rig).term < 4


@pytest.mark.parametrize('required', [True, False])
def test_idle_transaction_of_a_replaced_primary_ends_at_once(rig, required):
    """Guards against a transaction that fails only when its client returns."""
    rig.service.right.required = required
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    _replace(rig)
    rig.run(20)
    assert rig.journal.events('transaction_ended')
    assert not any(link.pinned for link in rig.service.pool.by_number.values())
    answer = rig.ask(number, 'WRITE k 2', 'w2')
    assert answer.code is statements.Code.ABORTED
    assert not rig.group.committed
