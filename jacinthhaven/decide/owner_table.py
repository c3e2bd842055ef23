"""Which members own which groups, as seen by one node."""

import typing

from jacinthhaven.records import topology

# A member whose connection was lost is avoided for this long, unless a
# payload arrives from it earlier.
_AVOID_MS = 1000


class OwnerTable:
    """Slot holders by group, and which members are reachable."""

    def __init__(
        self,
        own: topology.Member,
        groups: typing.Iterable[topology.Group],
    ) -> None:
        """Create a table without members.

        Args:
          own: This node.
          groups: Groups from the settings.
        """
        self.own = own
        self.members: dict[str, topology.Member] = {own.name: own}
        self.slots: dict[str, tuple[topology.Slot, ...]] = {}
        self.avoid_until_ms: dict[str, int] = {}
        self.now_ms = 0
        self.group_of: dict[str, str] = {}
        for group in groups:
            self.slots[group.name] = ()
            for name in group.databases:
                self.group_of[name] = group.name

    def update(
        self,
        members: typing.Iterable[topology.Member],
        slots: typing.Iterable[topology.Slot],
    ) -> None:
        """Replace the members and the slots."""
        self.members = {member.name: member for member in members}
        self.members[self.own.name] = self.own
        by_group: dict[str, list[topology.Slot]] = {
            name: [] for name in self.slots
        }
        for slot in slots:
            held = by_group.get(slot.group)
            if held is not None:
                held.append(slot)
        self.slots = {
            name: tuple(holding) for name, holding in by_group.items()
        }

    def mark_lost(self, member: str) -> None:
        """Avoid a member until it is heard or `_AVOID_MS` have passed."""
        self.avoid_until_ms[member] = self.now_ms + _AVOID_MS

    def mark_heard(self, member: str) -> None:
        """Stop avoiding a member."""
        self.avoid_until_ms.pop(member, None)

    def alive(self, member: str) -> bool:
        """Return whether a member is known and not being avoided."""
        if member == self.own.name:
            return True
        if member not in self.members:
            return False
        return self.avoid_until_ms.get(member, 0) <= self.now_ms

    def holders(self, group: str) -> list[str]:
        """Return the live owners of a group.

        Leaving owners are returned only if there are no others.
        """
        alive = [
            slot.holder
            for slot in self.slots.get(group, ())
            if self.alive(slot.holder)
        ]
        staying = [name for name in alive if not self.members[name].leaving]
        return staying or alive

    def owners(self, database: str) -> list[str] | None:
        """Return the live owners of a database, in any availability zone.

        Returns:
          Member names; None if the database is not known.
        """
        group = self.group_of.get(database)
        if group is None:
            return None
        return self.holders(group)

    def same_zone(self, member: str) -> bool:
        """Return whether a member is in this node's availability zone."""
        known = self.members.get(member)
        return known is not None and known.zone == self.own.zone
