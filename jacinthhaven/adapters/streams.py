"""Non-blocking TCP streams on the poller.

A stream owns its socket. It reads and writes as much as possible in one
callback, so that a small request takes one `recv` and one `send` call.
"""

import collections
import errno
import socket
import sys
import typing

from jacinthhaven.adapters import poller

READ_BYTES = 65536
# Time in which the last bytes must be read after `finish`.
_FINISH_MS = 10_000
_HANGUP = poller.select.EPOLLHUP | poller.select.EPOLLERR

# An `ssl.SSLContext`. Whoever creates one imports `ssl`. Processes without TLS
# do without that module, whose import delays the first answer after a restart.
TlsContext = typing.Any


class Stream:
    """One connected or connecting TCP socket.

    The owner sets `on_bytes(data)`, `on_open()` and `on_close()`.
    `on_close` is called exactly once, unless the owner calls `close`.

    Attributes:
      queued_bytes: Size of the chunks that are not sent completely.
      sent_bytes: Number of bytes that were sent so far.
      read_bytes: Most bytes that one call of `on_bytes` gets.
      reading: Whether received bytes are read.
      on_queue: Called after `queued_bytes` or `sent_bytes` has changed, except
        if a chunk was sent at once.
    """

    __slots__ = (
        'poller',
        'sock',
        'fd',
        'outgoing',
        'on_bytes',
        'on_open',
        'on_close',
        'connecting',
        'handshaking',
        'closing',
        'mask',
        'queued_bytes',
        'sent_bytes',
        'read_bytes',
        'reading',
        'on_queue',
    )

    def __init__(
        self,
        loop: poller.Poller,
        sock: socket.socket,
        connecting: bool = False,
    ) -> None:
        """Take ownership of a non-blocking socket."""
        self.poller = loop
        self.sock = sock
        self.fd = sock.fileno()
        self.outgoing: collections.deque[bytes | memoryview] = (
            collections.deque()
        )
        self.queued_bytes = 0
        self.sent_bytes = 0
        self.read_bytes = READ_BYTES
        self.reading = True
        self.on_queue: typing.Callable[[], None] = _ignore
        self.on_bytes: typing.Callable[[bytes], None] = _ignore
        self.on_open: typing.Callable[[], None] = _ignore
        self.on_close: typing.Callable[[], None] = _ignore
        self.connecting = connecting
        self.handshaking = _is_tls(sock)
        self.closing = False
        self.mask = poller.READABLE
        if connecting or self.handshaking:
            self.mask |= poller.WRITABLE
        loop.watch(self.fd, self.mask, self._on_ready)

    @property
    def closed(self) -> bool:
        """Return whether the socket is closed."""
        return self.fd < 0

    def send(self, chunk: bytes) -> None:
        """Queue bytes and write as much as the socket accepts now."""
        if self.closed:
            return
        self.outgoing.append(chunk)
        self.queued_bytes += len(chunk)
        if len(self.outgoing) == 1 and not (
            self.connecting or self.handshaking
        ):
            self._flush()
        else:
            self.on_queue()

    def pause(self) -> None:
        """Leave received bytes to the kernel, which slows the peer down."""
        if self.reading:
            self.reading = False
            self._update_mask()

    def resume(self) -> None:
        """Read received bytes again."""
        if self.reading or self.closing:
            return
        self.reading = True
        self._update_mask()
        if _is_tls(self.sock):
            self.poller.call_soon(self._receive_rest)

    def finish(self) -> None:
        """Close the socket after all queued bytes were written.

        Nothing more is read. A peer that does not read the queued bytes in time
        is disconnected.
        """
        self.closing = True
        if not self.outgoing:
            self.close()
        elif not self.closed:
            self.pause()
            self.poller.call_later(_FINISH_MS, self.close)

    def close(self) -> None:
        """Close the socket now; `on_close` is not called."""
        if self.closed:
            return
        self.poller.forget(self.fd)
        self.fd = -1
        self.sock.close()
        # Callbacks make cycles, so that the stream lives on for a while.
        self.outgoing.clear()

    def fail(self) -> None:
        """Close the socket after an error and call `on_close`."""
        if not self.closed:
            self.close()
            self.on_close()

    def _on_ready(self, mask: int) -> None:
        if self.connecting and not self._finish_connect():
            return
        if self.handshaking and not self._finish_handshake():
            return
        if mask & poller.READABLE and self.reading:
            self._receive()
        elif mask & _HANGUP:
            self.fail()
        if mask & poller.WRITABLE and not self.closed:
            self._flush()

    def _finish_connect(self) -> bool:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.fail()
            return False
        self.connecting = False
        if not self.handshaking:
            self._opened()
        return not self.closed

    def _finish_handshake(self) -> bool:
        ssl = sys.modules['ssl']
        try:
            self.sock.do_handshake()
        except ssl.SSLWantReadError:
            # The socket is always writable. Watching for that while the
            # other side sends nothing would cause a busy loop.
            self._set_mask(poller.READABLE)
            return False
        except ssl.SSLWantWriteError:
            self._set_mask(poller.READABLE | poller.WRITABLE)
            return False
        except OSError:
            self.fail()
            return False
        self.handshaking = False
        self._opened()
        return not self.closed

    def _opened(self) -> None:
        self._update_mask()
        self.on_open()
        if self.outgoing and not self.closed:
            self._flush()

    def _receive(self) -> None:
        try:
            chunk = self.sock.recv(self.read_bytes)
        except OSError as error:
            if not _may_retry(error):
                self.fail()
            return
        if not chunk:
            self.fail()
            return
        self.on_bytes(chunk)
        if not self.closed and _is_tls(self.sock):
            self._receive_pending()

    def _receive_pending(self) -> None:
        # epoll does not report bytes that the TLS layer has already
        # decrypted and buffered.
        if self.reading and self.sock.pending():
            self._receive()

    def _receive_rest(self) -> None:
        if not self.closed and not self.handshaking:
            self._receive_pending()

    def _flush(self) -> None:
        while self.outgoing:
            chunk = self.outgoing[0]
            try:
                sent = self.sock.send(chunk)
            except OSError as error:
                if not _may_retry(error):
                    self.fail()
                    return
                break
            self.sent_bytes += sent
            if sent < len(chunk):
                self.outgoing[0] = memoryview(chunk)[sent:]
                break
            self.outgoing.popleft()
            # A chunk occupies its memory until it is sent completely.
            self.queued_bytes -= _size(chunk)
        self._after_flush()

    def _after_flush(self) -> None:
        if self.closing and not self.outgoing:
            self.close()
            return
        waited = self.mask & poller.WRITABLE
        self._update_mask()
        if waited or self.outgoing:
            self.on_queue()

    def _update_mask(self) -> None:
        if self.closed or self.connecting or self.handshaking:
            return
        mask = poller.READABLE if self.reading else 0
        if self.outgoing:
            mask |= poller.WRITABLE
        self._set_mask(mask)

    def _set_mask(self, mask: int) -> None:
        if mask != self.mask:
            self.mask = mask
            self.poller.watch(self.fd, mask, self._on_ready)


