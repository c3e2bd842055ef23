"""Accepted connections whose received lines and queued answers are limited."""

import array
import fcntl
import functools
import socket
import termios
import typing

from jacinthhaven.adapters import streams
from jacinthhaven.limits import accounts, guard
from jacinthhaven.platform import peer_wire, words
from jacinthhaven.sql import statements

# A connection fails if sent bytes stay unacknowledged this long, as they do
# when the host is down.
_USER_TIMEOUT_MS = 4000
# A paused connection must not have received much more than the limits count.
_READ_BYTES = 16_384
_PING = words.encode([peer_wire.PING])


def limit_silence(stream: streams.Stream) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing."""
    stream.sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )


class ClientConnection:
    """Connection of a client or of another node.

    Received lines are delivered only while its limits allow it. The others
    wait as bytes, and the socket is not read meanwhile.

    Attributes:
      number: Number of the connection.
      started: Whether the line that opens a session was delivered.
      starting: Whether the session is not accepted yet, so that no statement
        can be delivered.
      relayed: Whether another node relays the session. Its pings are answered
        also while no statement is delivered; otherwise it would take this
        process for dead.
      delivering: Whether lines are being delivered.
      ended: Whether the connection was given up or passed on.
      on_line: Called with each line.
      on_malformed: Called if the peer does not follow the protocol.
    """

    __slots__ = (
        'guard',
        'stream',
        'account',
        'reader',
        'number',
        'started',
        'starting',
        'relayed',
        'delivering',
        'ended',
        'on_line',
        'on_malformed',
    )

    def __init__(
        self,
        limits: guard.Guard,
        stream: streams.Stream,
        account: accounts.Account,
        number: int,
    ) -> None:
        """Receive the bytes of a stream."""
        self.guard = limits
        self.stream = stream
        self.account = account
        self.reader = words.LineReader()
        self.number = number
        self.started = False
        self.starting = False
        self.relayed = False
        self.delivering = False
        self.ended = False
        self.on_line: typing.Callable[[str], None] = _ignore
        self.on_malformed: typing.Callable[[], None] = _ignore
        stream.read_bytes = _READ_BYTES
        stream.on_bytes = self._on_bytes
        stream.on_queue = self._on_queue
        account.resume = self.deliver
        account.unread = functools.partial(_unread_bytes, stream)

    def start(self) -> None:
        """Deliver all further lines as statements."""
        self.started = True
        self.guard.ledger.opening.pop(self.account, None)

    def begin_start(self) -> None:
        """Deliver no statement before the session is accepted."""
        self.started = True
        self.starting = True

    def open(self) -> None:
        """Deliver the statements that were received before the acceptance."""
        self.start()
        if self.starting:
            self.starting = False
            self._continue()

    def send(self, chunk: bytes, state: statements.State | None) -> None:
        """Send bytes; the state is given if they end an answer."""
        if state is not None:
            self.account.answer_statement()
            self.account.in_transaction = state is not statements.State.IDLE
        self.stream.send(chunk)
        if state is not None:
            self._continue()

    def deliver(self) -> None:
        """Deliver as many received lines as the limits allow."""
        if self.delivering or self.ended:
            return
        self.delivering = True
        try:
            self._deliver_lines()
        except words.MalformedLineError:
            self.on_malformed()
        finally:
            self.delivering = False
        self._settle()

    def end(self) -> None:
        """Give the account up."""
        self.ended = True
        self.guard.ledger.end(self.account)
        # Callbacks make cycles, so that the connection lives on for a while.
        self.reader.take_rest()

    def pass_on(self) -> bytes:
        """Stop to use the stream and return the bytes that wait."""
        self.ended = True
        self.stream.read_bytes = streams.READ_BYTES
        rest = self.reader.take_rest()
        self.account.record_received(0)
        return rest

    def _on_bytes(self, chunk: bytes) -> None:
        if self.ended:
            return
        self.reader.add(chunk)
        self.deliver()
        self.guard.check_size(self.account)
        self.guard.relieve()

    def _deliver_lines(self) -> None:
        while not self.ended and (self._may_deliver() or self._has_ping()):
            line = self.reader.next_line()
            if line is None:
                return
            if self.guard.ledger.unfinished.pop(self.account, None) is not None:
                self.account.granted_ms = None
            self.on_line(line)

    def _has_ping(self) -> bool:
        return self.relayed and self.reader.starts_with(_PING)

    def _may_deliver(self) -> bool:
        return not self.starting and self.guard.may_deliver(self.account)

    def _settle(self) -> None:
        """Record what is held, and read on if the limits allow it."""
        if self.ended:
            return
        account = self.account
        ledger = self.guard.ledger
        size = self.reader.size
        account.record_received(size)
        if size and self._may_deliver():
            ledger.unfinished.setdefault(account, self.guard.now_ms)
        if not self.starting and self.guard.may_read(account):
            ledger.paused.pop(account, None)
            account.record_kernel(0)
            self.stream.resume()
            return
        ledger.paused[account] = None
        if self._may_deliver():
            # Memory is short; its turn comes with the unfinished messages.
            ledger.unfinished.setdefault(account, self.guard.now_ms)
        if self.relayed and size < len(_PING):
            self.stream.resume()
        else:
            self.stream.pause()

    def _continue(self) -> None:
        """Deliver waiting lines later, after the present callback."""
        if self.account in self.guard.ledger.paused:
            self.stream.poller.call_soon(self.deliver)

    def _on_queue(self) -> None:
        if self.ended:
            return
        stream = self.stream
        self.account.record_sending(stream.queued_bytes, stream.sent_bytes)
        sending = self.guard.ledger.sending
        if not stream.queued_bytes:
            sending.pop(self.account, None)
        elif self.account not in sending:
            sending[self.account] = (self.guard.now_ms, stream.sent_bytes)
        if self.guard.is_too_large(self.account):
            # The present callback may still use the connection.
            self.stream.poller.call_soon(self._check_size)
        self._continue()

    def _check_size(self) -> None:
        self.guard.check_size(self.account)


def _unread_bytes(stream: streams.Stream) -> int:
    """Return the received bytes that the process has not read."""
    if stream.closed:
        return 0
    count = array.array('i', (0,))
    try:
        fcntl.ioctl(stream.fd, termios.FIONREAD, count)
    except OSError:
        # The connection has failed, which its next read reports.
        return 0
    return count[0]


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
