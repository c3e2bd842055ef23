"""Process of one database instance: HTTP around the instance model.

One TCP connection is one database connection. Connections for replication
and for `/control` do not count as database connections.
"""

import functools
import http
import os
import pathlib
import types
import typing

import msgspec
import typer

from jacinthhaven.adapters import http_server, poller
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import (
    database_copy,
    instance_faults,
    instance_model,
    journal,
    long_polls,
    process,
    replicator,
)

# A replica sees a silent primary after at least this long, so it must be
# well below the proxies' suspicion timeout of 500 ms.
_HEARTBEAT_MS = 100
_BOOT_BYTES = 8
# Limit of one instance of the exchange's group.
_CONNECTION_LIMIT = 20

_REQUESTS = types.MappingProxyType(
    {
        '/connect': backend.ConnectRequest,
        '/execute': backend.ExecuteRequest,
        '/resolve': backend.ResolveRequest,
        '/status': backend.StatusRequest,
        '/fence': backend.FenceRequest,
        '/promote': backend.PromoteRequest,
        '/follow': backend.FollowRequest,
        '/replicate': database_copy.PullRequest,
    },
)
_DROPPABLE = (backend.ExecuteRequest, backend.ResolveRequest)


class Control(msgspec.Struct):
    """Answer of `/control`: counters and faults in force."""

    connections: int
    peak: int
    refused: int
    calls: int
    faults: instance_faults.Faults


class InstanceServer:
    """Task that serves one instance model over HTTP."""

    def __init__(
        self,
        loop: poller.Poller,
        model: instance_model.InstanceModel,
        addresses: dict[str, tuple[str, int]],
        faults: instance_faults.Faults,
    ) -> None:
        """Create the task; `server.listen` starts it.

        Args:
          loop: Poller of the process.
          model: Instance to serve.
          addresses: IP address and port of the other instances by name.
          faults: Initial faults.
        """
        self.poller = loop
        self.now_ms = loop.clock.now_ms
        self.model = model
        self.faults = faults
        self.server = http_server.Server(loop, self._on_request)
        self.server.on_disconnect = self._on_disconnect
        model.table.on_closed = _close_connection
        self.process_gate = instance_faults.Gate()
        self.proxy_gate = instance_faults.Gate()
        self.polls = long_polls.LongPolls(
            loop,
            self.proxy_gate,
            self._try_status,
        )
        self.pulls = long_polls.LongPolls(
            loop,
            self.process_gate,
            self._try_pull,
        )
        self.notifying = False
        self.replicators = replicator.Replicators(
            loop,
            model,
            addresses,
            self.process_gate,
        )
        self.replicators.on_accepted = self._after_pull
        self._apply_faults()

    def _on_request(self, exchange: http_server.Exchange) -> None:
        path = exchange.message.path
        if path == '/control':
            self._control(exchange)
        else:
            gate = self._gate(path)
            gate.run(functools.partial(self._serve, exchange))

    def _on_disconnect(self, connection: http_server.ServerConnection) -> None:
        # The end of a connection follows its requests, so a request that
        # was held back runs although its sender is gone.
        self.proxy_gate.run(functools.partial(self.model.close, connection))

    def _serve(self, exchange: http_server.Exchange) -> None:
        record = _REQUESTS.get(exchange.message.path)
        if record is None:
            exchange.respond_json(http.HTTPStatus.NOT_FOUND, {})
            return
        try:
            request = msgspec.json.decode(exchange.message.body, type=record)
        except msgspec.DecodeError as error:
            self._respond(exchange, _bad_request(error))
            return
        self._run(exchange, request)

    def _run(
        self,
        exchange: http_server.Exchange,
        request: backend.Request | database_copy.PullRequest,
    ) -> None:
        connection = exchange.connection
        if isinstance(request, backend.ConnectRequest):
            refusal = self.model.open(connection, request)
            self._respond(exchange, refusal or {}, self.faults.open_delay_ms)
        elif isinstance(request, database_copy.PullRequest):
            self.pulls.add(exchange, request, _HEARTBEAT_MS)
        elif isinstance(request, backend.StatusRequest):
            self.polls.add(exchange, request, request.wait_ms)
        else:
            reply = self.model.call(connection, request, self.now_ms())
            self._after_call(exchange, request, reply)

    def _after_call(
        self,
        exchange: http_server.Exchange,
        request: backend.Request,
        reply: instance_model.Reply,
    ) -> None:
        if isinstance(request, _DROPPABLE) and instance_faults.take_drop(
            self.faults
        ):
            exchange.connection.close()
        else:
            self._respond(exchange, reply)
        if not isinstance(request, _DROPPABLE):
            self.replicators.update()
        self._notify_soon()

    def _try_status(
        self,
        exchange: http_server.Exchange,
        request: backend.StatusRequest,
        due: bool,
    ) -> bool:
        connection = exchange.connection
        known = connection in self.model.table.connections
        if known and not due and request.seen == self.model.version:
            return False
        self._respond(
            exchange,
            self.model.call(connection, request, self.now_ms()),
        )
        return True

    def _try_pull(
        self,
        exchange: http_server.Exchange,
        request: database_copy.PullRequest,
        due: bool,
    ) -> bool:
        if request.instance in self.faults.cut:
            exchange.connection.close()
            return True
        reply = self.model.serve_pull(request)
        current = (
            isinstance(reply, database_copy.PullReply)
            and not reply.entries
            and reply.term == request.term
        )
        if current and not due:
            return False
        self._respond(exchange, reply)
        return True

    def _after_pull(self) -> None:
        due_ms = self.model.next_due_ms()
        if due_ms is not None:
            self.poller.call_later(
                max(due_ms - self.now_ms(), 0),
                functools.partial(self.process_gate.run, self._show_due),
            )
        self._notify_soon()

    def _show_due(self) -> None:
        self.model.advance(self.now_ms())
        self._notify_soon()

    def _notify_soon(self) -> None:
        # Many changes of one loop iteration are reported together.
        if not self.notifying:
            self.notifying = True
            self.poller.call_soon(
                functools.partial(self.process_gate.run, self._notify),
            )

    def _notify(self) -> None:
        self.notifying = False
        self.polls.check()
        self.pulls.check()

    def _control(self, exchange: http_server.Exchange) -> None:
        if exchange.message.method == 'POST':
            try:
                self.faults = self.faults.changed(exchange.message.body)
            except msgspec.DecodeError as error:
                exchange.respond_json(
                    http.HTTPStatus.CONFLICT,
                    _bad_request(error),
                )
                return
            self._apply_faults()
        table = self.model.table
        exchange.respond_json(
            http.HTTPStatus.OK,
            Control(
                connections=len(table.connections),
                peak=table.peak,
                refused=table.refused,
                calls=self.model.calls,
                faults=self.faults,
            ),
        )

    def _apply_faults(self) -> None:
        faults = self.faults
        self.model.lag_ms = faults.lag_ms
        if faults.leaving != self.model.leaving:
            self.model.announce_leaving(faults.leaving)
        self.replicators.cut = faults.cut
        self.process_gate.move(faults.freeze)
        self.proxy_gate.move(faults.freeze or faults.cut_proxies)
        self.process_gate.run(self.replicators.update)
        self._notify_soon()

    def _respond(
        self,
        exchange: http_server.Exchange,
        reply: typing.Any,
        delay_ms: int = 0,
    ) -> None:
        status = http.HTTPStatus.OK
        if isinstance(reply, backend.ErrorReply):
            status = http.HTTPStatus.CONFLICT
        body = msgspec.json.encode(reply)
        delay_ms += self.faults.answer_delay_ms
        send = functools.partial(exchange.respond, status, body)
        if delay_ms:
            gate = self._gate(exchange.message.path)
            self.poller.call_later(
                delay_ms,
                functools.partial(gate.run, send),
            )
        else:
            send()

    def _gate(self, path: str) -> instance_faults.Gate:
        return self.process_gate if path == '/replicate' else self.proxy_gate


