"""Calls of the etcd v3 JSON gateway, decoded to requests of the store.

They cover what the proxy uses, in the published form. This module is
written apart from the proxy's client, so that each checks the other.
"""

import http
import types
import typing

import msgspec

from jacinthhaven.records import store

_MS_PER_S = 1000
_INVALID_ARGUMENT = 3
_NOT_FOUND = 5
_ALL_KEYS = (b'\0', b'\0')


class ErrorStatus(Exception):  # noqa: N818
    """Call that the gateway answers with a gRPC status."""

    def __init__(self, status: int, code: int, text: str) -> None:
        """Prepare the HTTP status and the JSON document."""
        super().__init__(text)
        self.status = status
        self.document = {'error': text, 'code': code, 'message': text}


class RangeCall(msgspec.Struct):
    """Body of `/v3/kv/range`, and of a watch's creation."""

    key: bytes
    range_end: bytes = b''
    start_revision: int = 0

    @property
    def prefix(self) -> str:
        """Return the prefix whose keys are in the range."""
        if (self.key, self.range_end) == _ALL_KEYS:
            return ''
        # The end of a prefix's range is the prefix with its last byte
        # raised.
        expected = bytearray(self.key or b'\0')
        expected[-1] += 1
        if not self.key or self.range_end != expected:
            raise invalid('only ranges of a prefix are supported')
        return self.key.decode()

    def convert(self) -> store.ReadRequest:
        """Return the request of the store."""
        return store.ReadRequest(self.prefix)


class WatchCall(msgspec.Struct):
    """Body of `/v3/watch`."""

    create_request: RangeCall

    def convert(self) -> store.WatchRequest:
        """Return the request of the store."""
        return store.WatchRequest(
            self.create_request.prefix,
            self.create_request.start_revision,
        )


class CompareCall(msgspec.Struct):
    """Condition of a transaction."""

    key: bytes
    target: str = 'VERSION'
    result: str = 'EQUAL'
    mod_revision: int = 0

    def convert(self) -> store.Compare:
        """Return the condition of the store."""
        if (self.target, self.result) != ('MOD', 'EQUAL'):
            raise invalid('only equal mod revisions are supported')
        return store.Compare(self.key.decode(), self.mod_revision)


class PutCall(msgspec.Struct):
    """Write of a transaction."""

    key: bytes
    value: bytes = b''
    lease: int = 0


class Operation(msgspec.Struct):
    """One operation of a transaction."""

    request_put: PutCall | None = None
    request_delete_range: RangeCall | None = None

    def convert(self) -> store.Put | store.Delete:
        """Return the change of the store."""
        put = self.request_put
        if put is not None:
            return store.Put(put.key.decode(), put.value.decode(), put.lease)
        removed = self.request_delete_range
        if removed is None or removed.range_end:
            raise invalid('only puts and deletions of one key are supported')
        return store.Delete(removed.key.decode())


class TxnCall(msgspec.Struct):
    """Body of `/v3/kv/txn`."""

    compare: list[CompareCall] = msgspec.field(default_factory=list)
    success: list[Operation] = msgspec.field(default_factory=list)
    failure: list[Operation] = msgspec.field(default_factory=list)

    def convert(self) -> store.SwapRequest:
        """Return the request of the store."""
        if self.failure:
            raise invalid('failure operations are not supported')
        return store.SwapRequest(
            tuple(compare.convert() for compare in self.compare),
            tuple(operation.convert() for operation in self.success),
        )


class GrantCall(msgspec.Struct, rename={'ttl_s': 'TTL'}):
    """Body of `/v3/lease/grant`."""

    ttl_s: int

    def convert(self) -> store.LeaseRequest:
        """Return the request of the store."""
        return store.LeaseRequest(self.ttl_s * _MS_PER_S)


class KeepAliveCall(msgspec.Struct, rename={'lease': 'ID'}):
    """Body of `/v3/lease/keepalive`."""

    lease: int

    def convert(self) -> store.KeepAliveRequest:
        """Return the request of the store."""
        return store.KeepAliveRequest(self.lease)


class RevokeCall(msgspec.Struct, rename={'lease': 'ID'}):
    """Body of `/v3/lease/revoke`."""

    lease: int

    def convert(self) -> store.RevokeRequest:
        """Return the request of the store."""
        return store.RevokeRequest(self.lease)


_CALLS: typing.Mapping[str, typing.Any] = types.MappingProxyType(
    {
        '/v3/kv/range': RangeCall,
        '/v3/kv/txn': TxnCall,
        '/v3/lease/grant': GrantCall,
        '/v3/lease/keepalive': KeepAliveCall,
        '/v3/lease/revoke': RevokeCall,
        '/v3/watch': WatchCall,
    },
)


def decode(path: str, body: bytes) -> store.Request:
    """Return the store request of a gateway call.

    Raises:
      ErrorStatus: If the path or the body is unknown or not supported.
    """
    record = _CALLS.get(path)
    if record is None:
        raise ErrorStatus(http.HTTPStatus.NOT_FOUND, _NOT_FOUND, 'Not Found')
    try:
        call = msgspec.json.decode(body, type=record, strict=False)
    except msgspec.DecodeError as error:
        raise invalid(str(error)) from error
    return call.convert()


def lease_not_found() -> ErrorStatus:
    """Return the error for a lease that has ended."""
    return ErrorStatus(
        http.HTTPStatus.NOT_FOUND,
        _NOT_FOUND,
        'etcdserver: requested lease not found',
    )


def invalid(text: str) -> ErrorStatus:
    """Return the error for a call that etcd would refuse."""
    return ErrorStatus(http.HTTPStatus.BAD_REQUEST, _INVALID_ARGUMENT, text)
