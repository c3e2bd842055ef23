"""Client of the operator protocol that resolves lost answers.

A change carries an id that the client generates. If its answer is lost,
the client reads back the ids of the documents in force. It never sends a
change twice.
"""

import dataclasses
import ssl
import time
import types
import typing
from http import client

import msgspec

from jacinthhaven.cli import exits
from jacinthhaven.kernel import failures

STATUS_PATH = '/v1/status'
PRESETS_PATH = '/v1/presets'
PRESET_PATH = '/v1/preset'
CONFIG_PATH = '/v1/config'
DRAIN_PATH = '/v1/drain'

# Field of the answer to GET /v1/presets that holds the id of the change
# that wrote the document.
CHANGE_ID_FIELDS = types.MappingProxyType(
    {
        PRESET_PATH: 'preset_change_id',
        CONFIG_PATH: 'config_change_id',
    },
)

_MAX_ANSWER_BYTES = 8_388_608
# A lost answer is often followed by a short time without contact.
_READ_BACK_PAUSE_S = 0.25

Fields = dict[str, typing.Any]


class LostAnswerError(Exception):
    """A request was sent, but no usable answer arrived."""


@dataclasses.dataclass(slots=True)
class Client:
    """Connection data of one proxy's operator endpoint.

    Attributes:
      host: IP address or host name.
      port: TCP port.
      key: Operator key.
      tls: TLS context, or None for plain TCP.
      timeout_s: Seconds that one call may wait for the proxy.
    """

    host: str
    port: int
    key: bytes
    tls: ssl.SSLContext | None = None
    timeout_s: float = 15

    def read(self, path: str) -> Fields:
        """Return the answer to a request that changes nothing.

        Raises:
          exits.RefusedError: If the proxy refused the request.
          exits.UnreachableError: If no usable answer arrived.
        """
        try:
            return self._call('GET', path, None)
        except LostAnswerError as error:
            raise exits.UnreachableError(str(error)) from error

    def drain(self) -> Fields:
        """Ask the proxy to drain; repeating this is harmless.

        Raises:
          exits.RefusedError: If the proxy refused the request.
          exits.UnreachableError: If the proxy was not reached.
          exits.UnknownOutcomeError: If the answer was lost.
        """
        try:
            return self._call('POST', DRAIN_PATH, {})
        except LostAnswerError as error:
            raise exits.UnknownOutcomeError(
                f'{error}; repeating the command is harmless',
            ) from error

    def change(self, path: str, document: Fields) -> Fields:
        """Send a change and find out whether it took effect.

        Args:
          path: `PRESET_PATH` or `CONFIG_PATH`.
          document: Request with the key `change_id`.

        Returns:
          The answer, or what was read back with the key `read_back`.

        Raises:
          exits.RefusedError: If the proxy refused the change.
          exits.UnreachableError: If the change was never sent.
          exits.UnknownOutcomeError: If the change was sent and its id was
            not found in force.
        """
        change_id = document['change_id']
        try:
            return self._change(path, document)
        except KeyboardInterrupt as interrupt:
            # The default exit code of an interrupt would claim that the
            # change was refused.
            raise exits.UnknownOutcomeError(
                f'interrupted; change {change_id} may have been sent',
                {'change_id': change_id},
            ) from interrupt

    def _change(self, path: str, document: Fields) -> Fields:
        try:
            return self._call('POST', path, document)
        except LostAnswerError as error:
            return self._read_back(path, document['change_id'], str(error))

    def _read_back(self, path: str, change_id: str, reason: str) -> Fields:
        deadline = time.monotonic() + self.timeout_s
        while time.monotonic() < deadline:
            try:
                shown = self.read(PRESETS_PATH)
            except exits.CommandError:
                shown = {}
            if shown.get(CHANGE_ID_FIELDS[path]) == change_id:
                return {
                    'revision': shown.get('revision'),
                    'change_id': change_id,
                    'read_back': True,
                }
            time.sleep(_READ_BACK_PAUSE_S)
        raise exits.UnknownOutcomeError(
            f'{reason}; change {change_id} was not found in force. Compare '
            'it with `preset list` before repeating the command',
            {'change_id': change_id},
        )

    def _call(self, method: str, path: str, document: Fields | None) -> Fields:
        connection = self._connect()
        body = None if document is None else msgspec.json.encode(document)
        headers = {
            'Authorization': b'Bearer %b' % self.key,
            'Content-Type': 'application/json',
        }
        try:
            status, answer = _exchange(connection, method, path, body, headers)
        except (OSError, client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            raise LostAnswerError(
                f'no answer from {self.host} port {self.port}: {reason}',
            ) from error
        finally:
            connection.close()
        return _checked(status, answer)

    def _connect(self) -> client.HTTPConnection:
        if self.tls is None:
            connection = client.HTTPConnection(
                self.host,
                self.port,
                timeout=self.timeout_s,
            )
        else:
            connection = client.HTTPSConnection(
                self.host,
                self.port,
                timeout=self.timeout_s,
                context=self.tls,
            )
        try:
            connection.connect()
        except (OSError, UnicodeError) as error:
            raise exits.UnreachableError(
                f'cannot connect to {self.host} port {self.port}: {error}',
            ) from error
        return connection


def _exchange(
    connection: client.HTTPConnection,
    *request: typing.Any,
) -> tuple[int, bytes]:
    connection.request(*request)
    response = connection.getresponse()
    return response.status, response.read(_MAX_ANSWER_BYTES)


def _checked(status: int, answer: bytes) -> Fields:
    """Return the document of a successful answer.

    Raises:
      LostAnswerError: If the answer does not show what happened.
      exits.RefusedError: If the proxy refused the request.
    """
    try:
        document = msgspec.json.decode(answer, type=Fields)
    except msgspec.DecodeError:
        document = {}
    if status == client.OK and document:
        return document
    code = document.get('error', '')
    if _proves_refusal(status, code):
        raise exits.RefusedError(
            document.get('detail') or f'HTTP status {status}',
            {**document, 'error': code or f'http_{status}'},
        )
    raise LostAnswerError(
        document.get('detail') or f'unusable answer with HTTP status {status}',
    )


def _proves_refusal(status: int, code: str) -> bool:
    # The proxy may have sent a change to the store before it reports that
    # the store does not answer.
    if code == failures.STORE_UNAVAILABLE.code:
        return False
    kind = failures.BY_CODE.get(code)
    if kind is not None:
        return kind.outcome is failures.Outcome.NOT_RUN
    return client.BAD_REQUEST <= status < client.INTERNAL_SERVER_ERROR
