"""Which nodes execute the statements of a service in a large fleet.

The load that this answers: many nodes with few connections and little
traffic each. If each of them sent statements by itself, none would know the
queues at the instances, and each would need proofs of its own. A few owners
for each service, spread over the zones and on the largest VMs, know both.
In a small fleet every node is an owner.
"""

import typing

import msgspec

from jacinthhaven.kernel import ranking
from jacinthhaven.sql import records

# Up to this size every node is an owner.
_SMALL_FLEET = 9
# Owners of one service in each zone of a large fleet.
_PER_ZONE = 2
# A node is not listed where so many larger VMs are, in its zone and in all:
# one more in the zone than the owners of one service, and enough to tell that
# the fleet is large.
_LARGER_PER_ZONE = 3
_LARGER = _SMALL_FLEET + 1


class Peer(msgspec.Struct, frozen=True):
    """Another node as announced in the store.

    Attributes:
      address: Where it accepts other nodes.
      zone: Availability zone.
      capacity: Processor cores that it may use.
    """

    address: records.Address
    zone: str
    capacity: float


Peers = typing.Mapping[str, Peer]


def encode(peer: Peer) -> str:
    """Return what a node announces about itself."""
    return msgspec.json.encode(peer).decode()


def decode(text: str) -> Peer:
    """Return what a node has announced.

    Raises:
      msgspec.DecodeError: If the text is something else.
    """
    return msgspec.json.decode(text, type=Peer)


def owners(service: str, peers: Peers) -> tuple[str, ...]:
    """Return the owners of a service, sorted by name."""
    if len(peers) <= _SMALL_FLEET:
        return tuple(sorted(peers))
    zones = {peer.zone for peer in peers.values()}
    chosen = [_zone_owners(service, peers, zone) for zone in sorted(zones)]
    return tuple(sorted(name for names in chosen for name in names))


def is_announced(name: str, peer: Peer, peers: Peers) -> bool:
    """Return whether a node may become an owner and has to be listed.

    Small VMs of a large fleet are not listed while there are enough larger
    ones, since each listed one costs calls to the store and is read by all.
    VMs of one size share the services, however many they are.

    Args:
      name: Node in question.
      peer: What it would announce.
      peers: Nodes that are listed.
    """
    larger = [
        other
        for known, other in peers.items()
        if known != name and other.capacity > peer.capacity
    ]
    if len(larger) < _LARGER:
        return True
    near = sum(other.zone == peer.zone for other in larger)
    return near < _LARGER_PER_ZONE


class Owners(msgspec.Struct, frozen=True):
    """Owners of one service as seen from one zone.

    Attributes:
      near: Those in the zone.
      far: The others.
    """

    near: tuple[str, ...]
    far: tuple[str, ...]

    def order(self, start: int) -> list[str]:
        """Return the order in which a session tries them.

        Args:
          start: Number that spreads the sessions over the owners.
        """
        return [*_rotated(self.near, start), *_rotated(self.far, start)]


def seen_from(zone: str, service: str, peers: Peers) -> Owners:
    """Return the owners of a service, those of a zone apart."""
    known = owners(service, peers)
    return Owners(
        tuple(name for name in known if peers[name].zone == zone),
        tuple(name for name in known if peers[name].zone != zone),
    )


def _zone_owners(service: str, peers: Peers, zone: str) -> list[str]:
    local = [name for name, peer in peers.items() if peer.zone == zone]
    ranked = ranking.ranked(service, local)
    # Sorting is stable, so equals stay in the order of the ranking.
    ranked.sort(key=lambda name: -peers[name].capacity)
    return ranked[:_PER_ZONE]


def _rotated(names: tuple[str, ...], start: int) -> tuple[str, ...]:
    if not names:
        return names
    first = start % len(names)
    return names[first:] + names[:first]
