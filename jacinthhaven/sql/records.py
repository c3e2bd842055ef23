"""Routes, services, instances and log positions of the SQL proxy."""

import enum
import importlib
import socket
import types
import typing

import msgspec

Address = tuple[str, int]
_MAX_PORT = 65_535


def check_address(address: Address) -> Address:
    """Return an address that another writer has given.

    Raises:
      ValueError: If it is not an IPv4 address and a port that can be connected
        to.
    """
    host, port = address
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        # This describes the error. The import would delay each start.
        importlib.import_module('ipaddress').IPv4Address(host)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'port {port} is not between 1 and {_MAX_PORT}')
    return address


class ConsistencyLevel(enum.Enum):
    """Consistency that a route requires of its reads.

    PRIMARY requires the newest data, BOUNDED limits the age of the data, and
    OWN_WRITES also requires the session's own commits.
    """

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    OWN_WRITES = 'own_writes'


class Position(msgspec.Struct, frozen=True, order=True):
    """Position in the replicated log of a service.

    Attributes:
      term: Term of the primary that wrote the entry.
      number: Number of the entry in the log.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """Return the position in the format of the log lines."""
        return f'{self.term}.{self.number}'


class Route(msgspec.Struct, frozen=True):
    """Settings of the sessions of one database name.

    Attributes:
      database: Name that clients connect to.
      service: Name of the service that stores the data.
      mode: Consistency of reads.
      timeout_ms: Time limit of one statement.
      target_ms: Target latency of one statement.
      priority: Priority under overload; 0 is the highest.
      max_age_ms: Maximum age of the data that a read may return.
      is_public: Whether it may be used without a key.
    """

    database: str
    service: str
    mode: ConsistencyLevel
    timeout_ms: int
    target_ms: int
    priority: int
    max_age_ms: int
    is_public: bool = False


class Routing(typing.NamedTuple):
    """How a statement is routed.

    Attributes:
      route: Route of its database.
      version: Version of the configuration that the route is from.
      customer: Name of the customer that it runs for; '' if none is known.
    """

    route: Route
    version: int
    customer: str = ''


class Customer(msgspec.Struct, frozen=True):
    """Customer whose callers are recognised by their keys.

    Attributes:
      name: Name that the instances are told.
      rate_per_s: Operations a second that all its callers together may run;
        0 for no limit.
      burst: Operations that they may run beyond the rate at once.
    """

    name: str
    rate_per_s: float = 0
    burst: float = 0


class Service(msgspec.Struct, frozen=True):
    """Replication group of a primary and its replicas.

    Attributes:
      name: Name of the service.
      max_connections: Connection limit of each instance, for all its clients.
      acknowledging_replicas: Number of replicas that must have a commit
        before it is acknowledged.
    """

    name: str
    max_connections: int
    acknowledging_replicas: int


class Configuration(msgspec.Struct, frozen=True):
    """Configuration by the operator.

    Attributes:
      version: Version number, which only increases.
      routes: Routes by database name.
      services: Services by name.
      transaction_idle_ms: Idle time after which a transaction is rolled
        back; 0 for no limit.
      customers: Customers by the digest of each of their keys, or None if
        callers need no key.
    """

    version: int
    routes: typing.Mapping[str, Route]
    services: typing.Mapping[str, Service]
    transaction_idle_ms: int
    customers: typing.Mapping[str, Customer] | None = None


def shortest_targets_ms(
    configuration: Configuration,
    service: str,
) -> dict[int, int]:
    """Return the shortest target among the routes of each priority.

    Args:
      configuration: Configuration with the routes.
      service: Name of the service whose routes count.
    """
    shortest: dict[int, int] = {}
    for route in configuration.routes.values():
        if route.service == service:
            known_ms = shortest.get(route.priority, route.target_ms)
            shortest[route.priority] = min(known_ms, route.target_ms)
    return shortest


EMPTY = Configuration(
    -1, types.MappingProxyType({}), types.MappingProxyType({}), 0
)


class Instance(msgspec.Struct, frozen=True):
    """Registry entry of one backend server.

    Attributes:
      name: Identity, which the server must prove when a link is opened.
      service: Name of the service that it belongs to.
      address: IP address and TCP port.
      zone: Availability zone.
      slots: Number of statements that it executes at the same time.
      leaving: Whether it is about to stop.
      claims_primary: Whether it considers itself the primary.
      reported: When the server started, in milliseconds since 1970, and the number
        of this report since then; a later report has a higher pair.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    claims_primary: bool
    reported: tuple[int, int] = (0, 0)


class InstanceStatus(msgspec.Struct, frozen=True):
    """Replication status as reported by an instance.

    Attributes:
      is_primary: Whether it is the primary of its service.
      term: Newest term that it knows.
      received: Last log position that it has received.
    """

    is_primary: bool
    term: int
    received: Position | None
