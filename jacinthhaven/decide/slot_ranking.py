"""Store keys, stored values and acquisition order of connection slots.

Every member computes the same order from the same directory, so that
normally only one member tries to create an absent slot.
"""

import collections
import dataclasses
import typing

import msgspec

from jacinthhaven.kernel import ranking
from jacinthhaven.records import store, topology

PREFIX = 'slots/'

# Average interval between creations while many slots are absent, after a
# start of the whole cluster or a zone failure: about 200 writes/s of the
# several hundred that the store can handle.
CREATE_INTERVAL_MS = 5


class SlotValue(msgspec.Struct, frozen=True):
    """Document stored under a slot's key.

    Attributes:
      holder: Name of the member that holds the slot.
      boot: Identifies the start of the process that created the key.
    """

    holder: str
    boot: str


class SlotId(typing.NamedTuple):
    """Identifies one connection slot, whether held or not."""

    group: str
    number: int

    @property
    def key(self) -> str:
        """Return the slot's store key."""
        return f'{PREFIX}{self.group}/{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCreation:
    """Absent slot that this member may create, and when.

    Attributes:
      slot_id: The slot.
      delay_ms: Delay after the slot was first seen absent.
      rank: Position of this member in the acquisition order.
    """

    slot_id: SlotId
    delay_ms: int
    rank: int


def document(member: topology.Member) -> str:
    """Return the encoded document that a member stores for its slots."""
    record = SlotValue(member.name, member.boot)
    return msgspec.json.encode(record).decode()


def slot_id_of(slot: topology.Slot) -> SlotId:
    """Return the identifier of a held slot."""
    return SlotId(slot.group, slot.number)


def parse_holder(value: str) -> str:
    """Return the holder named in a slot's document; empty if malformed."""
    try:
        return msgspec.json.decode(value, type=SlotValue).holder
    except msgspec.DecodeError:
        return ''


def parse_slot(entry: store.KeyValue) -> topology.Slot | None:
    """Parse the slot from its store entry.

    Returns:
      The slot, or None if the key or its value is malformed.
    """
    group, _, number = entry.key.removeprefix(PREFIX).rpartition('/')
    holder = parse_holder(entry.value)
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

    Availability zones with fewer holders come first, so that owners remain
    if one zone fails; rendezvous hashing orders members with equal counts.

    Args:
      group: Name of the group.
      holders: Members that hold a slot of the group.
      members: All live members.
    """
    zones = {found.name: found.zone for found in members if not found.leaving}
    holder_counts = collections.Counter(
        zones[name] for name in holders if name in zones
    )
    eligible = [name for name in zones if name not in holders]
    holders_ahead = {}
    for name in ranking.ranked(PREFIX + group, eligible):
        zone = zones[name]
        holders_ahead[name] = holder_counts[zone]
        holder_counts[zone] += 1
    # The sort is stable and keeps the rendezvous order of equal counts.
    return sorted(holders_ahead, key=holders_ahead.__getitem__)


def plan_creation(
    absent: typing.Sequence[SlotId],
    order: typing.Sequence[str],
    member: str,
    stagger_ms: int,
) -> PlannedCreation | None:
    """Plan which absent slot of a group this member may create, and when.

    The best candidates try at the same time, one for each absent slot; the
    next ones follow after `stagger_ms`.

    Args:
      absent: Absent slots of one group, at least one.
      order: Result of `candidates`.
      member: Name of this member.
      stagger_ms: Delay of each further set of candidates.

    Returns:
      The planned creation, or None if the member is not a candidate.
    """
    if member not in order:
        return None
    rank = order.index(member)
    round_number, index = divmod(rank, len(absent))
    return PlannedCreation(absent[index], round_number * stagger_ms, rank)


def creation_offset_ms(slot_id: SlotId, absent_total: int) -> int:
    """Return a slot's delay in the period that spreads all creations.

    The period is `CREATE_INTERVAL_MS` for each absent slot; the delay is
    derived from a hash of the slot's key.
    """
    return ranking.weight(slot_id.key, 'spread') % (
        absent_total * CREATE_INTERVAL_MS
    )
