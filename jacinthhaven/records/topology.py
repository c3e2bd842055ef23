"""Records of the places that a proxy knows: groups, instances, members."""

import msgspec


class Instance(msgspec.Struct, frozen=True):
    """One backend server of a database group.

    Attributes:
      name: Unique name.
      host: IP address.
      port: TCP port.
      zone: Availability zone.
    """

    name: str
    host: str
    port: int
    zone: str


class Group(msgspec.Struct, frozen=True):
    """Database group.

    Attributes:
      name: Unique name.
      instances: All instances of the group.
      databases: Names of the databases, each with a copy on every instance.
      connection_limit: Connections that one instance accepts.
      owners: Number of connection slots.
      backend: Name of the backend kind plug-in.
    """

    name: str
    instances: tuple[Instance, ...]
    databases: tuple[str, ...]
    connection_limit: int
    owners: int = 3
    backend: str = 'http_json'


class Member(msgspec.Struct, frozen=True):
    """One proxy process.

    Attributes:
      name: Name of the node, unique in the cluster.
      boot: Identifier of this start of the process.
      host: IP address of the peer listener.
      port: TCP port of the peer listener.
      zone: Availability zone.
      leaving: Whether the process is draining.
    """

    name: str
    boot: str
    host: str
    port: int
    zone: str
    leaving: bool = False


class Slot(msgspec.Struct, frozen=True):
    """Connection slot of a group held by a member.

    Attributes:
      group: Name of the group.
      number: Slot number from 0.
      holder: Name of the member.
      epoch: Create revision of the slot's store key.
    """

    group: str
    number: int
    holder: str
    epoch: int

    @property
    def key(self) -> str:
        """Return the name that backend servers know the slot by."""
        return f'{self.group}/{self.number}'