def _bad_request(error: msgspec.DecodeError) -> backend.ErrorReply:
    return backend.ErrorReply(failures.BAD_REQUEST.code, str(error))


def _close_connection(connection: http_server.ServerConnection) -> None:
    connection.close()


def _parse_pairs(text: str) -> dict[str, str]:
    pairs = (pair.partition('=') for pair in text.split(',') if pair)
    return {name: rest for name, _equals, rest in pairs}


def _parse_address(text: str) -> tuple[str, int]:
    host, _colon, port = text.rpartition(':')
    return host, int(port)


app = typer.Typer(add_completion=False)


@app.command()
def main(  # noqa: WPS211
    name: typing.Annotated[str, typer.Option(help='Name of the instance.')],
    databases: typing.Annotated[str, typer.Option(help='Such as lots,bids.')],
    port: int = 0,
    peers: typing.Annotated[
        str,
        typer.Option(help='Such as a2=127.0.0.1:7002,a3=127.0.0.1:7003.'),
    ] = '',
    initial_primary: typing.Annotated[
        str,
        typer.Option(help='Such as lots=a1,bids=a2.'),
    ] = '',
    connection_limit: int = _CONNECTION_LIMIT,
    open_delay_ms: int = 0,
    journal_file: typing.Annotated[
        str,
        typer.Option(help='File that keeps terms and logs over a restart.'),
    ] = '',
) -> None:
    """Run one database instance until SIGTERM."""
    loop = poller.Poller()
    model = instance_model.InstanceModel(
        name,
        databases.split(','),
        connection_limit,
        os.urandom(_BOOT_BYTES).hex(),
    )
    if journal_file:
        journal.attach(model, pathlib.Path(journal_file))
    model.start_as(_parse_pairs(initial_primary), loop.clock.now_ms())
    addresses = {
        peer: _parse_address(address)
        for peer, address in _parse_pairs(peers).items()
    }
    task = InstanceServer(
        loop,
        model,
        addresses,
        instance_faults.Faults(open_delay_ms=open_delay_ms),
    )
    process.run(task.server, port)


if __name__ == '__main__':
    app()
