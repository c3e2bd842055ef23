"""Stand-in of SQL instances that speak the line protocol on loopback."""

import functools
import typing

import msgspec

from jacinthhaven.adapters import listeners, poller, streams
from jacinthhaven.platform import words
from jacinthhaven.standins import sql_group

_WORK_MS = 4


class SqlServer:
    """Listeners of all instances of one group.

    Attributes:
      group: Model of the group.
      ports: TCP port of each instance.
      advertised: Ports that the registry names instead, by instance.
      silent: Instances that take statements and do not answer.
      leaving: Instances that have given notice to leave.
      lose_answers: Number of next answers to writes that are lost.
      open: Connections by instance.
    """

    def __init__(self, loop: poller.Poller, group: sql_group.SqlGroup) -> None:
        """Create the listeners on free ports."""
        self.poller = loop
        self.group = group
        self.ports: dict[str, int] = {}
        self.advertised: dict[str, int] = {}
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self.lose_answers = 0
        self.open: dict[str, int] = dict.fromkeys(group.instances, 0)
        self.most_open = 0
        self.listeners = []
        for name in group.instances:
            listener = listeners.Listener(
                loop,
                ('127.0.0.1', 0),
                functools.partial(self._on_stream, name),
            )
            self.listeners.append(listener)
            self.ports[name] = listener.port

    def registry(self) -> dict[str, str]:
        """Return the registry entry of each instance that runs."""
        return {
            f'servers/{name}': msgspec.json.encode(self._entry(name)).decode()
            for name, instance in self.group.instances.items()
            if not instance.down
        }

    def _entry(self, name: str) -> dict[str, typing.Any]:
        leads = self.group.primary == name
        port = self.advertised.get(name, self.ports[name])
        return {
            'service': self.group.name,
            'address': f'127.0.0.1:{port}',
            'zone': 'a',
            'slots': 3,
            'state': 'draining' if name in self.leaving else 'ready',
            'dbRole': 'primary' if leads else 'replica',
            'sequence': 1,
        }

    def _on_stream(self, name: str, stream: streams.Stream) -> None:
        instance = self.group.instances[name]
        if instance.down:
            stream.close()
            return
        self.open[name] += 1
        self.most_open = max(self.most_open, self.open[name])
        connection = _Connection(self, stream, instance)
        stream.on_bytes = connection.on_bytes
        stream.on_close = connection.on_close


class _Connection:
    """One connection of a proxy."""

    def __init__(
        self,
        server: SqlServer,
        stream: streams.Stream,
        instance: sql_group.SqlInstance,
    ) -> None:
        self.server = server
        self.stream = stream
        self.reader = words.LineReader()
        self.model = sql_group.SqlConnection(instance)
        self.started = False

    def on_bytes(self, chunk: bytes) -> None:
        """Run the statements in received bytes after a little while."""
        for line in self.reader.feed(chunk):
            self.server.poller.call_later(
                _WORK_MS,
                functools.partial(self._run, line),
            )

    def on_close(self) -> None:
        """Count the end of the connection."""
        self.server.open[self.model.instance.name] -= 1

    def _run(self, line: str) -> None:
        if self.stream.closed:
            return
        instance = self.model.instance
        if instance.down or instance.name in self.server.silent:
            return
        now_ms = self.server.poller.clock.now_ms()
        if self.started:
            lines = self.model.handle(line, now_ms)
        else:
            self.started = True
            lines = self.model.start(line, now_ms)
        if self.server.lose_answers and ('WRITE' in line or 'COMMIT' in line):
            self.server.lose_answers -= 1
            return
        self.stream.send(words.encode(lines))
