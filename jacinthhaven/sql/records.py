"""Routes, services, instances and log positions of the SQL proxy."""

import enum
import types
import typing

import msgspec

Address = tuple[str, int]


class Mode(enum.Enum):
    """How recent the data of a read must be."""

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    OWN_WRITES = 'own_writes'


class Position(msgspec.Struct, frozen=True, order=True):
    """Place in the replicated log of a service."""

    term: int
    number: int

    def __str__(self) -> str:
        """Return the position as shown in logs."""
        return f'{self.term}.{self.number}'


class Route(msgspec.Struct, frozen=True):
    """Rules for the sessions of one database name.

    Attributes:
      database: Name that clients connect to.
      service: Group of instances that holds the data.
      mode: How recent the data of a read must be.
      timeout_ms: Longest time of one statement.
      target_ms: Latency that the operator wants to meet.
      priority: Rank under overload; 0 is the most important.
      max_age_ms: Oldest data that a read may return.
    """

    database: str
    service: str
    mode: Mode
    timeout_ms: int
    target_ms: int
    priority: int
    max_age_ms: int


class Service(msgspec.Struct, frozen=True):
    """One group of a primary and its replicas.

    Attributes:
      name: Name of the group.
      max_connections: Limit of each instance for all its callers.
      acknowledging_replicas: Replicas that hold a commit before its
        acknowledgement.
    """

    name: str
    max_connections: int
    acknowledging_replicas: int


class Configuration(msgspec.Struct, frozen=True):
    """Operator's configuration in one version.

    Attributes:
      version: Number that only grows.
      routes: Routes by database name.
      services: Services by name.
      transaction_idle_ms: Idle time after which a transaction may end.
    """

    version: int
    routes: typing.Mapping[str, Route]
    services: typing.Mapping[str, Service]
    transaction_idle_ms: int


EMPTY = Configuration(
    -1, types.MappingProxyType({}), types.MappingProxyType({}), 0
)


class Instance(msgspec.Struct, frozen=True):
    """Registry entry of one backend server.

    Attributes:
      name: Identity that the server proves when a link opens.
      service: Group that it belongs to.
      address: IP address and TCP port.
      zone: Availability zone.
      slots: Statements that it executes at the same time.
      leaving: Whether it is about to stop.
      claims_primary: Whether it believes to be the primary.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    claims_primary: bool


class InstanceStatus(msgspec.Struct, frozen=True):
    """What an instance says about itself.

    Attributes:
      is_primary: Whether it leads its group.
      term: Newest term that it knows.
      received: Last position that it has received.
    """

    is_primary: bool
    term: int
    received: Position | None
