"""Tests of links that one node lends to another."""

from jacinthhaven.sql import builders, lending, statements

_BORROWER = 77


def _lender(rig: builders.Rig) -> lending.Lender:
    return lending.Lender(
        rig.gateway,
        builders.FakeBorrowers(),
        rig.journal,
    )


def _lend(rig: builders.Rig) -> tuple[lending.Lender, lending.Loan]:
    lender = _lender(rig)
    lender.on_request(_BORROWER, builders.SERVICE, '', 'db-a', rig.now_ms)
    return lender, lender.loans[_BORROWER]


def test_lent_link_is_not_used_by_its_owner():
    """Guards against two nodes that use one link at the same time."""
    rig = builders.Rig()
    _lender_of_loan, loan = _lend(rig)
    rig.ask(rig.connect(builders.STRICT), 'WRITE k 1', 'w1')
    connection = rig.databases.connections[loan.link.number]
    assert not any('WRITE' in line for line in connection.handled)


def test_no_free_link_is_refused_at_once():
    """Guards against borrowers that wait although no link is free."""
    rig = builders.Rig()
    lender, _loan = _lend(rig)
    lender.on_request(_BORROWER + 1, builders.SERVICE, '', 'db-a', rig.now_ms)
    assert lender.borrowers.sent[_BORROWER + 1] == ['refused']


def test_returned_link_is_reset_and_used_again():
    """Guards against session values that remain from another node."""
    rig = builders.Rig()
    lender, loan = _lend(rig)
    lender.on_returned(_BORROWER, rig.now_ms)
    rig.run(50)
    connection = rig.databases.connections[loan.link.number]
    assert connection.handled[-1].endswith('RESET')
    assert loan.link.free


def test_link_with_an_open_statement_is_closed_on_return():
    """Guards against a late reply that is sent to another client."""
    rig = builders.Rig()
    lender, loan = _lend(rig)
    lender.on_line(_BORROWER, 'QUERY x READ k', rig.now_ms)
    lender.on_returned(_BORROWER, rig.now_ms)
    assert loan.link.number not in rig.databases.connections


def test_link_with_an_open_transaction_is_closed_on_return():
    """Guards against statements inside a transaction of another client."""
    rig = builders.Rig()
    lender, loan = _lend(rig)
    lender.on_line(_BORROWER, 'QUERY - BEGIN', rig.now_ms)
    lender.on_reply_line(
        loan.link.number,
        'READY T 1.0',
        statements.State.OPEN,
    )
    lender.on_returned(_BORROWER, rig.now_ms)
    assert loan.link.number not in rig.databases.connections


def test_lost_link_ends_the_loan():
    """Guards against a borrower that waits for replies on a lost link."""
    rig = builders.Rig()
    lender, loan = _lend(rig)
    lender.on_lost(loan.link.number)
    assert lender.borrowers.sent[_BORROWER] == ['granted', 'ended']


def test_unreachable_primary_is_reached_through_another_node():
    """Guards against failed statements while other nodes reach the primary."""
    rig = builders.Rig()
    rig.service.pool.lenders = [('127.0.0.1', 9)]
    rig.databases.cut = {'db-a'}
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'READ k', 'r1')
    rig.run(800)
    answer = rig.ask(number, 'WRITE k 1', 'w1')
    assert answer.code is None
    assert rig.databases.lenders


def test_planned_stop_ends_unused_loans_only():
    """Guards against statements that a borrower sends to an exiting node."""
    rig = builders.Rig()
    lender, loan = _lend(rig)
    lender.on_line(_BORROWER, 'QUERY x READ k', rig.now_ms)
    lender.end_unused(rig.now_ms)
    assert lender.loans
    lender.on_reply_line(loan.link.number, 'READY I -', statements.State.IDLE)
    lender.end_unused(rig.now_ms)
    assert lender.borrowers.sent[_BORROWER][-1] == 'ended'
    assert not lender.loans
