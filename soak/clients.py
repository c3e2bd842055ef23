"""Clients of a soak and what they were told.

Each client writes ever larger numbers to an item of its own, reads it back
and repeats a write only if it was told that nothing was kept.
"""

import contextlib
import itertools
import socket
import threading
import time
import typing

from soak import customers, fleet

_TIMEOUT_S = 4
_PAUSE_S = 0.005
# Each fourth client pauses within its transactions, so that primaries are replaced
# and proxies stop meanwhile.
_SLOW_CLIENTS = 4
_TRANSACTION_PAUSE_S = 1.2
# What the stand-in returns for an item without a value.
_NOTHING = 'none'
PROMISES = frozenset(
    (
        'BUSY',
        'ABORTED',
        'LAGGING',
        'READONLY',
        'MISROUTED',
        'CONNLIMIT',
    ),
)


class Answer(typing.NamedTuple):
    """Answer to one statement.

    Attributes:
      code: Error code, or an empty string.
      rows: Result rows.
      state: Transaction state.
    """

    code: str
    rows: tuple[str, ...]
    state: str


class StaleRead(typing.NamedTuple):
    """Read that missed an acknowledged write of the same client.

    Attributes:
      request: Identifier of the read.
      found: Number that it returned.
      missed: Identifier of the newest acknowledged write.
    """

    request: str
    found: int
    missed: str


class Session:
    """One connection to a proxy."""

    def __init__(self, port: int, database: str, key: str = 'soak') -> None:
        """Open a session.

        Raises:
          OSError: If the proxy cannot be reached or refuses.
        """
        self.socket = socket.create_connection(('127.0.0.1', port), 1)
        self.socket.settimeout(_TIMEOUT_S)
        self.lines = self.socket.makefile('rb')
        self.socket.sendall(f'START {database} {key}\r\n'.encode())
        if self._line().partition(' ')[0] != 'READY':
            self.close()
            raise ConnectionRefusedError(database)

    def ask(self, request: str, text: str) -> Answer:
        """Send a statement and return its answer.

        Raises:
          OSError: If the connection ends without a whole answer.
        """
        self.socket.sendall(f'QUERY {request} {text}\r\n'.encode())
        rows: list[str] = []
        code = ''
        while True:
            word, _, rest = self._line().partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                return Answer(code, tuple(rows), rest[:1])

    def close(self) -> None:
        """Close the connection."""
        self.lines.close()
        self.socket.close()

    def _line(self) -> str:
        line = self.lines.readline()
        if not line.endswith(b'\n'):
            raise ConnectionResetError
        return line.decode().strip()


class Client(threading.Thread):
    """Client that checks its own answers.

    Attributes:
      done: Requests that were acknowledged.
      refused: Requests of which nothing was kept.
      unknown: Requests without a certain outcome.
      problems: Reads that missed an own write.
      counts: Answers by code.
      marks: Time and code of each answer.
    """

    def __init__(self, number: int, proxies: list[fleet.Proxy]) -> None:
        """Create a client with an item of its own."""
        super().__init__(daemon=True)
        self.number = number
        self.proxies = proxies
        self.done: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.problems: list[StaleRead] = []
        self.counts: dict[str, int] = {}
        self.marks: list[tuple[float, str]] = []
        self.stopped = threading.Event()
        self.steps = itertools.count(1)
        self.newest = 0
        self.newest_write = ''
        self.certain = True

    def run(self) -> None:
        """Use one proxy after the other until stopped."""
        turn = self.number
        while not self.stopped.wait(_PAUSE_S):
            turn += 1
            proxy = self.proxies[turn % len(self.proxies)]
            try:
                self._use(proxy)
            except OSError:
                self._count('no_session')

    def _use(self, proxy: fleet.Proxy) -> None:
        database = 'strict' if self.number % 2 else 'own'
        key = customers.of_client(self.number).key
        with contextlib.closing(Session(proxy.port, database, key)) as session:
            while not self.stopped.wait(_PAUSE_S):
                self._step(session)

    def _step(self, session: Session) -> None:
        step = next(self.steps)
        request = f'{self.number}x{step}'
        if step % 3 == 0:
            self._transaction(session, request, step)
        elif step % 3 == 1:
            self._write(session, request, step)
        else:
            self._read(session, request)

    def _write(self, session: Session, request: str, step: int) -> None:
        text = f'WRITE k{self.number} {step}'
        self._judge(request, step, self._ask(session, request, text))

    def _transaction(self, session: Session, request: str, step: int) -> None:
        for text in ('BEGIN', f'WRITE k{self.number} {step}'):
            try:
                answer = session.ask(request, text)
            except OSError:
                # The commit was not sent, so nothing may be kept.
                self.refused.add(request)
                raise
            if answer.code:
                self._judge(request, step, Answer('ABORTED', (), ''))
                session.ask(request, 'ROLLBACK')
                return
            if self.number % _SLOW_CLIENTS == 0:
                self.stopped.wait(_TRANSACTION_PAUSE_S)
        self._judge(request, step, self._ask(session, request, 'COMMIT'))

    def _ask(self, session: Session, request: str, text: str) -> Answer:
        try:
            return session.ask(request, text)
        except OSError:
            self.unknown.add(request)
            self.certain = False
            raise

    def _judge(self, request: str, step: int, answer: Answer) -> None:
        self._count(answer.code or 'done')
        if answer.code in PROMISES:
            self.refused.add(request)
        elif answer.code:
            self.unknown.add(request)
            self.certain = False
        else:
            self.done.add(request)
            self.newest = step
            self.newest_write = request
            self.certain = True

    def _read(self, session: Session, request: str) -> None:
        answer = session.ask(request, f'READ k{self.number}')
        self._count(answer.code or 'read')
        if answer.code:
            return
        row = answer.rows[0]
        found = 0 if row == _NOTHING else int(row)
        if self.certain and found < self.newest:
            self.problems.append(StaleRead(request, found, self.newest_write))

    def _count(self, code: str) -> None:
        self.marks.append((time.monotonic(), code))
        self.counts[code] = self.counts.get(code, 0) + 1
