"""Crowds of misbehaving clients, and what a process holds meanwhile."""

import contextlib
import itertools
import pathlib
import selectors
import socket
import time
import typing
from urllib import request as requests

from jacinthhaven.sql import ownership
from soak import clients, fleet

# The smallest deployed machine has 152 MB, of which a process needs about
# 60 MB at rest. The tests use 100 MB, so that a small crowd shows the fault.
MEMORY_MB = 100
REST_MB = 60
MAX_FDS = 300
# Nine nodes or fewer all own every service, so that none would relay.
RELAYING_SIZE = 10

_HOST = '127.0.0.1'
_MB = 1_000_000
_KB = 1024
# A crowd has done its worst if no byte was accepted for this long.
_IDLE_S = 3
# A crowd whose bytes are accepted slowly is not played for longer.
_PLAY_S = 30
_SAMPLE_S = 0.05
_ANSWER_S = 60
_RETRY_S = 0.1
_READ_BYTES = 65_536
_ESTABLISHED = '01'


class Kind(typing.NamedTuple):
    """What each client of a crowd sends.

    Attributes:
      count: Number of clients.
      payload: Bytes that each sends after its session has begun.
      piece_bytes: Most bytes of one call.
      trickle: Whether a client goes on with one byte at a time afterwards.
      reads: Whether it reads its answers.
      start: First bytes, which open a session; the payload follows when they
        were answered. Empty for none.
    """

    count: int
    payload: bytes = b''
    piece_bytes: int = _READ_BYTES
    trickle: bool = False
    reads: bool = False
    start: bytes = b'START strict soak\r\n'


class _Member:
    """One client of a crowd."""

    def __init__(self, port: int, kind: Kind) -> None:
        self.kind = kind
        self.socket = socket.create_connection((_HOST, port), 1)
        if kind.start:
            self.socket.sendall(kind.start)
            self.socket.recv(_READ_BYTES)
        self.socket.setblocking(False)
        self.rest = memoryview(kind.payload)

    def play(self) -> bool:
        """Send the next piece.

        Returns:
          Whether the proxy accepted a part of the payload; the bytes of a
          trickle do not count.
        """
        if self.kind.reads:
            with contextlib.suppress(BlockingIOError):
                self.socket.recv(_READ_BYTES)
        trickles = not self.rest
        if trickles and not self.kind.trickle:
            return False
        piece = b'x' if trickles else self.rest[: self.kind.piece_bytes]
        try:
            sent = self.socket.send(piece)
        except BlockingIOError:
            return False
        if trickles:
            return False
        self.rest = self.rest[sent:]
        return sent > 0


class _Row(typing.NamedTuple):
    """First columns of one row of the kernel's table of TCP sockets."""

    local: str
    remote: str
    state: str
    queues: str

    @property
    def port(self) -> int:
        """Return the local port of an established connection, or 0."""
        if self.state != _ESTABLISHED:
            return 0
        return int(self.local.rpartition(':')[2], 16)

    @property
    def queued(self) -> int:
        """Return the bytes that wait to be sent or to be read."""
        return sum(int(length, 16) for length in self.queues.split(':'))


class Usage:
    """Most memory and descriptors that one process has used.

    Attributes:
      rest_mb: Resident memory before the crowd.
      kernel_mb: Most bytes in the socket buffers of its connections.
      descriptors: Most open descriptors.
    """

    def __init__(self, proxy: fleet.Proxy) -> None:
        """Measure a process before the crowd."""
        self.proxy = proxy
        self.rest_mb = self._status_mb('VmRSS')
        self.kernel_mb: float = 0
        self.descriptors = 0

    @property
    def growth_mb(self) -> float:
        """Return by how much memory has grown at most, kernel included."""
        return self._status_mb('VmHWM') - self.rest_mb + self.kernel_mb

    def sample(self) -> None:
        """Measure what has no high-water mark."""
        if not self.proxy.running:
            return
        opened = len(list(self._proc('fd').iterdir()))
        self.descriptors = max(self.descriptors, opened)
        self.kernel_mb = max(self.kernel_mb, _kernel_mb(self.proxy))

    def _status_mb(self, name: str) -> float:
        text = self._proc('status').read_text()
        _, _, rest = text.partition(name)
        return int(rest.split()[1]) * _KB / _MB

    def _proc(self, name: str) -> pathlib.Path:
        return pathlib.Path('/proc', str(self.proxy.process.pid), name)


