"""Tests of the decisions which connections are read and which are closed."""

import msgspec

from jacinthhaven.limits import accounts, bounds, guard
from jacinthhaven.records import sql_settings

_BOUNDS = msgspec.structs.replace(
    bounds.DEFAULT,
    held_bytes=1_000_000,
    pressure_bytes=500_000,
    connections=10,
)


class _Rig:
    """Guard whose closed and resumed connections are recorded."""

    def __init__(self) -> None:
        self.guard = guard.Guard(_BOUNDS)
        self.reasons = []
        self.closed = []
        self.resumed = []
        self.guard.on_closed = lambda reason, _held: self.reasons.append(reason)

    def open(self, received: int = 0) -> accounts.Account:
        """Open a session that has sent a part of a message."""
        account = self.guard.open()
        account.close = lambda: self.closed.append(account)
        account.resume = lambda: self.resumed.append(account)
        self.guard.ledger.opening.pop(account)
        account.record_received(received)
        if received:
            self.guard.ledger.unfinished[account] = self.guard.now_ms
        return account


def test_largest_is_closed_first():
    """Guards against closing ordinary connections when memory is short."""
    rig = _Rig()
    rig.open(1500)
    large = rig.open(600_000)
    rig.open(450_000)
    rig.guard.relieve()
    assert rig.closed == [large]
    assert rig.guard.ledger.held == 451_500


def test_large_senders_wait_before_any_is_closed():
    """Guards against refusing senders that only need to wait."""
    rig = _Rig()
    ordinary = rig.open(1500)
    large = [rig.open(100_000) for _each in range(6)]
    rig.guard.relieve()
    assert rig.guard.may_read(ordinary)
    assert not any(map(rig.guard.may_read, large))
    for paused in large:
        rig.guard.ledger.paused[paused] = None
    rig.guard.ledger.unfinished.pop(ordinary)
    rig.guard.tick(100)
    assert rig.resumed == large[:4]
    assert not rig.closed


def test_stalled_sender_does_not_keep_its_turn():
    """Guards against senders that stop half-way and block all others."""
    rig = _Rig()
    large = [rig.open(100_000) for _each in range(6)]
    rig.guard.tick(100)
    rig.guard.tick(2100)
    assert rig.closed == large[:4]
    assert set(rig.reasons) == {'unfinished_message'}


def test_kept_texts_do_not_stop_a_session():
    """Guards against a session that is not read as long as it keeps texts."""
    rig = _Rig()
    keeping = rig.open()
    keeping.record_kept(600_000)
    rig.guard.relieve()
    assert rig.guard.pressed
    assert rig.guard.may_read(keeping)


def test_full_process_makes_room():
    """Guards against idle connections that lock all new clients out."""
    rig = _Rig()
    known = [rig.open() for _each in range(10)]
    known[0].in_transaction = True
    assert not rig.guard.admit()
    assert rig.guard.refused == 1
    rig.guard.tick(1500)
    rig.guard.ledger.touch(known[1])
    assert rig.guard.admit()
    assert rig.closed == [known[2]]
    assert rig.reasons == ['idle']


def test_reader_without_progress_is_closed():
    """Guards against answers that are queued for as long as a client likes."""
    rig = _Rig()
    slow, reading = rig.open(), rig.open()
    for account in (slow, reading):
        account.record_sending(200_000, 0)
        rig.guard.ledger.sending[account] = (0, 0)
    reading.record_sending(100_000, 100_000)
    rig.guard.tick(_BOUNDS.reader_ms)
    assert rig.closed == [slow]
    assert rig.reasons == ['unread_answers']


def test_old_half_open_and_unfinished_connections_are_closed():
    """Guards against clients that connect, or begin a message, and stop."""
    rig = _Rig()
    rig.open(100)
    silent = rig.guard.open()
    rig.guard.tick(29_000)
    assert rig.reasons == []
    rig.guard.tick(30_000)
    assert sorted(rig.reasons) == ['no_session', 'unfinished_message']
    assert silent not in rig.guard.ledger.accepted


def test_pipelined_statements_stop_the_reading():
    """Guards against one connection that sends without end."""
    rig = _Rig()
    account = rig.open()
    while len(account.statements) < _BOUNDS.pipelined:
        assert rig.guard.may_read(account)
        account.add_statement(100, 0)
    assert not rig.guard.may_read(account)
    account.answer_statement()
    assert rig.guard.may_read(account)


def test_held_bytes_return_to_zero():
    """Guards against sums that drift and close ordinary connections."""
    rig = _Rig()
    account = rig.open(300)
    account.add_statement(100, 0)
    account.record_kept(70)
    rig.guard.ledger.end(account)
    rig.guard.ledger.end(account)
    assert rig.guard.ledger.held == 0
    assert rig.guard.ledger.connections == 0


def test_bounds_of_the_smallest_machine():
    """Guards against buffers that do not fit beside the process at rest."""
    limits = sql_settings.Limits(memory_mb=152, max_fds=1605)
    derived = bounds.derive(limits, 20_000)
    assert derived.held_bytes == 32_200_000
    assert derived.connections == 1605 - 64 - 160
    assert bounds.derive(limits, 500).connections == 500 - 64 - 50
