"""Settings of one SQL session proxy, read when it starts and on reload.

They are checked without the models of the other settings, whose library
takes longer to import than a restarted proxy may take to serve again.
"""

import importlib
import socket
import typing

import msgspec

Loc = tuple[str | int, ...]
Located = list[tuple[Loc, str]]

# Price of leaving the zone without a setting: differences in the expected time up
# to this do not matter.
DEFAULT_LEAVING_COST_MS = 2.0

_MAX_PORT = 65535
_MISSING = 'required key is missing'
_UNKNOWN = 'unknown key'
_NOT_A_MAPPING = 'must be a mapping'


class Address:
    """IP address and TCP port.

    Attributes:
      pair: Both as sockets take them.
    """

    __slots__ = ('pair',)

    def __init__(self, host: str, port: int) -> None:
        """Create an address."""
        self.pair = (host, port)

    def __eq__(self, other: object) -> bool:
        """Return whether two addresses are the same."""
        return isinstance(other, Address) and self.pair == other.pair

    def __hash__(self) -> int:
        """Return the hash of both parts."""
        return hash(self.pair)


Wait = typing.Annotated[int, msgspec.Meta(ge=100, le=30_000)]
Grace = typing.Annotated[int, msgspec.Meta(ge=1000)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Window = typing.Annotated[int, msgspec.Meta(ge=1000)]
LeavingCost = typing.Annotated[float, msgspec.Meta(ge=0, le=10_000)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1)]
Addresses = tuple[Address, ...]
FlushTime = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Level = typing.Literal['debug', 'info', 'warning', 'error']


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of the settings; unknown keys are errors."""


class Listeners(_Section, frozen=True):
    """Addresses that the process listens on."""

    clients: Address
    health: Address
    metrics: Address
    peers: Address


class Store(_Section, frozen=True):
    """Platform's store.

    Attributes:
      address: Where it listens.
      minimum_lease_ms: Shortest lease that it grants.
      watch_wait_ms: How long a watch without changes waits for an answer.
      apply_within_ms: Longest time until a new configuration is in force.
    """

    address: Address
    watch_wait_ms: Wait = 1500
    apply_within_ms: Wait = 3000


class Promotion(_Section, frozen=True):
    """Where promotions are ordered.

    Attributes:
      address: Where orders are sent.
      fenced: Whether orders with an old fencing number are refused and a
        replaced primary serves nobody any more.
    """

    address: Address
    fenced: bool = True


class Processor(_Section, frozen=True):
    """Processor of the VM.

    Attributes:
      share: Share of a core.
      speed: How many times as fast as one core it is.
    """

    share: Positive = 1.0
    speed: Positive = 1.0

    @property
    def capacity(self) -> float:
        """Return how many cores it is worth."""
        return self.share * self.speed


class Quotas(_Section, frozen=True):
    """How far all nodes together may exceed the limit of a customer.

    Attributes:
      window_ms: Length of the window in which operations count.
      overage: Share of the allowed operations that may be admitted beyond
        them.
      extra: Operations that may be admitted beyond that.
    """

    window_ms: Window = 5000
    overage: NotNegative = 0.1
    extra: NotNegative = 20


class Zones(_Section, frozen=True):
    """Traffic between availability zones.

    Attributes:
      leaving_cost_ms: Price of leaving the zone: how many milliseconds another
        zone must be faster to get work of this one.
      outflow: Whether new sessions may leave the zone although its own owners
        can be reached.
    """

    leaving_cost_ms: LeavingCost = DEFAULT_LEAVING_COST_MS
    outflow: bool = False


class Log(_Section, frozen=True):
    """Destination of the log.

    Attributes:
      level: Lowest level that is written.
      destination: `stdout` or a file name.
      flush_ms: Longest time in milliseconds that a line stays buffered.
    """

    level: Level = 'info'
    destination: Name = 'stdout'
    flush_ms: FlushTime = 200


class Limits(_Section, frozen=True):
    """Limits against clients that misbehave.

    Attributes:
      memory_mb: Memory of the VM in MB.
      max_fds: Descriptors that the process may open, if the operating system
        does not allow fewer.
      connection_kb: Bytes that one connection may hold, in KiB.
      queued_kb: Unanswered statements and unsent answers of a connection, in
        KiB, from which it is not read.
      kept_kb: Settings and prepared statements of a session, in KiB.
      pipelined: Unanswered statements of a connection from which it is not
        read.
      start_timeout_ms: Time in which a connection must open a session.
      message_timeout_ms: Time in which a message must be complete.
      reader_timeout_ms: Time in which a part of queued answers must be read.
    """

    memory_mb: Count = 512
    max_fds: Count = 1_048_576
    connection_kb: Count = 8192
    queued_kb: Count = 256
    kept_kb: Count = 2048
    pipelined: Count = 16
    start_timeout_ms: Count = 30_000
    message_timeout_ms: Count = 30_000
    reader_timeout_ms: Count = 10_000


class SqlSettings(_Section, frozen=True):
    """Settings of one process.

    Attributes:
      node: Name of this process, unique among all nodes.
      zone: Availability zone.
      listeners: Addresses that the process listens on.
      store: Platform's store.
      promotion: Where promotions are ordered.
      grace_ms: Time between SIGTERM and SIGKILL.
      first_start: Whether the whole system starts for the first time.
      log: Destination of the log.
      processor: Processor of the VM.
      zones: Traffic between availability zones.
      limits: Limits against clients that misbehave.
      seeds: Addresses of nodes through which this one may reach the store
        before it knows any other. Only their hosts count: nodes accept each
        other on the port of `listeners.peers`, which is the same on all VMs.
      quotas: How far the limits of customers may be exceeded.
    """

    node: Name
    zone: Name
    listeners: Listeners
    store: Store
    promotion: Promotion
    grace_ms: Grace
    first_start: bool = False
    log: Log = Log()
    processor: Processor = Processor()
    zones: Zones = Zones()
    limits: Limits = Limits()
    seeds: Addresses = ()
    quotas: Quotas = Quotas()

    @property
    def seed_nodes(self) -> tuple[tuple[str, int], ...]:
        """Return the addresses at which the seeds accept other nodes."""
        own_host, port = self.listeners.peers.pair
        hosts = (seed.pair[0] for seed in self.seeds)
        return tuple((host, port) for host in hosts if host != own_host)


def check(document: typing.Any) -> Located:
    """Return the path and the message of each error in a document."""
    return _check(document, SqlSettings, ())


def convert(document: typing.Any) -> SqlSettings:
    """Return a checked document as settings.

    Raises:
      msgspec.ValidationError: If `check` reports an error.
    """
    return msgspec.convert(document, SqlSettings, dec_hook=_decode)


def _check(document: typing.Any, section: type, path: Loc) -> Located:
    if not isinstance(document, dict):
        return [(path, _NOT_A_MAPPING)]
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    located: Located = [
        ((*path, str(key)), _UNKNOWN) for key in document if key not in fields
    ]
    for name, field in fields.items():
        place = (*path, name)
        found = document.get(name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            located.extend(_check_field(found, field.type, place))
        elif field.required:
            located.append((place, _MISSING))
    return located


def _check_field(found: typing.Any, kind: typing.Any, path: Loc) -> Located:
    if isinstance(kind, type) and issubclass(kind, _Section):
        return _check(found, kind, path)
    try:
        if kind is Address:
            _parse_address(found)
        elif kind == Addresses:
            _parse_addresses(found)
        else:
            msgspec.convert(found, kind)
    except ValueError as error:
        return [(path, str(error))]
    return []


def _parse_address(text: typing.Any) -> Address:
    host, _, port = str(text).rpartition(':')
    try:
        _check_host(host)
        number = int(port)
    except ValueError as error:
        raise ValueError(f'{text} is not an IP address and a port') from error
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f'{number} is not a TCP port')
    return Address(host, number)


def _check_host(host: str) -> None:
    """Check that a host is an IP address.

    `ipaddress` is only needed for the addresses that `socket` does not
    recognise; its import would delay the start.

    Raises:
      ValueError: If it is not.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        importlib.import_module('ipaddress').ip_address(host)


def _parse_addresses(texts: typing.Any) -> Addresses:
    if not isinstance(texts, list):
        raise ValueError('must be a list of addresses')
    return tuple(_parse_address(text) for text in texts)


def _decode(kind: type, found: typing.Any) -> Address:
    if kind is Address:
        return _parse_address(found)
    raise NotImplementedError(kind)
