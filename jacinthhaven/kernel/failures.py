"""Typed failures: sentinel kinds with a reason.

A failure is a value that travels in messages and answers. Each kind says
what the caller may conclude about its request, so that no code has to
interpret text.
"""

import enum
import http
import types

import msgspec


class Outcome(enum.Enum):
    """What is known about a request when its answer is sent."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Kind(msgspec.Struct, frozen=True):
    """Sentinel that identifies one kind of failure.

    Attributes:
      code: Stable identifier used in answers, logs and metrics.
      outcome: What the failure proves about the request.
      http_status: Status code of the caller protocol.
    """

    code: str
    outcome: Outcome
    http_status: int

    def because(self, reason: str) -> 'Failure':
        """Return a failure of this kind with a human-readable reason."""
        return Failure(self, reason)


class Failure(msgspec.Struct, frozen=True):
    """One occurrence of a failure kind with its reason."""

    kind: Kind
    reason: str

    @property
    def outcome(self) -> Outcome:
        """Return what the failure proves about the request."""
        return self.kind.outcome


def _not_run(code: str, http_status: int) -> Kind:
    return Kind(code, Outcome.NOT_RUN, http_status)


def _unknown(code: str, http_status: int) -> Kind:
    return Kind(code, Outcome.UNKNOWN, http_status)


BAD_REQUEST = _not_run('bad_request', http.HTTPStatus.BAD_REQUEST)
BAD_TOKEN = _not_run('bad_token', http.HTTPStatus.FORBIDDEN)
UNAUTHORIZED = _not_run('unauthorized', http.HTTPStatus.UNAUTHORIZED)
UNKNOWN_DATABASE = _not_run('unknown_database', http.HTTPStatus.NOT_FOUND)
UNKNOWN_TRANSACTION = _not_run('unknown_transaction', http.HTTPStatus.CONFLICT)
REQUEST_ID_REUSED = _not_run('request_id_reused', http.HTTPStatus.CONFLICT)
POSITION_LOST = _not_run('position_lost', http.HTTPStatus.CONFLICT)
CONFLICT = _not_run('conflict', http.HTTPStatus.CONFLICT)
TOO_LARGE = _not_run('too_large', http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
CANCELLED = _not_run('cancelled', http.HTTPStatus.CONFLICT)
STATEMENT_REJECTED = _not_run(
    'statement_rejected', http.HTTPStatus.UNPROCESSABLE_ENTITY
)
OVERLOADED = _not_run('overloaded', http.HTTPStatus.SERVICE_UNAVAILABLE)
DEADLINE = _not_run('deadline', http.HTTPStatus.GATEWAY_TIMEOUT)
DRAINING = _not_run('draining', http.HTTPStatus.SERVICE_UNAVAILABLE)
ISOLATED = _not_run('isolated', http.HTTPStatus.SERVICE_UNAVAILABLE)
NO_OWNER = _not_run('no_owner', http.HTTPStatus.SERVICE_UNAVAILABLE)
UNAVAILABLE = _not_run('unavailable', http.HTTPStatus.SERVICE_UNAVAILABLE)
NO_PRIMARY = _not_run('no_primary', http.HTTPStatus.SERVICE_UNAVAILABLE)
STALE_TERM = _not_run('stale_term', http.HTTPStatus.SERVICE_UNAVAILABLE)
STALE_EPOCH = _not_run('stale_epoch', http.HTTPStatus.SERVICE_UNAVAILABLE)
CONNECTION_REFUSED = _not_run(
    'connection_refused', http.HTTPStatus.SERVICE_UNAVAILABLE
)
STORE_UNAVAILABLE = _not_run(
    'store_unavailable', http.HTTPStatus.SERVICE_UNAVAILABLE
)
CONNECTION_LOST = _unknown('connection_lost', http.HTTPStatus.GATEWAY_TIMEOUT)
UNCONFIRMED = _unknown('unconfirmed', http.HTTPStatus.GATEWAY_TIMEOUT)
PROTOCOL_ERROR = _unknown('protocol_error', http.HTTPStatus.BAD_GATEWAY)

BY_CODE = types.MappingProxyType(
    {
        kind.code: kind
        for kind in tuple(globals().values())  # noqa: WPS421
        if isinstance(kind, Kind)
    },
)
