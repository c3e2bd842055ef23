"""Caller protocol: HTTP/1.1 with JSON."""

import http
import itertools
import typing

import msgspec

from jacinthhaven.adapters import http_messages, http_server, poller
from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.ports import callers as port
from jacinthhaven.records import callers

_PREFIX = '/v1/databases/'
_STATEMENTS = 'statements'
_OUTCOMES = 'outcomes'
# A deeply nested document exceeds the recursion limit of the decoder.
_DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
_OK = http.HTTPStatus.OK.value

IncreaseCounter = typing.Callable[[str], None]


class HttpCallers(port.CallerSide):
    """Server of the caller protocol.

    Attributes:
      deliver: Called with each message for the decision code.
      count: Called with the name of each counter to increase.
      open_session: Returns the id and the first token of a new session.
      ready: Returns whether the health check succeeds.
    """

    def __init__(
        self,
        loop: poller.Poller,
        numbers: itertools.count,
        deliver: port.Deliver,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          loop: Poller that watches the sockets.
          numbers: Generator of the request numbers of the process.
          deliver: Called with each message for the decision code.
        """
        self.numbers = numbers
        self.deliver = deliver
        self.count: IncreaseCounter = _ignore
        self.open_session: typing.Callable[[], tuple[str, str]] = _no_session
        self.ready: typing.Callable[[], bool] = bool
        self.server = http_server.Server(loop, self._on_exchange)
        self.server.on_disconnect = self._on_disconnect
        self.server.on_bad_message = self._on_bad_message
        self.exchanges: dict[int, http_server.Exchange] = {}
        self.decode_statement = msgspec.json.Decoder(
            callers.StatementRequest,
        ).decode
        self.decode_outcome = msgspec.json.Decoder(
            callers.OutcomeRequest,
        ).decode
        self.encode = msgspec.json.Encoder().encode

    @property
    def busy(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self.exchanges)

    def answer(self, message: messages.CallerAnswer) -> None:
        """Send the answer to the caller whose request has its number."""
        exchange = self.exchanges.pop(message.number, None)
        if exchange is None:
            self.count('answers_without_caller')
            return
        status = _OK
        if message.failure is not None:
            status = message.failure.kind.http_status
        exchange.respond(status, self.encode(message.answer))

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.server.drain()

    def close(self) -> None:
        """Stop accepting and close the idle connections."""
        self.server.stop_accepting()
        self.server.close_idle()

    def _on_exchange(self, exchange: http_server.Exchange) -> None:
        message = exchange.message
        if message.path.startswith(_PREFIX):
            self._on_database(exchange, message)
        elif message.path == '/health':
            self._on_health(exchange)
        elif message.path == '/v1/sessions' and message.method == 'POST':
            session, token = self.open_session()
            exchange.respond_json(_OK, {'session': session, 'token': token})
        else:
            self._reject(exchange, failures.BAD_REQUEST.because('no such path'))

    def _on_database(
        self,
        exchange: http_server.Exchange,
        message: http_messages.Message,
    ) -> None:
        rest = message.path.removeprefix(_PREFIX)
        database, _slash, action = rest.partition('/')
        if message.method != 'POST' or action not in {_STATEMENTS, _OUTCOMES}:
            self._reject(exchange, failures.BAD_REQUEST.because('no such path'))
            return
        number = next(self.numbers)
        try:
            request = self._decode(action, number, database, message.body)
        except _DECODE_ERRORS as error:
            failure = failures.BAD_REQUEST.because(str(error))
            outcome = failure.outcome
            if action == _OUTCOMES:
                # The error concerns the query; the outcome of the write that it
                # asks about stays unknown.
                outcome = failures.Outcome.UNKNOWN
            self._reject(exchange, failure, outcome)
            return
        self.exchanges[number] = exchange
        exchange.number = number
        self.deliver(request)

    def _decode(
        self,
        action: str,
        number: int,
        database: str,
        body: bytes,
    ) -> messages.CallerRequest | messages.CallerOutcome:
        if action == _STATEMENTS:
            return messages.CallerRequest(
                number,
                database,
                self.decode_statement(body),
            )
        return messages.CallerOutcome(
            number,
            database,
            self.decode_outcome(body),
        )

    def _on_health(self, exchange: http_server.Exchange) -> None:
        if self.ready():
            exchange.respond_json(_OK, {'ready': True})
        else:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE.value
            exchange.respond_json(status, {'ready': False})

    def _reject(
        self,
        exchange: http_server.Exchange,
        failure: failures.Failure,
        outcome: failures.Outcome = failures.Outcome.NOT_RUN,
    ) -> None:
        self.count('bad_requests')
        answer = callers.Answer(
            outcome.value,
            error=failure.kind.code,
            detail=failure.reason,
        )
        exchange.respond(failure.kind.http_status, self.encode(answer))

    def _on_disconnect(
        self,
        connection: http_server.ServerConnection,
    ) -> None:
        for exchange in connection.exchanges:
            if self.exchanges.pop(exchange.number, None) is not None:
                self.deliver(messages.CallerDisconnected(exchange.number))

    def _on_bad_message(self, error: http_messages.BadMessageError) -> None:
        self.count('bad_requests')


def _ignore(_name: str) -> None:
    """Count nothing; default until a counter function is set."""


def _no_session() -> tuple[str, str]:
    """Return an empty session; default until a token signer is set."""
    return '', ''