def _parse_row(line: str) -> _Row:
    fields = line.split()
    return _Row(*fields[1:5])


def _kernel_mb(proxy: fleet.Proxy) -> float:
    """Return the bytes in the buffers of the accepted connections."""
    table = pathlib.Path('/proc/net/tcp').read_text()
    rows = map(_parse_row, table.splitlines()[1:])
    ports = frozenset(proxy.ports)
    queued = sum(row.queued for row in rows if row.port in ports)
    return queued / _MB


def settings() -> str:
    """Return the settings lines with the limits of the tests."""
    return '\n'.join(
        ('limits:', f'  memory_mb: {MEMORY_MB}', f'  max_fds: {MAX_FDS}', '')
    )


def relaying(running: fleet.Fleet) -> fleet.Proxy:
    """Return a proxy that owns no service, once it knows all others."""
    peer = ownership.Peer(('', 0), 'a', 1)
    names = [f'n{proxy.number}' for proxy in running.proxies]
    owners = ownership.owners('ledger', dict.fromkeys(names, peer))
    for proxy in running.proxies:
        _wait_members(proxy, len(names))
    others = [name not in owners for name in names]
    return running.proxies[others.index(True)]


def _wait_members(proxy: fleet.Proxy, count: int) -> None:
    url = f'http://{_HOST}:{proxy.ports[2]}/metrics'
    expected = f'jacinthhaven_members {count}.0'.encode()
    while True:
        with requests.urlopen(url, timeout=_ANSWER_S) as page:  # noqa: S310
            if expected in page.read():
                return
        time.sleep(_RETRY_S)


def store_item(proxy: fleet.Proxy, name: str, size: int) -> None:
    """Write an item of a size in bytes."""
    pad = 'x' * size
    _serve(proxy, f'WRITE {name} {pad}')


def is_served(proxy: fleet.Proxy) -> bool:
    """Return whether one ordinary request is answered without an error.

    A refusal is repeated, since a process may refuse while it is full.
    """
    until = time.monotonic() + _ANSWER_S
    while proxy.running and time.monotonic() < until:
        try:
            return _serve(proxy, 'READ ordinary')
        except OSError:
            time.sleep(_RETRY_S)
    return False


def _serve(proxy: fleet.Proxy, text: str) -> bool:
    opened = clients.Session(proxy.ports[0], 'strict')
    with contextlib.closing(opened) as session:
        if session.ask('ordinary', text).code:
            raise ConnectionRefusedError(text)
    return True


def play(kind: Kind, port: int, usages: list[Usage]) -> list[_Member]:
    """Play a crowd until the proxy accepts nothing more.

    Returns:
      The clients whose connections are still open.
    """
    crowd = _connect(kind, port)
    ends = time.monotonic() + _PLAY_S
    idle_from = time.monotonic()
    sampled = idle_from
    while crowd and time.monotonic() < min(idle_from + _IDLE_S, ends):
        if _play_once(crowd):
            idle_from = time.monotonic()
        if time.monotonic() - sampled >= _SAMPLE_S:
            sampled = time.monotonic()
            for usage in usages:
                usage.sample()
        _wait(crowd)
    return crowd


def _play_once(crowd: list[_Member]) -> bool:
    """Let each client send once, and drop those that were disconnected."""
    progress = False
    for member in tuple(crowd):
        try:
            progress = member.play() or progress
        except OSError:
            member.socket.close()
            crowd.remove(member)
    return progress


def _connect(kind: Kind, port: int) -> list[_Member]:
    crowd = []
    for each in itertools.repeat(kind, kind.count):
        # A proxy at its limit may refuse the connection.
        with contextlib.suppress(OSError):
            crowd.append(_Member(port, each))
    return crowd


def _wait(crowd: list[_Member]) -> None:
    """Wait until a client can send, so that waiting takes no processor."""
    with selectors.DefaultSelector() as selector:
        for member in crowd:
            if member.rest:
                selector.register(member.socket, selectors.EVENT_WRITE)
        if selector.get_map():
            selector.select(_SAMPLE_S)
        else:
            time.sleep(_SAMPLE_S)
