"""What each connection holds, and the sums over all of them."""

import collections
import typing

# A parsed statement has its text twice, as a whole and as its argument. The
# queue to the instance or the owner has it once more.
_COPIES = 3
# Objects of one statement beside its texts.
_STATEMENT_BYTES = 1024


class Account:
    """Bytes held for one connection.

    Attributes:
      received: Received bytes that are not delivered as statements.
      unanswered: Bytes of statements without an answer.
      sending: Bytes of answers that the socket has not accepted.
      kept: Bytes of settings and prepared statements.
      kernel: Received bytes that the process has not read.
      statements: Bytes of each statement without an answer, oldest first.
      in_transaction: Whether a transaction was open after the last answer.
      sent: Number of bytes that the socket has accepted.
      granted_ms: When an unfinished message was let through although memory
        is short, or None.
      active_ms: Time of the last statement.
      close: Closes the connection.
      resume: Reads the connection again if its limits allow it.
      unread: Returns the received bytes that the process has not read.
    """

    __slots__ = (
        'ledger',
        'received',
        'unanswered',
        'sending',
        'kept',
        'kernel',
        'statements',
        'in_transaction',
        'sent',
        'granted_ms',
        'active_ms',
        'close',
        'resume',
        'unread',
    )

    def __init__(self, ledger: 'Ledger', now_ms: int) -> None:
        """Create an account without bytes."""
        self.ledger = ledger
        self.received = 0
        self.unanswered = 0
        self.sending = 0
        self.kept = 0
        self.kernel = 0
        self.statements: collections.deque[int] = collections.deque()
        self.in_transaction = False
        self.sent = 0
        self.granted_ms: int | None = None
        self.active_ms = now_ms
        self.close: typing.Callable[[], None] = _ignore
        self.resume: typing.Callable[[], None] = _ignore
        self.unread: typing.Callable[[], int] = _nothing

    @property
    def held(self) -> int:
        """Return the bytes that are held for the connection."""
        return self.queued + self.received + self.kept + self.kernel

    @property
    def queued(self) -> int:
        """Return the bytes of unanswered statements and unsent answers."""
        return self.unanswered + self.sending

    @property
    def idle(self) -> bool:
        """Return whether closing the connection loses no work."""
        busy = self.statements or self.received or self.sending
        return not busy and not self.in_transaction

    def record_received(self, size: int) -> None:
        """Record the bytes that are received and not delivered."""
        self.ledger.held += size - self.received
        self.received = size

    def record_sending(self, size: int, sent: int) -> None:
        """Record the unsent bytes, and the number of bytes sent so far."""
        self.ledger.held += size - self.sending
        self.sending = size
        self.sent = sent

    def record_kept(self, size: int) -> None:
        """Record the bytes of settings and prepared statements."""
        self.ledger.held += size - self.kept
        self.kept = size

    def record_kernel(self, size: int) -> None:
        """Record the bytes that the process has not read."""
        self.ledger.held += size - self.kernel
        self.kernel = size

    def add_statement(self, length: int, now_ms: int) -> None:
        """Add a delivered statement of a length in bytes."""
        size = length * _COPIES + _STATEMENT_BYTES
        self.statements.append(size)
        self.unanswered += size
        self.ledger.held += size
        self.active_ms = now_ms
        self.ledger.touch(self)

    def answer_statement(self) -> None:
        """Remove the oldest statement."""
        if self.statements:
            size = self.statements.popleft()
            self.unanswered -= size
            self.ledger.held -= size


class Ledger:
    """Accounts of all connections of a process.

    Attributes:
      held: Bytes held for all connections.
      accepted: Accounts of accepted connections; the one that was inactive
        for the longest time is the first.
      opening: When each connection without an open session was accepted.
      unfinished: When each unfinished message began, oldest first.
      sending: For each connection with unsent answers, when it was last
        checked and how many bytes it had sent by then.
      paused: Accounts of connections that are not read.
      relays: Connections to owners; they use descriptors too.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self.held = 0
        self.accepted: dict[Account, bool] = {}
        self.opening: dict[Account, int] = {}
        self.unfinished: dict[Account, int] = {}
        self.sending: dict[Account, tuple[int, int]] = {}
        self.paused: dict[Account, None] = {}
        self.relays = 0

    @property
    def connections(self) -> int:
        """Return the connections, counted as the descriptors they may use.

        A connection whose session is not open yet may need a second one to
        an owner.
        """
        return len(self.accepted) + len(self.opening) + self.relays

    def open(self, now_ms: int) -> Account:
        """Return the account of an accepted connection."""
        account = Account(self, now_ms)
        self.accepted[account] = True
        self.opening[account] = now_ms
        return account

    def touch(self, account: Account) -> None:
        """Record that a connection is in use."""
        if self.accepted.pop(account, False):
            self.accepted[account] = True

    def end(self, account: Account) -> None:
        """Remove an account and what it holds; repeated calls do nothing."""
        if not self.accepted.pop(account, False):
            return
        self.held -= account.held
        for known in (
            self.opening,
            self.unfinished,
            self.sending,
            self.paused,
        ):
            known.pop(account, None)


def _ignore() -> None:
    """Do nothing; default of an unset callback."""


def _nothing() -> int:
    """Return no bytes; default of an unset callback."""
    return 0
