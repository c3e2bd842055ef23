"""Encodes calls of the store for the JSON gateway of the etcd v3 API.

The gateway carries keys and values in base64 and 64-bit integers as
strings.
"""

import math
import types
import typing

import msgspec

from jacinthhaven.records import store

_MS_PER_S = 1000
# etcd interprets a zero byte as key and range end as "all keys".
_ALL_KEYS = types.MappingProxyType({'key': b'\0', 'range_end': b'\0'})

Document = dict[str, typing.Any]
Encoded = tuple[str, Document]


def encode(request: store.Request) -> tuple[str, bytes]:
    """Return the path and the JSON body of a call."""
    path, document = _ENCODERS[type(request)](request)
    return path, msgspec.json.encode(document)


def _range(prefix: str) -> Document:
    if not prefix:
        return dict(_ALL_KEYS)
    # The exclusive end of a prefix range is the prefix with its last byte
    # incremented. This cannot overflow: bytes of UTF-8 are below 255.
    end = bytearray(prefix.encode())
    end[-1] += 1
    return {'key': prefix.encode(), 'range_end': bytes(end)}


def _read(request: store.ReadRequest) -> Encoded:
    return '/v3/kv/range', _range(request.prefix)


def _swap(request: store.SwapRequest) -> Encoded:
    compares = [
        {
            'key': compare.key.encode(),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(compare.mod_revision),
        }
        for compare in request.compares
    ]
    changes = [_operation(change) for change in request.changes]
    return '/v3/kv/txn', {'compare': compares, 'success': changes}


def _operation(change: store.Put | store.Delete) -> Document:
    key = change.key.encode()
    if isinstance(change, store.Delete):
        return {'request_delete_range': {'key': key}}
    return {
        'request_put': {
            'key': key,
            'value': change.value.encode(),
            'lease': str(change.lease),
        },
    }


def _grant(request: store.LeaseRequest) -> Encoded:
    # etcd counts in whole seconds. Round up, since a lease shorter than
    # requested could expire before its renewal.
    ttl_s = math.ceil(request.ttl_ms / _MS_PER_S)
    return '/v3/lease/grant', {'TTL': str(ttl_s)}


def _keep_alive(request: store.KeepAliveRequest) -> Encoded:
    return '/v3/lease/keepalive', {'ID': str(request.lease)}


def _revoke(request: store.RevokeRequest) -> Encoded:
    return '/v3/lease/revoke', {'ID': str(request.lease)}


def _watch(request: store.WatchRequest) -> Encoded:
    creation = _range(request.prefix)
    creation['start_revision'] = str(request.start_revision)
    return '/v3/watch', {'create_request': creation}


_ENCODERS = types.MappingProxyType(
    {
        store.ReadRequest: _read,
        store.SwapRequest: _swap,
        store.LeaseRequest: _grant,
        store.KeepAliveRequest: _keep_alive,
        store.RevokeRequest: _revoke,
        store.WatchRequest: _watch,
    },
)
