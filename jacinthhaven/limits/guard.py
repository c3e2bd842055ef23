"""Decisions which connections are read and which are closed.

Reading stops before anything is refused. If that is not enough, the
connection that holds the most is closed first, since an ordinary one holds
next to nothing.
"""

import itertools
import typing

from jacinthhaven.limits import accounts, bounds

# Held bytes of a connection up to which it is read in any case. Ordinary
# messages have 100 to 1,500 bytes.
_SMALL_BYTES = 16_384
# Unfinished messages that are read on while memory is short, and the time in
# which each of them must be complete then.
_GRANTED = 4
_GRANTED_MS = 2000
# Share of the bound down to which connections are closed, so that each closure
# is not followed by another one at once.
_RELIEVED_SHARE = 0.9
# Share of the pressure level below which all connections are read again.
_RELAXED_SHARE = 0.75
# Connections that were used more recently are not closed for newer ones.
_EVICT_AFTER_MS = 1000
# Bytes that a reader must take within its time if so many are queued.
_READER_BYTES = 65_536

OnClosed = typing.Callable[[str, int], None]


class Guard:
    """Limits of all connections of a process.

    Attributes:
      ledger: What the connections hold.
      bounds: Bounds of the process.
      pressed: Whether large senders are not read because memory is short.
      refused: Number of connections that were refused for lack of room.
      now_ms: Time of the last tick.
      on_closed: Called with the reason and the held bytes of each connection
        that is about to be closed.
    """

    def __init__(self, limits: bounds.Bounds = bounds.DEFAULT) -> None:
        """Start without connections."""
        self.ledger = accounts.Ledger()
        self.bounds = limits
        self.pressed = False
        self.refused = 0
        self.now_ms = 0
        self.on_closed: OnClosed = _ignore

    def open(self) -> accounts.Account:
        """Return the account of a new connection."""
        return self.ledger.open(self.now_ms)

    def admit(self) -> bool:
        """Return whether a new connection may stay.

        If all connections are in use, one without a session or else the one
        that was idle for the longest time is closed for it.
        """
        if self.ledger.connections < self.bounds.connections:
            return True
        victim = self._find_evictable()
        if victim is None:
            self.refused += 1
            return False
        reason = 'idle'
        if victim in self.ledger.opening:
            reason = 'no_session'
        self._close(victim, reason)
        return True

    def may_deliver(self, account: accounts.Account) -> bool:
        """Return whether the next statement of a connection may be parsed."""
        pipelined = self.bounds.pipelined
        if self.pressed and not _is_small(account):
            pipelined = 1
        if len(account.statements) >= pipelined:
            return False
        return account.queued < self.bounds.queued_bytes

    def may_read(self, account: accounts.Account) -> bool:
        """Return whether a connection may be read."""
        if not self.may_deliver(account):
            return False
        small = _is_small(account)
        return small or not self.pressed or account.granted_ms is not None

    def relieve(self) -> None:
        """Note whether memory is short, and close the largest if it must."""
        held = self.ledger.held
        if held >= self.bounds.pressure_bytes:
            self.pressed = True
        if held > self.bounds.held_bytes:
            self._close_largest()

    def is_too_large(self, account: accounts.Account) -> bool:
        """Return whether a connection holds more than one may."""
        return account.held > self.bounds.connection_bytes

    def check_size(self, account: accounts.Account) -> None:
        """Close a connection that holds more than one may."""
        if self.is_too_large(account):
            self._close(account, 'connection_memory')

    def tick(self, now_ms: int) -> None:
        """Check the times of all connections, and read those that may be."""
        self.now_ms = now_ms
        for account in tuple(self.ledger.paused):
            account.record_kernel(account.unread())
        self.relieve()
        self._check_overdue(now_ms)
        self._check_readers(now_ms)
        relaxed = self.bounds.pressure_bytes * _RELAXED_SHARE
        if self.pressed and self.ledger.held < relaxed:
            self.pressed = False
        if self.pressed:
            self._grant(now_ms)
        for paused in tuple(self.ledger.paused):
            if self.may_read(paused):
                paused.resume()

    def _find_evictable(self) -> accounts.Account | None:
        before_ms = self.now_ms - _EVICT_AFTER_MS
        ledger = self.ledger
        for account in itertools.chain(ledger.opening, ledger.accepted):
            if account.active_ms > before_ms:
                continue
            if account.idle or account in ledger.opening:
                return account
        return None

    def _grant(self, now_ms: int) -> None:
        """Let the oldest unfinished messages through, a few at a time."""
        oldest = tuple(itertools.islice(self.ledger.unfinished, _GRANTED))
        for account in oldest:
            if account.granted_ms is None:
                account.granted_ms = now_ms
            elif now_ms - account.granted_ms >= _GRANTED_MS:
                self._close(account, 'unfinished_message')

    def _check_overdue(self, now_ms: int) -> None:
        ledger = self.ledger
        for known, limit_ms, reason in (
            (ledger.opening, self.bounds.start_ms, 'no_session'),
            (ledger.unfinished, self.bounds.message_ms, 'unfinished_message'),
        ):
            for account in _older(known, now_ms - limit_ms):
                self._close(account, reason)

    def _check_readers(self, now_ms: int) -> None:
        """Close connections whose clients do not read their answers."""
        for account, (since_ms, sent) in tuple(self.ledger.sending.items()):
            if now_ms - since_ms < self.bounds.reader_ms:
                continue
            if account.sent - sent < _READER_BYTES:
                self._close(account, 'unread_answers')
            else:
                self.ledger.sending[account] = (now_ms, account.sent)

    def _close_largest(self) -> None:
        target = self.bounds.held_bytes * _RELIEVED_SHARE
        largest = sorted(
            self.ledger.accepted,
            key=lambda account: account.held,
            reverse=True,
        )
        for account in largest:
            if self.ledger.held <= target or not account.held:
                return
            self._close(account, 'memory')

    def _close(self, account: accounts.Account, reason: str) -> None:
        if account not in self.ledger.accepted:
            return
        self.on_closed(reason, account.held)
        account.close()
        self.ledger.end(account)


def _is_small(account: accounts.Account) -> bool:
    return account.held - account.kept <= _SMALL_BYTES


def _older(
    known: dict[accounts.Account, int], before_ms: int
) -> list[accounts.Account]:
    """Return the accounts since a time; the oldest are the first."""
    first = itertools.takewhile(
        lambda entry: entry[1] <= before_ms, known.items()
    )
    return [account for account, _since_ms in first]


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
