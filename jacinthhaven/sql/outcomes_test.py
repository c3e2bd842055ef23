"""Tests of what clients are told about statements without a reply."""

import itertools

import pytest

from jacinthhaven.sql import builders, outcomes, sessions, statements

_PROMISES = frozenset((statements.Code.BUSY, statements.Code.ABORTED))


def _work(text: str, *, sent: bool, transaction: bool) -> sessions.Work:
    rig = builders.Rig()
    number = rig.connect()
    session = rig.gateway.sessions[number]
    route = builders.route()
    if transaction:
        session.transaction = sessions.Transaction(route, False, 0)
    verb = statements.Verb(text)
    work = sessions.Work(session, statements.Statement('r', verb), route, 0)
    work.sent = sent
    return work


@pytest.mark.parametrize(
    'decide', [outcomes.after_loss, outcomes.after_deadline]
)
def test_a_write_in_flight_is_never_promised_away(decide):
    """Guards against a promise about a write that may have taken effect."""
    assert decide(_work('write', sent=True, transaction=False)) is (
        statements.Code.OUTCOME_UNKNOWN
    )
    assert decide(_work('commit', sent=True, transaction=True)) is (
        statements.Code.OUTCOME_UNKNOWN
    )


@pytest.mark.parametrize('verb', ['read', 'write'])
def test_a_statement_of_a_transaction_is_aborted(verb):
    """Guards against doubt where the transaction cannot be committed."""
    for sent, decide in itertools.product(
        (True, False),
        (outcomes.after_loss, outcomes.after_deadline),
    ):
        work = _work(verb, sent=sent, transaction=True)
        assert decide(work) is statements.Code.ABORTED


def test_what_was_not_sent_runs_again():
    """Guards against giving up what certainly did not run."""
    for verb in ('read', 'write'):
        work = _work(verb, sent=False, transaction=False)
        assert outcomes.after_loss(work) is None
        assert outcomes.after_deadline(work) in _PROMISES


def test_a_read_in_flight_promises_nothing_at_its_deadline():
    """Guards against saying that a read did not run although it may have."""
    work = _work('read', sent=True, transaction=False)
    assert outcomes.after_loss(work) is None
    assert outcomes.after_deadline(work) is statements.Code.TIMEOUT
