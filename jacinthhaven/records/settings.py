"""Settings of one proxy process, read once when it starts.

The settings name what differs between nodes or must be known before the
store is reached. Everything that operators change while the cluster runs
is part of the presets in the store instead.

Processes reach each other by IP address only, so no host name is accepted.
File names are made absolute and checked by a function that the loader
passes as validation context, which keeps this module free of input and
output. A check that compares several values runs once each of them is
valid by itself.
"""

import ipaddress
import typing

import pydantic
import pydantic_core

from jacinthhaven.records import topology

# Each slot holder uses one connection of its share for status requests and
# needs another one for statements.
_MIN_SHARE = 2
# A proof of freshness needs several gossip rounds to reach every node.
_GOSSIP_ROUNDS = 4
# A lease is renewed every third of its time to live.
_RENEWALS_PER_TTL = 3

Loc = tuple[str | int, ...]


def _error(code: str, message: str) -> pydantic_core.PydanticCustomError:
    # The messages are final; braces in them are not format fields.
    return pydantic_core.PydanticCustomError(code, '{text}', {'text': message})


def _raise_located(located: typing.Iterable[tuple[Loc, str]]) -> None:
    """Raise one validation error that holds all located messages."""
    details = [
        pydantic_core.InitErrorDetails(
            type=_error('cross_check', message),
            loc=loc,
            input=None,
        )
        for loc, message in located
    ]
    if details:
        raise pydantic.ValidationError.from_exception_data('check', details)


def _duplicates(
    keyed: typing.Iterable[tuple[Loc, typing.Hashable]],
    what: str,
) -> list[tuple[Loc, str]]:
    seen = set()
    located = []
    for loc, key in keyed:
        if key in seen:
            located.append((loc, f'duplicate {what}: {key}'))
        seen.add(key)
    return located


