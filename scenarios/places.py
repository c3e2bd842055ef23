"""Names of places in fault steps, resolved when a step is executed."""

import typing

if typing.TYPE_CHECKING:
    from scenarios import simulation


class Finder:
    """Finds the places that a name stands for at the moment."""

    def __init__(self, world: 'simulation.World') -> None:
        """Find places of a world."""
        self.world = world
        self.finders = {
            'primary': lambda name: [self._primary(name)],
            'replicas': self._replicas,
            'slot': self._holders,
            'zone': self._zone,
            'proxies': lambda _name: list(world.proxies),
            'instances': lambda _name: list(world.instances),
        }

    def resolve(self, places: list[str]) -> list[str]:
        """Return the names of places as they are now."""
        names: list[str] = []
        for place in places:
            if place.startswith('-'):
                removed = self._find(place[1:])
                names = [name for name in names if name not in removed]
            else:
                names.extend(self._find(place))
        return names

    def _find(self, place: str) -> list[str]:
        kind, _colon, name = place.partition(':')
        finder = self.finders.get(kind)
        return [place] if finder is None else finder(name)

    def _replicas(self, database: str) -> list[str]:
        primary = self._primary(database)
        return [name for name in self.world.instances if name != primary]

    def _zone(self, zone: str) -> list[str]:
        places = self.world.network.zones.items()
        return [name for name, place in places if place == zone]

    def _holders(self, number: str) -> list[str]:
        """Return who holds a slot; nobody may hold it at the moment."""
        group = self.world.group.name
        for proxy in self.world.proxies.values():
            slot = proxy.node.owners[group].slot
            if proxy.alive and slot and slot.number == int(number):
                return [proxy.name]
        return []

    def _primary(self, database: str) -> str:
        def rank(name: str) -> tuple[bool, int]:  # noqa: WPS430
            model = self.world.instances[name].model
            copy = model.copies[database]
            return copy.primary, copy.term

        return max(self.world.instances, key=rank)
