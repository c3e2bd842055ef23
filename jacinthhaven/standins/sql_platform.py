"""Process of the stand-ins for SQL proxies: store, orders and instances.

`POST /control` changes the faults, `GET /state` shows what the instances
have seen.
"""

import collections
import functools
import http
import sys
import typing

import circuits
import msgspec
import typer

from jacinthhaven.adapters import http_server, poller
from jacinthhaven.records import store
from jacinthhaven.standins import (
    control,
    key_space,
    kv_server,
    sql_group,
    sql_server,
)

_HOST = '127.0.0.1'
_PROMOTE_MS = 300
_BEAT_MS = 300
# Beats in touch after which a replaced primary learns of its successor.
_DEMOTE_BEATS = 4
# Copies of the store, one for each beat, to which it may return.
_MAX_COPIES = 40
# Time after which the operator has written again what the store has lost.
_REWRITE_MS = 1000
_SERVICE = 'ledger'
_MEMBERS = ('i-a', 'i-b', 'i-c')
_MAX_CONNECTIONS = 12
_ROUTES = (
    ('strict', 'primary', 1, 0),
    ('bounded', 'bounded_staleness', 2, 1500),
    ('own', 'read_your_writes', 2, 2500),
)


Copy = tuple[int, key_space.KeySpace]


class Faults(control.Settings):
    """Settable faults; the defaults mean no fault.

    Attributes:
      silent: Instances that do not answer.
      leaving: Instances that have given notice to leave.
      lose_answers: Number of next answers to writes that are lost.
      refuse: Whether the store refuses every call.
      silent_store: Whether the store answers nothing.
      version: Version of the configuration.
      restores: Number of times that the store has come back from a copy.
      copy_age_ms: Age of the copy at the next restore.
      odd_entries: Values of registry entries that another writer has left.
      advertised: Ports that the registry names instead of the real ones.
      customers: Customers in the configuration from its next version on; none
        means that clients need no keys.
    """

    silent: list[str] = msgspec.field(default_factory=list)
    leaving: list[str] = msgspec.field(default_factory=list)
    lose_answers: int = 0
    refuse: bool = False
    silent_store: bool = False
    version: int = 1
    restores: int = 0
    copy_age_ms: int = 0
    odd_entries: list[str] = msgspec.field(default_factory=list)
    advertised: dict[str, int] = msgspec.field(default_factory=dict)
    customers: list[dict[str, typing.Any]] = msgspec.field(default_factory=list)


class SqlPlatform:
    """Stand-ins on one poller."""

    def __init__(self, loop: poller.Poller, *, fenced: bool = True) -> None:
        """Start the instances and fill the store.

        Args:
          loop: Poller of the sockets.
          fenced: Whether a promotion ends the lead of the old primary.
        """
        self.poller = loop
        self.group = sql_group.SqlGroup(_SERVICE, _MEMBERS, fenced=fenced)
        self.in_touch: collections.Counter[str] = collections.Counter()
        self.instances = sql_server.SqlServer(loop, self.group)
        self.kv = kv_server.KvServer(loop)
        self.kv.on_order = self._on_order
        self.control = http_server.Server(loop, self._on_control)
        self.faults = Faults()
        self.copies: collections.deque[Copy] = collections.deque(
            maxlen=_MAX_COPIES
        )
        self._configure()
        self._register()

    def _on_order(self, _service: str, instance: str) -> None:
        promote = functools.partial(self.group.promote, instance)
        self.poller.call_later(_PROMOTE_MS, promote)

    def _read(self, key: str) -> str:
        space = self.kv.model.space
        entry = space.keys.get(key)
        return entry.value if entry else ''

    def _write(self, key: str, text: str) -> None:
        request = store.SwapRequest((), (store.Put(key, text),))
        self.kv.model.call(request, self.poller.clock.now_ms())

    def _configure(self) -> None:
        routes = [
            {
                'host': name,
                'routeType': kind,
                'service': _SERVICE,
                'timeoutMs': 1000,
                'targetLatencyMs': 400,
                'priority': priority,
                'maxStalenessMs': age_ms,
            }
            for name, kind, priority, age_ms in _ROUTES
        ]
        services = [{'name': _SERVICE, 'maxConnections': _MAX_CONNECTIONS}]
        document = {
            'version': self.faults.version,
            'routes': routes,
            'services': services,
            'limits': {'txIdleMs': 3000},
        }
        if self.faults.customers:
            document['tenants'] = self.faults.customers
        self._write('op/config', msgspec.json.encode(document).decode())

    def _register(self) -> None:
        copy = self.kv.model.space.copy()
        self.copies.append((self.poller.clock.now_ms(), copy))
        for key, text in self.instances.registry().items():
            if self._read(key) != text:
                self._write(key, text)
        self._demote_in_touch()
        self.poller.call_later(_BEAT_MS, self._register)

    def _demote_in_touch(self) -> None:
        """Let replaced primaries learn of their successor after a while."""
        for name, instance in self.group.instances.items():
            apart = name in self.faults.silent
            if apart or not instance.replaced_term:
                self.in_touch[name] = 0
                continue
            self.in_touch[name] += 1
            if self.in_touch[name] >= _DEMOTE_BEATS:
                self.group.demote(name)

    def _restore(self) -> None:
        """Bring the store back; the operator writes again a little later."""
        newest_ms = self.poller.clock.now_ms() - self.faults.copy_age_ms
        copy = self.copies[0][1]
        while self.copies and self.copies[0][0] <= newest_ms:
            copy = self.copies.popleft()[1]
        # The remaining copies are of a history that does not exist any more.
        self.copies.clear()
        self.kv.restore(copy)
        self.poller.call_later(_REWRITE_MS, self._configure)

    def _on_control(self, exchange: http_server.Exchange) -> None:
        if exchange.message.method == 'POST':
            known = self.faults
            self.faults = self.faults.changed(exchange.message.body)
            self.instances.silent = set(self.faults.silent)
            self.instances.leaving = set(self.faults.leaving)
            self.instances.lose_answers = self.faults.lose_answers
            self.instances.advertised = self.faults.advertised
            self.kv.faults.refuse = self.faults.refuse
            self.kv.faults.silent = self.faults.silent_store
            if self.faults.restores != known.restores:
                self._restore()
            for number, text in enumerate(self.faults.odd_entries):
                self._write(f'servers/odd-{number}', text)
            if self.faults.version != known.version:
                self._configure()
        exchange.respond_json(http.HTTPStatus.OK, self._state())

    def _state(self) -> dict[str, typing.Any]:
        return {
            'primary': self.group.primary,
            'committed': self.group.committed,
            'rolled_back': [
                request
                for entry in self.group.rolled_back
                for request in entry.requests
            ],
            'orders': self.kv.orders,
            'most_open': self.instances.most_open,
            'limit': _MAX_CONNECTIONS,
            'violations': self.group.violations,
            'ran': self.group.ran,
            'ports': self.instances.ports,
        }


def main() -> None:
    """Serve until SIGTERM, after printing the ports."""
    loop = poller.Poller()
    application = circuits.Component()
    loop.register(application)
    platform = SqlPlatform(loop, fenced='--unfenced' not in sys.argv)
    store_port = platform.kv.server.listen((_HOST, 0))
    control_port = platform.control.listen((_HOST, 0))
    typer.echo(f'ready {store_port} {control_port}')
    sys.stdout.flush()
    application.run()


if __name__ == '__main__':
    main()