def connect(
    loop: poller.Poller,
    address: tuple[str, int],
    tls: TlsContext | None = None,
) -> Stream:
    """Start to connect to an IP address and TCP port.

    Args:
      loop: Poller that will watch the socket.
      address: IP address and port.
      tls: Context for TLS, or None for plain TCP.

    Returns:
      A stream that calls `on_open` or `on_close` later.
    """
    sock = tcp_socket(address[0])
    error = sock.connect_ex(address)
    if tls is not None:
        sock = tls.wrap_socket(
            sock,
            server_hostname=address[0],
            do_handshake_on_connect=False,
        )
    stream = Stream(loop, sock, connecting=True)
    if error not in {0, errno.EINPROGRESS}:
        loop.call_soon(stream.fail)
    return stream


def tcp_socket(host: str) -> socket.socket:
    """Return a non-blocking TCP socket for an IP address."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _is_tls(sock: socket.socket) -> bool:
    """Return whether a context has wrapped a socket."""
    ssl = sys.modules.get('ssl')
    return ssl is not None and isinstance(sock, ssl.SSLSocket)


def _may_retry(error: OSError) -> bool:
    """Return whether a socket is only to be used again later."""
    if isinstance(error, BlockingIOError):
        return True
    ssl = sys.modules.get('ssl')
    if ssl is None:
        return False
    return isinstance(error, (ssl.SSLWantReadError, ssl.SSLWantWriteError))


def _size(chunk: bytes | memoryview) -> int:
    """Return the size of the whole chunk, of which a part may remain."""
    return len(chunk.obj) if isinstance(chunk, memoryview) else len(chunk)


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
