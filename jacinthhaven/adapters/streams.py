"""Non-blocking TCP streams and listeners on the poller.

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
_BACKLOG = 1024
_HANGUP = poller.select.EPOLLHUP | poller.select.EPOLLERR

# An `ssl.SSLContext`. Whoever creates one imports `ssl`. Processes without TLS
# do without that module, whose import delays the first answer after a restart.
TlsContext = typing.Any


class Stream:
    """One connected or connecting TCP socket.

    The owner sets `on_bytes(data)`, `on_open()` and `on_close()`.
    `on_close` is called exactly once, unless the owner calls `close`.
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
        'tls',
        'handshaking',
        'closing',
        'mask',
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
        self.outgoing: collections.deque[bytes] = collections.deque()
        self.on_bytes: typing.Callable[[bytes], None] = _ignore
        self.on_open: typing.Callable[[], None] = _ignore
        self.on_close: typing.Callable[[], None] = _ignore
        self.connecting = connecting
        self.tls = _is_tls(sock)
        self.handshaking = self.tls
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
        if len(self.outgoing) == 1 and not (
            self.connecting or self.handshaking
        ):
            self._flush()

    def finish(self) -> None:
        """Close the socket after all queued bytes were written."""
        self.closing = True
        if not self.outgoing:
            self.close()

    def close(self) -> None:
        """Close the socket now; `on_close` is not called."""
        if self.closed:
            return
        self.poller.forget(self.fd)
        self.fd = -1
        self.sock.close()

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
        if mask & poller.READABLE:
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
        self._set_mask(poller.READABLE)
        self.on_open()
        if self.outgoing and not self.closed:
            self._flush()

    def _receive(self) -> None:
        try:
            chunk = self.sock.recv(READ_BYTES)
        except OSError as error:
            if not _may_retry(error):
                self.fail()
            return
        if not chunk:
            self.fail()
            return
        self.on_bytes(chunk)
        if not self.closed and self.tls:
            self._receive_pending()

    def _receive_pending(self) -> None:
        # epoll does not report bytes that the TLS layer has already
        # decrypted and buffered.
        if self.sock.pending():
            self._receive()

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
            if sent < len(chunk):
                self.outgoing[0] = chunk[sent:]
                break
            self.outgoing.popleft()
        self._after_flush()

    def _after_flush(self) -> None:
        if self.outgoing:
            self._set_mask(poller.READABLE | poller.WRITABLE)
        elif self.closing:
            self.close()
        else:
            self._set_mask(poller.READABLE)

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
    sock = _tcp_socket(address[0])
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


class Listener:
    """Listening TCP socket that passes each accepted stream to its owner."""

    __slots__ = ('poller', 'sock', 'on_stream', 'tls', 'port')

    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        on_stream: typing.Callable[[Stream], None],
        tls: TlsContext | None = None,
        *,
        share_port: bool = False,
    ) -> None:
        """Bind and listen.

        Args:
          loop: Poller that will watch the socket.
          address: IP address and port; port 0 takes any free port.
          on_stream: Called with each accepted stream.
          tls: Context for TLS, or None for plain TCP.
          share_port: Whether several processes of one VM may listen on the
            port; the kernel then distributes new connections over them.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.poller = loop
        self.on_stream = on_stream
        self.tls = tls
        self.sock = _tcp_socket(address[0])
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share_port:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(address)
        self.sock.listen(_BACKLOG)
        self.port = self.sock.getsockname()[1]
        loop.watch(self.sock.fileno(), poller.READABLE, self._on_ready)

    def close(self) -> None:
        """Stop accepting connections."""
        if self.sock.fileno() >= 0:
            self.poller.forget(self.sock.fileno())
            self.sock.close()

    def _on_ready(self, mask: int) -> None:
        try:
            accepted, _address = self.sock.accept()
        except OSError:
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.tls is not None:
            try:
                accepted = self.tls.wrap_socket(
                    accepted,
                    server_side=True,
                    do_handshake_on_connect=False,
                )
            except OSError:
                # The client has already reset the connection.
                accepted.close()
                return
        self.on_stream(Stream(self.poller, accepted))


def _tcp_socket(host: str) -> socket.socket:
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


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
