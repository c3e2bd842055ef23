"""Decoding of the operator's configuration and of registry entries.

The store holds both as JSON. Registry entries may come from other writers:
an entry that cannot be decoded is reported and yields no instance. Other
writers may also put anything into a field, so each one is checked.
"""

import re
import types
import typing

import msgspec

from jacinthhaven.records import store
from jacinthhaven.sql import customer_keys, records

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
# What decoding may raise; deep nesting is the cause of the last one.
MALFORMED = (msgspec.DecodeError, ValueError, KeyError, RecursionError)
# Instances have a few slots; more than this is an error of the writer.
_MAX_SLOTS = 10_000
# Largest integer that all readers of JSON support.
_MAX_INTEGER = 9_007_199_254_740_991
_NAME = re.compile('[!-~]+')
# The reason may quote a field of any size.
_MAX_REASON = 200

_Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]


class _Route(msgspec.Struct, rename='camel'):
    # `host` is the database name that a client sends in its START line.
    host: str
    service: str
    route_type: str
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_staleness_ms: int = 0
    public: bool = False


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str]
    rate_per_s: float = 0
    burst: float = 0


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
    # The field is missing if clients need no keys.
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    db_role: str
    slots: _Slots = 1
    # `born` is when the server started, in milliseconds since 1970, `sequence`
    # counts its reports since then.
    born: _Count = 0
    sequence: _Count = 0


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
        _decode_customers(document.tenants),
    )


def _decode_customers(
    tenants: list[_Tenant] | None,
) -> typing.Mapping[str, records.Customer] | None:
    """Return the customers by the digest of each key."""
    if tenants is None:
        return None
    found = {}
    for tenant in tenants:
        _check_name(tenant.name)
        customer = records.Customer(
            tenant.name, tenant.rate_per_s, tenant.burst
        )
        # Callers without a key have the digest of an empty one.
        for key in filter(None, tenant.api_keys):
            found[customer_keys.digest(key)] = customer
    return types.MappingProxyType(found)


def _decode_route(route: _Route) -> records.Route:
    return records.Route(
        route.host,
        route.service,
        _MODES[route.route_type],
        route.timeout_ms,
        route.target_latency_ms,
        route.priority,
        route.max_staleness_ms,
        route.public,
    )


def decode_instance(entry: store.KeyValue) -> records.Instance:
    """Decode a registry entry.

    Raises:
      MALFORMED: If the entry cannot be decoded.
    """
    server = _server_decoder.decode(entry.value)
    return records.Instance(
        _check_name(entry.key.removeprefix(REGISTRY_PREFIX)),
        server.service,
        _decode_address(server.address),
        server.zone,
        server.slots,
        _STATES[server.state],
        _ROLES[server.db_role],
        (server.born, server.sequence),
    )


def _check_name(name: str) -> str:
    # The name is sent in a line, so that a space or a line end would add to it.
    if not _NAME.fullmatch(name):
        raise ValueError(f'{name!r} is not a name')
    return name


def _decode_address(text: str) -> records.Address:
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f'{port!r} is not a port')
    return records.check_address((host, int(port)))


def describe(error: Exception) -> str:
    """Return why a document cannot be decoded, in a few words."""
    return f'{type(error).__name__}: {error}'[:_MAX_REASON]


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
            on_unusable(entry.key, describe(error))
    return found
