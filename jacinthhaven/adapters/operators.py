"""Operator protocol: HTTP/1.1 with JSON on a separate port, with a key."""

import hmac
import http
import itertools
import typing
import uuid

import msgspec

from jacinthhaven.adapters import http_messages, http_server, poller
from jacinthhaven.decide import operator_changes
from jacinthhaven.kernel import failures
from jacinthhaven.records import operators, presets

_OK = http.HTTPStatus.OK.value
JsonObject = dict[str, typing.Any]


class SwitchBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/preset`."""

    name: str
    expect: int
    change_id: str = ''


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/config`."""

    document: presets.Configuration
    expect: int
    change_id: str = ''


class HttpOperators:
    """Server of the operator protocol.

    Attributes:
      deliver: Called with each change for the decision code.
      count: Called with the name of each counter to increase.
      status: Returns the answer to `GET /v1/status`.
      presets: Returns the answer to `GET /v1/presets`.
      drain: Starts the planned shutdown of this process.
    """

    def __init__(
        self,
        loop: poller.Poller,
        key: bytes,
        deliver: typing.Callable[[operator_changes.ChangeRequest], None],
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          loop: Poller that watches the sockets.
          key: Key that operators must send as a bearer token.
          deliver: Called with each change for the decision code.
        """
        self.key = b'Bearer %b' % key
        self.deliver = deliver
        self.count: typing.Callable[[str], None] = _ignore
        self.status: typing.Callable[[], JsonObject] = dict
        self.presets: typing.Callable[[], JsonObject] = dict
        self.drain: typing.Callable[[], None] = _ignore
        self.server = http_server.Server(loop, self._on_exchange)
        self.server.new_parser = http_messages.HeaderParser
        self.server.on_bad_message = self._on_bad_message
        self.numbers = itertools.count(1)
        self.exchanges: dict[int, http_server.Exchange] = {}
        self.handlers = {
            ('GET', '/v1/status'): self._on_status,
            ('GET', '/v1/presets'): self._on_presets,
            ('POST', '/v1/preset'): self._on_switch,
            ('POST', '/v1/config'): self._on_apply,
            ('POST', '/v1/drain'): self._on_drain,
        }

    def answer(self, message: operator_changes.ChangeAnswer) -> None:
        """Send the final answer to the operator who requested a change."""
        exchange = self.exchanges.pop(message.number, None)
        if exchange is None:
            return
        result = message.result
        status = _OK
        if message.failure is not None:
            status = message.failure.kind.http_status
        exchange.respond_json(
            status,
            {
                'outcome': result.outcome,
                'change_id': result.change_id,
                'revision': result.revision,
                'in_force': result.in_force,
                'unconfirmed': result.unconfirmed,
                'error': result.error,
                'detail': result.detail,
                'errors': result.problems,
            },
        )

    def _on_exchange(self, exchange: http_server.Exchange) -> None:
        message = exchange.message
        header = message.headers.get('authorization', '').encode('latin-1')
        if not hmac.compare_digest(header, self.key):
            self.count('operators_unauthorized')
            failure = failures.UNAUTHORIZED.because('operator key is wrong')
            _respond_error(exchange, failure)
            return
        handler = self.handlers.get((message.method, message.path))
        if handler is None:
            _respond_error(
                exchange,
                failures.BAD_REQUEST.because('no such path'),
            )
            return
        try:
            handler(exchange)
        except (msgspec.MsgspecError, RecursionError) as error:
            _respond_error(exchange, failures.BAD_REQUEST.because(str(error)))

    def _on_status(self, exchange: http_server.Exchange) -> None:
        exchange.respond_json(_OK, self.status())

    def _on_presets(self, exchange: http_server.Exchange) -> None:
        exchange.respond_json(_OK, self.presets())

    def _on_switch(self, exchange: http_server.Exchange) -> None:
        body = msgspec.json.decode(exchange.message.body, type=SwitchBody)
        self._submit_change(
            exchange,
            operators.PresetSwitch(
                name=body.name,
                expected_revision=body.expect,
                change_id=body.change_id or uuid.uuid4().hex,
            ),
        )

    def _on_apply(self, exchange: http_server.Exchange) -> None:
        body = msgspec.json.decode(exchange.message.body, type=ApplyBody)
        self._submit_change(
            exchange,
            operators.ConfigApply(
                presets=body.document.presets,
                expected_revision=body.expect,
                change_id=body.change_id or uuid.uuid4().hex,
            ),
        )

    def _on_drain(self, exchange: http_server.Exchange) -> None:
        self.drain()
        exchange.respond_json(_OK, {'draining': True})

    def _on_bad_message(self, error: http_messages.BadMessageError) -> None:
        self.count('operators_bad_requests')

    def _submit_change(
        self,
        exchange: http_server.Exchange,
        change: operators.PresetSwitch | operators.ConfigApply,
    ) -> None:
        number = next(self.numbers)
        self.exchanges[number] = exchange
        self.deliver(operator_changes.ChangeRequest(number, change))


def _respond_error(
    exchange: http_server.Exchange,
    failure: failures.Failure,
) -> None:
    exchange.respond_json(
        failure.kind.http_status,
        {'error': failure.kind.code, 'detail': failure.reason},
    )


def _ignore(*_args: str) -> None:
    """Do nothing; default until a function is set."""
