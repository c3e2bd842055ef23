"""Loopback proxy that harms connections from outside the processes.

A path forwards connections from a port of its own to another one. While it
is harmed, bytes are delayed or swallowed. A connection that has lost bytes
stays silent in that direction for good, as a real one would.
"""

import contextlib
import heapq
import itertools
import selectors
import socket
import struct
import threading
import time
import typing

_HOST = '127.0.0.1'
_READ_BYTES = 65_536
_CONNECT_S = 1
# A receiver that takes nothing for this long loses its connection.
_SEND_S = 0.5
_POLL_S = 0.005
# Makes a close send a reset.
_RESET = struct.pack('ii', 1, 0)


class Harm(typing.NamedTuple):
    """What a path does to its connections.

    Attributes:
      delay_s: How much later bytes arrive.
      swallow_requests: Whether bytes to the target are lost.
      swallow_answers: Whether bytes from the target are lost.
    """

    delay_s: float = 0
    swallow_requests: bool = False
    swallow_answers: bool = False


HEALTHY = Harm()
SILENT = Harm(swallow_requests=True, swallow_answers=True)


class _Flow:
    """One direction of a connection."""

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        *,
        requests: bool,
    ) -> None:
        self.source = source
        self.sink = sink
        self.requests = requests
        self.lost = False

    def is_swallowed(self, harm: Harm) -> bool:
        """Return whether bytes of this direction are lost."""
        if self.requests:
            return harm.swallow_requests
        return harm.swallow_answers


class Path:
    """Forwards the connections of one port to another.

    Attributes:
      port: Port that accepts the connections.
      kind: What connects through it to what.
      harm: What is done to them now.
    """

    def __init__(self, target: int, kind: str = '') -> None:
        """Start to accept."""
        self.target = target
        self.kind = kind
        self.harm = HEALTHY
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server((_HOST, 0))
        self.port = self.listener.getsockname()[1]
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.flows: dict[socket.socket, _Flow] = {}
        self.late: list[tuple[float, int, _Flow, bytes]] = []
        self.numbers = itertools.count()
        self.resetting = threading.Event()
        self.silencing = threading.Event()
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def reset(self) -> None:
        """Reset all connections."""
        self.resetting.set()

    def silence_open(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        self.silencing.set()

    def close(self) -> None:
        """Close everything."""
        self.closed.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.closed.is_set():
            for key, _events in self.selector.select(_POLL_S):
                if key.fileobj is self.listener:
                    self._accept()
                else:
                    self._read(self.flows.get(key.fileobj))
            self._harm_open()
            self._deliver()
        self._end_all()
        self.listener.close()

    def _harm_open(self) -> None:
        """Silence or reset the open connections, if it was asked for."""
        if self.silencing.is_set():
            self.silencing.clear()
            for flow in self.flows.values():
                flow.lost = True
        if self.resetting.is_set():
            self.resetting.clear()
            self._end_all()

    def _accept(self) -> None:
        client, _address = self.listener.accept()
        try:
            server = socket.create_connection(
                (_HOST, self.target),
                _CONNECT_S,
            )
        except OSError:
            client.close()
            return
        for source, sink in ((client, server), (server, client)):
            source.settimeout(_SEND_S)
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.flows[source] = _Flow(
                source,
                sink,
                requests=source is client,
            )
            self.selector.register(source, selectors.EVENT_READ)

    def _read(self, flow: _Flow | None) -> None:
        if flow is None:
            return
        try:
            chunk = flow.source.recv(_READ_BYTES)
        except OSError:
            chunk = b''
        if not chunk:
            self._end(flow, reset=False)
            return
        if flow.is_swallowed(self.harm):
            flow.lost = True
        if not flow.lost:
            due = time.monotonic() + self.harm.delay_s
            heapq.heappush(self.late, (due, next(self.numbers), flow, chunk))

    def _deliver(self) -> None:
        now = time.monotonic()
        while self.late and self.late[0][0] <= now:
            _due, _number, flow, chunk = heapq.heappop(self.late)
            if flow.source not in self.flows:
                continue
            try:
                flow.sink.sendall(chunk)
            except OSError:
                self._end(flow, reset=False)

    def _end_all(self) -> None:
        for flow in tuple(self.flows.values()):
            self._end(flow, reset=True)

    def _end(self, flow: _Flow, *, reset: bool) -> None:
        for end in (flow.source, flow.sink):
            if self.flows.pop(end, None) is None:
                continue
            self.selector.unregister(end)
            if reset:
                with contextlib.suppress(OSError):
                    end.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        _RESET,
                    )
            end.close()
