"""Requests to the platform's metadata store.

The store gets its own numbers, without the eras.
"""

import importlib
import string
import types
import typing

import msgspec

from jacinthhaven.adapters import http_client
from jacinthhaven.records import history, store

_UNQUOTED = frozenset(f'{string.ascii_letters}{string.digits}-._~/')


def send(client: http_client.Client, request: store.Request) -> None:
    """Encode a request and send it."""
    _SENDERS[type(request)](client, request)


def quote(prefix: str) -> str:
    """Percent-encode a key or prefix for a query string."""
    if _UNQUOTED.issuperset(prefix):
        return prefix
    # Keys of ordinary names need no quoting, so that a restarted process does
    # without this module.
    return importlib.import_module('urllib.parse').quote(prefix, safe='/')


def number_after(
    request: store.WatchRequest | store.ChangesRequest,
) -> int:
    """Return the store's number of the last revision that is known."""
    return history.EraNumber(request.start_revision - 1).number


def _send_read(client: http_client.Client, request: typing.Any) -> None:
    prefix = quote(request.prefix)
    stale = '&allowStale=1' if request.may_be_stale else ''
    after = f'&after={quote(request.after)}' if request.after else ''
    client.get(f'/kv-range?prefix={prefix}{after}{stale}')


def _send_changes(client: http_client.Client, request: typing.Any) -> None:
    # The store takes the last revision already seen, not the first one to
    # report.
    prefix = quote(request.prefix)
    after = number_after(request)
    client.get(f'/kv-watch?prefix={prefix}&after={after}&waitMs=0')


def _send_swap(client: http_client.Client, request: typing.Any) -> None:
    puts = []
    deletes = []
    for change in request.changes:
        if isinstance(change, store.Delete):
            deletes.append(change.key)
        else:
            puts.append(
                {
                    'key': change.key,
                    'value': change.value.encode(),
                    'lease': history.EraNumber(change.lease).number,
                },
            )
    expect = [
        {
            'key': compare.key,
            'revision': history.EraNumber(compare.mod_revision).number,
        }
        for compare in request.compares
    ]
    document = {'expect': expect, 'puts': puts, 'deletes': deletes}
    client.send('/kv-txn', msgspec.json.encode(document))


def _send_lease(client: http_client.Client, request: typing.Any) -> None:
    document = {'ttlMs': request.ttl_ms}
    client.send('/kv-lease', msgspec.json.encode(document))


def _send_keep(client: http_client.Client, request: typing.Any) -> None:
    lease = history.EraNumber(request.lease).number
    client.send(f'/kv-keep/{lease}', b'')


def _send_revoke(client: http_client.Client, request: typing.Any) -> None:
    lease = history.EraNumber(request.lease).number
    client.delete(f'/kv-lease-end/{lease}')


_SENDERS = types.MappingProxyType(
    {
        store.ReadRequest: _send_read,
        store.ChangesRequest: _send_changes,
        store.SwapRequest: _send_swap,
        store.LeaseRequest: _send_lease,
        store.KeepAliveRequest: _send_keep,
        store.RevokeRequest: _send_revoke,
    },
)
