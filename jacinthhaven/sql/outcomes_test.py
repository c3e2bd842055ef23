"""Tests of the error codes for statements without a reply."""

import itertools

import pytest

from jacinthhaven.sql import (
    builders,
    outcomes,
    records,
    sessions,
    statements,
)

# Error codes that tell the client that the statement had no effect.
_NO_EFFECT = frozenset((statements.Code.BUSY, statements.Code.ABORTED))


def _work(text: str, *, sent: bool, transaction: bool) -> sessions.Work:
    rig = builders.Rig()
    number = rig.connect()
    session = rig.gateway.sessions[number]
    routing = records.Routing(builders.route(), 1)
    if transaction:
        session.transaction = sessions.Transaction(routing, False, 0)
    verb = statements.Verb(text)
    work = sessions.Work(session, statements.Statement('r', verb), routing, 0)
    work.sent = sent
    return work


@pytest.mark.parametrize(
    'error_code', [outcomes.after_loss, outcomes.after_deadline]
)
def test_write_in_flight_has_an_unknown_outcome(error_code):
    """Guards against reporting no effect for a write that may have run."""
    assert error_code(_work('write', sent=True, transaction=False)) is (
        statements.Code.OUTCOME_UNKNOWN
    )
    assert error_code(_work('commit', sent=True, transaction=True)) is (
        statements.Code.OUTCOME_UNKNOWN
    )


@pytest.mark.parametrize('verb', ['read', 'write'])
def test_statement_of_a_transaction_is_aborted(verb):
    """Guards against doubt although the transaction cannot be committed."""
    for sent, error_code in itertools.product(
        (True, False),
        (outcomes.after_loss, outcomes.after_deadline),
    ):
        work = _work(verb, sent=sent, transaction=True)
        assert error_code(work) is statements.Code.ABORTED


def test_statement_that_was_not_sent_is_retried():
    """Guards against failing a statement that certainly did not run."""
    for verb in ('read', 'write'):
        work = _work(verb, sent=False, transaction=False)
        assert outcomes.after_loss(work) is None
        assert outcomes.after_deadline(work) in _NO_EFFECT


def test_read_in_flight_times_out_at_its_deadline():
    """Guards against reporting that a read did not run although it may have."""
    work = _work('read', sent=True, transaction=False)
    assert outcomes.after_loss(work) is None
    assert outcomes.after_deadline(work) is statements.Code.TIMEOUT
