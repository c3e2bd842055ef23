"""Assignment of services to owners, the nodes that execute their statements.

A large fleet has many nodes with few connections and little traffic each. If
every node sent statements itself, none would know the queues at the
instances, and each would need its own proofs of the primary's position.
Therefore each service has a few owners, spread over the availability zones
and on the largest VMs. In a small fleet every node is an owner.
"""

import typing

import msgspec

from jacinthhaven.kernel import ranking
from jacinthhaven.sql import records

# Up to this number of nodes, every node owns all services.
_SMALL_FLEET = 9
# Owners of one service in each availability zone of a large fleet.
_OWNERS_PER_ZONE = 2
# A node is not listed if so many nodes on larger VMs are, in its availability
# zone and in total: one more in the zone than the owners of one service, and
# enough in total to show that the fleet is large.
_MIN_LARGER_PER_ZONE = 3
_MIN_LARGER = _SMALL_FLEET + 1


class Peer(msgspec.Struct, frozen=True):
    """Entry of a node in the member list of the store.

    Attributes:
      address: Address on which it accepts other nodes.
      zone: Availability zone.
      capacity: Number of processor cores that it may use.
    """

    address: records.Address
    zone: str
    capacity: typing.Annotated[float, msgspec.Meta(gt=0)]


Peers = typing.Mapping[str, Peer]

# What decoding text of another writer may raise; deep nesting is the cause of the
# last one.
MALFORMED = (msgspec.DecodeError, ValueError, RecursionError)


def encode(peer: Peer) -> str:
    """Return a member entry as JSON."""
    return msgspec.json.encode(peer).decode()


def decode(text: str) -> Peer:
    """Return the member entry in a JSON text.

    Raises:
      MALFORMED: If the text is not a member entry.
    """
    peer = msgspec.json.decode(text, type=Peer)
    records.check_address(peer.address)
    return peer


def owners(service: str, peers: Peers) -> tuple[str, ...]:
    """Return the owners of a service, sorted by name."""
    if len(peers) <= _SMALL_FLEET:
        return tuple(sorted(peers))
    zones = {peer.zone for peer in peers.values()}
    chosen = [_zone_owners(service, peers, zone) for zone in sorted(zones)]
    return tuple(sorted(name for names in chosen for name in names))


def is_announced(name: str, peer: Peer, peers: Peers) -> bool:
    """Return whether a node must be listed because it may become an owner.

    In a large fleet, nodes on small VMs are not listed while there are enough
    larger VMs, since each listed node costs store calls and is read by all
    nodes. If all VMs have the same size, all nodes are listed and share the
    services.

    Args:
      name: Name of the node.
      peer: Member entry that it would write.
      peers: Listed nodes by name.
    """
    larger = [
        other
        for other_name, other in peers.items()
        if other_name != name and other.capacity > peer.capacity
    ]
    if len(larger) < _MIN_LARGER:
        return True
    same_zone = sum(other.zone == peer.zone for other in larger)
    return same_zone < _MIN_LARGER_PER_ZONE


class Owners(msgspec.Struct, frozen=True):
    """Owners of one service, split by availability zone.

    Attributes:
      near: Names of the owners in the given zone.
      far: Names of the owners in other zones.
    """

    near: tuple[str, ...]
    far: tuple[str, ...]

    def order(self, offset: int) -> list[str]:
        """Return the owners in the order in which a session tries them.

        Owners in the same zone come first.

        Args:
          offset: Rotation offset that spreads sessions over the owners.
        """
        return [*_rotated(self.near, offset), *_rotated(self.far, offset)]


def split_by_zone(zone: str, service: str, peers: Peers) -> Owners:
    """Return the owners of a service, split into a zone and the others."""
    names = owners(service, peers)
    return Owners(
        tuple(name for name in names if peers[name].zone == zone),
        tuple(name for name in names if peers[name].zone != zone),
    )


def _zone_owners(service: str, peers: Peers, zone: str) -> list[str]:
    local = [name for name, peer in peers.items() if peer.zone == zone]
    ranked = ranking.ranked(service, local)
    # The sort is stable: nodes of equal capacity stay in ranking order.
    ranked.sort(key=lambda name: -peers[name].capacity)
    return ranked[:_OWNERS_PER_ZONE]


def _rotated(names: tuple[str, ...], offset: int) -> tuple[str, ...]:
    if not names:
        return names
    first = offset % len(names)
    return names[first:] + names[:first]