def _ip_address(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise _error(
            'ip_address',
            f'not an IP address: {text!r} (host names are not accepted)',
        ) from error


def _reachable(text: str) -> str:
    if ipaddress.ip_address(text).is_unspecified:
        raise _error(
            'unspecified_address',
            f'{text} is not an address that other processes can connect to',
        )
    return text


def _checked_file(
    kind: str,
) -> typing.Callable[[str, pydantic.ValidationInfo], str]:
    def check(name: str, info: pydantic.ValidationInfo) -> str:  # noqa: WPS430
        if info.context is None:
            return name
        full_name, problem = info.context['file_check'](kind, name)
        if problem:
            raise _error('file', problem)
        return full_name

    return check


def _destination(text: str) -> str:
    if text != 'stdout' and not text.startswith('/'):
        raise _error(
            'destination',
            'destination is neither `stdout` nor an absolute file name',
        )
    return text


KEY_FILE = 'key'
PEM_FILE = 'pem'

Name = typing.Annotated[
    str,
    pydantic.Field(pattern='^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$'),
]
ZoneName = typing.Annotated[
    str,
    pydantic.Field(pattern='^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'),
]
BindHost = typing.Annotated[str, pydantic.AfterValidator(_ip_address)]
Host = typing.Annotated[BindHost, pydantic.AfterValidator(_reachable)]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
KeyFile = typing.Annotated[
    str,
    pydantic.AfterValidator(_checked_file(KEY_FILE)),
]
PemFile = typing.Annotated[
    str,
    pydantic.AfterValidator(_checked_file(PEM_FILE)),
]


class _Model(pydantic.BaseModel):
    """Base of all settings: unknown keys and implicit conversions fail."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
    )


class Address(_Model):
    """IP address and TCP port of another process."""

    host: Host
    port: Port


class Seed(Address):
    """Peer address of a member that may be asked before any is known.

    Attributes:
      name: Node name of the member, which its handshake must show.
      zone: Availability zone of the member.
    """

    name: Name
    zone: ZoneName


class Tls(_Model):
    """TLS files of a listener in PEM format.

    Attributes:
      cert_file: Certificate chain.
      key_file: Private key of the certificate.
      ca_file: CA certificates; if set, clients must present a certificate
        that one of them signed.
    """

    cert_file: PemFile
    key_file: PemFile
    ca_file: PemFile | None = None


class PeerTls(Tls):
    """TLS files of the peer sockets, which check certificates both ways."""

    ca_file: PemFile


class CallerListener(_Model):
    """Listener of the caller protocol; any local address may be bound."""

    host: BindHost
    port: Port
    tls: Tls | None = None


class PeerListener(_Model):
    """Listener of the peer protocol; the address is told to the members."""

    host: Host
    port: Port
    tls: PeerTls | None = None


class OperatorListener(_Model):
    """Listener of the operator protocol.

    Attributes:
      host: IP address to bind.
      port: TCP port.
      key_file: File with the key that operators send.
      tls: TLS files, or None for plain TCP.
    """

    host: BindHost
    port: Port
    key_file: KeyFile
    tls: Tls | None = None


class Listeners(_Model):
    """The three listeners of a proxy."""

    caller: CallerListener
    peer: PeerListener
    operator: OperatorListener

    @pydantic.model_validator(mode='after')
    def _check_ports(self) -> typing.Self:
        # Binding a port twice fails only after the process has started.
        _raise_located(
            _duplicates(
                (
                    (('caller', 'port'), self.caller.port),
                    (('peer', 'port'), self.peer.port),
                    (('operator', 'port'), self.operator.port),
                ),
                'listener port',
            ),
        )
        return self


class Store(_Model):
    """Access to the platform's key-value store.

    Attributes:
      kind: Protocol of the store.
      endpoints: Addresses, tried in turn.
      call_timeout_ms: Time after which a call counts as unanswered.
    """

    kind: typing.Literal['etcd'] = 'etcd'
    endpoints: typing.Annotated[list[Address], pydantic.Field(min_length=1)]
    call_timeout_ms: int = pydantic.Field(1000, ge=50, le=30_000)


class Instance(_Model):
    """One backend server of a group."""

    name: Name
    host: Host
    port: Port
    zone: ZoneName


class Group(_Model):
    """Database group.

    Attributes:
      name: Name of the group.
      backend: Backend kind plug-in.
      connection_limit: Connections that one instance accepts.
      owners: Connection slots; each gives floor(limit / owners) connections
        per instance.
      databases: Databases with a copy on every instance.
      instances: Backend servers.
    """

    name: Name
    backend: Name = 'http_json'
    connection_limit: int = pydantic.Field(ge=_MIN_SHARE, le=10_000)
    owners: int = pydantic.Field(3, ge=1, le=16)
    databases: typing.Annotated[list[Name], pydantic.Field(min_length=1)]
    instances: typing.Annotated[list[Instance], pydantic.Field(min_length=1)]

    @pydantic.model_validator(mode='after')
    def _check_share(self) -> typing.Self:
        share = self.connection_limit // self.owners
        if share < _MIN_SHARE:
            _raise_located(
                [
                    (
                        ('owners',),
                        f'{self.owners} owners share '
                        f'{self.connection_limit} connections; each needs '
                        f'at least {_MIN_SHARE}',
                    ),
                ],
            )
        return self


class Statsd(_Model):
    """Destination of the metrics.

    Attributes:
      host: IP address of the statsd server.
      port: UDP port.
      prefix: Start of every metric name.
      interval_ms: Time between two transmissions in milliseconds.
    """

    host: Host
    port: Port = 8125
    prefix: Name = 'jacinthhaven'
    interval_ms: int = pydantic.Field(10_000, ge=100, le=600_000)


class Log(_Model):
    """Destination of the log.

    Attributes:
      level: Lowest level that is written.
      destination: `stdout` or an absolute file name.
      flush_ms: Longest time in milliseconds that a line stays buffered.
    """

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    destination: typing.Annotated[
        str,
        pydantic.AfterValidator(_destination),
    ] = 'stdout'
    flush_ms: int = pydantic.Field(200, ge=1, le=10_000)


def _check_groups(groups: list[Group]) -> list[Group]:
    # Callers address a database without its group, and log lines name an
    # instance without its group.
    databases = [
        ((number, 'databases', place), database)
        for number, group in enumerate(groups)
        for place, database in enumerate(group.databases)
    ]
    instances = [
        ((number, 'instances', place), instance)
        for number, group in enumerate(groups)
        for place, instance in enumerate(group.instances)
    ]
    _raise_located(
        [
            *_duplicates(
                (
                    ((number,), group.name)
                    for number, group in enumerate(groups)
                ),
                'group name',
            ),
            *_duplicates(databases, 'database name'),
            *_duplicates(
                ((loc, instance.name) for loc, instance in instances),
                'instance name',
            ),
            *_duplicates(
                (
                    (loc, f'{instance.host} port {instance.port}')
                    for loc, instance in instances
                ),
                'instance address',
            ),
        ],
    )
    return groups


def _check_seeds(seeds: list[Seed]) -> list[Seed]:
    _raise_located(
        _duplicates(
            (
                ((place,), f'{seed.host} port {seed.port}')
                for place, seed in enumerate(seeds)
            ),
            'seed',
        ),
    )
    return seeds


class Settings(_Model):
    """Settings of one proxy process.

    Attributes:
      cluster: Name of the cluster; peers of another cluster are refused.
      cluster_key_file: File with the key shared by all members.
      node: Name of this proxy, unique in the cluster.
      region: Region of this proxy.
      zone: Availability zone of this proxy.
      listeners: Addresses that this proxy listens on.
      store: Platform store.
      vm_list: Address of the platform's VM list.
      seeds: Peer addresses of other members, asked before the store was
        ever reached.
      groups: Database groups.
      statsd: Metrics destination, or None to keep no metrics.
      log: Log destination.
      drain_ms: Longest time that a planned stop waits for running work.
      gossip_ms: Time between two digest exchanges.
      fanout: Peers that a new revision is pushed to.
      freshness_ms: Age at which the proof of the configuration expires.
      status_wait_ms: Longest wait of an instance before it answers a status
        request without a change.
      lease_ttl_floor_ms: Shortest time to live of a store lease.
    """

    cluster: Name
    cluster_key_file: KeyFile
    node: Name
    region: ZoneName
    zone: ZoneName
    listeners: Listeners
    store: Store
    vm_list: Address
    seeds: typing.Annotated[
        list[Seed],
        pydantic.AfterValidator(_check_seeds),
    ] = pydantic.Field(default_factory=list)
    groups: typing.Annotated[
        list[Group],
        pydantic.Field(min_length=1),
        pydantic.AfterValidator(_check_groups),
    ]
    statsd: Statsd | None = None
    log: Log = pydantic.Field(default_factory=Log)
    drain_ms: int = pydantic.Field(30_000, ge=0, le=3_600_000)
    gossip_ms: int = pydantic.Field(500, ge=50, le=10_000)
    fanout: int = pydantic.Field(3, ge=1, le=16)
    freshness_ms: int = pydantic.Field(5000, ge=1000, le=60_000)
    status_wait_ms: int = pydantic.Field(50, ge=10, le=10_000)
    lease_ttl_floor_ms: int = pydantic.Field(10_000, ge=3000, le=600_000)

    @pydantic.model_validator(mode='after')
    def _check_together(self) -> typing.Self:
        located: list[tuple[Loc, str]] = []
        peer = self.listeners.peer
        for place, seed in enumerate(self.seeds):
            if (seed.host, seed.port) == (peer.host, peer.port):
                located.append(
                    (
                        ('seeds', place),
                        'seed is the peer listener of this node',
                    ),
                )
        if self.freshness_ms < _GOSSIP_ROUNDS * self.gossip_ms:
            located.append(
                (
                    ('freshness_ms',),
                    f'must be at least {_GOSSIP_ROUNDS} times gossip_ms',
                ),
            )
        if (
            self.store.call_timeout_ms * _RENEWALS_PER_TTL
            > self.lease_ttl_floor_ms
        ):
            located.append(
                (
                    ('lease_ttl_floor_ms',),
                    f'must be at least {_RENEWALS_PER_TTL} times '
                    'store.call_timeout_ms',
                ),
            )
        _raise_located(located)
        return self


def group_records(settings: Settings) -> tuple[topology.Group, ...]:
    """Return the groups as the records that the decision code uses."""
    return tuple(
        topology.Group(
            name=group.name,
            instances=tuple(
                topology.Instance(
                    name=instance.name,
                    host=instance.host,
                    port=instance.port,
                    zone=instance.zone,
                )
                for instance in group.instances
            ),
            databases=tuple(group.databases),
            connection_limit=group.connection_limit,
            owners=group.owners,
            backend=group.backend,
        )
        for group in settings.groups
    )


def seed_records(settings: Settings) -> tuple[topology.Member, ...]:
    """Return the seeds as members whose start is not known."""
    return tuple(
        topology.Member(seed.name, '', seed.host, seed.port, seed.zone)
        for seed in settings.seeds
    )


def member_record(settings: Settings, boot: str) -> topology.Member:
    """Return this node as other members see it.

    Args:
      settings: Settings of the node.
      boot: Identifier of this start of the process.
    """
    return topology.Member(
        name=settings.node,
        boot=boot,
        host=settings.listeners.peer.host,
        port=settings.listeners.peer.port,
        zone=settings.zone,
    )
