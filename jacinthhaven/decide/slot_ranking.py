"""Names, values and order of acquisition of connection slots.

Every member computes the same order from the same directory, so that an
absent slot is normally tried by one member only.
"""

import collections
import dataclasses
import typing

import msgspec

from jacinthhaven.kernel import ranking
from jacinthhaven.records import store, topology

PREFIX = 'slots/'

# Spreads the creation of many absent slots, after a start of the whole
# cluster or a zone failure, to about 200 writes/s of the store's several
# hundred.
CREATE_GAP_MS = 5


class SlotValue(msgspec.Struct, frozen=True):
    """Document under a slot's store key.

    Attributes:
      holder: Name of the member.
      boot: Start of the process that created the key.
    """

    holder: str
    boot: str


class Place(typing.NamedTuple):
    """One connection slot, held or not."""

    group: str
    number: int

    @property
    def key(self) -> str:
        """Return the slot's store key."""
        return f'{PREFIX}{self.group}/{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """When this member may create an absent slot.

    Attributes:
      place: The slot.
      delay_ms: Wait since the slot was first seen absent.
      rank: Position of this member in the order of acquisition.
    """

    place: Place
    delay_ms: int
    rank: int


def document(member: topology.Member) -> str:
    """Return the document that a member stores under its slots' keys."""
    record = SlotValue(member.name, member.boot)
    return msgspec.json.encode(record).decode()


def place_of(slot: topology.Slot) -> Place:
    """Return the place of a held slot."""
    return Place(slot.group, slot.number)


def holder_of(value: str) -> str:
    """Return the holder that a slot's document names; empty if malformed."""
    try:
        return msgspec.json.decode(value, type=SlotValue).holder
    except msgspec.DecodeError:
        return ''


def slot_of(entry: store.KeyValue) -> topology.Slot | None:
    """Return the slot that a store key holds.

    Returns:
      The slot, or None if the key or its value is malformed.
    """
    group, _, number = entry.key.removeprefix(PREFIX).rpartition('/')
    holder = holder_of(entry.value)
    if not group or not holder or not number.isdecimal():
        return None
    return topology.Slot(
        group,
        int(number),
        holder,
        entry.create_revision,
    )


def candidates(
    group: str,
    holders: typing.Collection[str],
    members: typing.Iterable[topology.Member],
) -> list[str]:
    """Return the members that may acquire a slot of a group, best first.

    Availability zones with fewer holders come first, so that the loss of
    one zone leaves owners; the rendezvous order decides within that.

    Args:
      group: Name of the group.
      holders: Members that hold a slot of the group.
      members: All live members.
    """
    zones = {found.name: found.zone for found in members if not found.leaving}
    taken = collections.Counter(
        zones[name] for name in holders if name in zones
    )
    free = [name for name in zones if name not in holders]
    rounds = {}
    for name in ranking.ranked(PREFIX + group, free):
        zone = zones[name]
        rounds[name] = taken[zone]
        taken[zone] += 1
    # The sort is stable and keeps the rendezvous order within a round.
    return sorted(rounds, key=rounds.__getitem__)


def turn(
    absent: typing.Sequence[Place],
    order: typing.Sequence[str],
    member: str,
    stagger_ms: int,
) -> Turn | None:
    """Return this member's turn among the absent slots of a group.

    As many members as slots are absent try at once, one for each slot.

    Args:
      absent: Absent slots of one group, at least one.
      order: Result of `candidates`.
      member: Name of this member.
      stagger_ms: Wait of each further group of candidates.

    Returns:
      The turn, or None if the member is not a candidate.
    """
    if member not in order:
        return None
    rank = order.index(member)
    waits, index = divmod(rank, len(absent))
    return Turn(absent[index], waits * stagger_ms, rank)


def spread_ms(place: Place, absent_total: int) -> int:
    """Return the slot's share of the time over which all are created."""
    return ranking.weight(place.key, 'spread') % (absent_total * CREATE_GAP_MS)
