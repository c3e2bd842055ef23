"""Decoding of the operator's configuration and of registry entries.

The store holds both as JSON. Registry entries may come from other writers:
an entry that cannot be decoded is reported and yields no instance.
"""

import types
import typing

import msgspec

from jacinthhaven.records import store
from jacinthhaven.sql import records

CONFIGURATION_KEY = 'op/config'
REGISTRY_PREFIX = 'servers/'
# The proxies' own keys and the operator's key share their first letter, so
# that one watch on WATCHED_PREFIX covers both.
OWN_PREFIX = 'ours/'
WATCHED_PREFIX = 'o'
# Not covered by the watch: node keys change too often for every node to
# watch them.
MEMBER_PREFIX = 'nodes/'

_MODES = types.MappingProxyType(
    {
        'primary': records.ConsistencyLevel.PRIMARY,
        'bounded_staleness': records.ConsistencyLevel.BOUNDED,
        'read_your_writes': records.ConsistencyLevel.OWN_WRITES,
    },
)
_STATES = types.MappingProxyType({'ready': False, 'draining': True})
_ROLES = types.MappingProxyType({'replica': False, 'primary': True})
MALFORMED = (msgspec.DecodeError, ValueError, KeyError)


class _Route(msgspec.Struct, rename='camel'):
    # `host` is the database name that a client sends in its START line.
    host: str
    service: str
    route_type: str
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_staleness_ms: int = 0


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 1
    sync_replicas: int = 0


class _Limits(msgspec.Struct, rename='camel'):
    # The field is missing if transactions may stay idle without limit.
    tx_idle_ms: int = 0


class _Config(msgspec.Struct, rename='camel'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    db_role: str
    slots: int = 1


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)


def decode_configuration(text: str) -> records.Configuration:
    """Decode the operator's configuration.

    Raises:
      MALFORMED: If the document cannot be decoded.
    """
    document = _config_decoder.decode(text)
    return records.Configuration(
        document.version,
        types.MappingProxyType(
            {route.host: _decode_route(route) for route in document.routes},
        ),
        types.MappingProxyType(
            {
                service.name: records.Service(
                    service.name,
                    service.max_connections,
                    service.sync_replicas,
                )
                for service in document.services
            },
        ),
        document.limits.tx_idle_ms,
    )


def _decode_route(route: _Route) -> records.Route:
    return records.Route(
        route.host,
        route.service,
        _MODES[route.route_type],
        route.timeout_ms,
        route.target_latency_ms,
        route.priority,
        route.max_staleness_ms,
    )


def decode_instance(entry: store.KeyValue) -> records.Instance:
    """Decode a registry entry.

    Raises:
      MALFORMED: If the entry cannot be decoded.
    """
    server = _server_decoder.decode(entry.value)
    host, _, port = server.address.rpartition(':')
    return records.Instance(
        entry.key.removeprefix(REGISTRY_PREFIX),
        server.service,
        (host, int(port)),
        server.zone,
        server.slots,
        _STATES[server.state],
        _ROLES[server.db_role],
    )


def decode_instances(
    entries: typing.Iterable[store.KeyValue],
    on_unusable: typing.Callable[[str, str], None],
) -> list[records.Instance]:
    """Return the instances of all registry entries that can be decoded.

    Args:
      entries: Entries of the registry.
      on_unusable: Called with the key and the error of each entry that
        cannot be decoded.
    """
    found = []
    for entry in entries:
        try:
            found.append(decode_instance(entry))
        except MALFORMED as error:
            on_unusable(entry.key, str(error))
    return found
