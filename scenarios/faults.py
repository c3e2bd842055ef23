"""Verbs of the fault steps."""

import itertools
import typing

from scenarios import fake_instances, fake_proxies, history, language

if typing.TYPE_CHECKING:
    from scenarios import simulation

Place = fake_instances.Instance | fake_proxies.Proxy
_LEASE_MS = 10_000
_PERCENT = 100


class Faults:
    """Executes the steps of a scenario on its places."""

    def __init__(self, world: 'simulation.World') -> None:
        """Act on a world."""
        self.world = world
        self.events = world.events
        self.network = world.network
        self.finders = {
            'primary': lambda name: [self._primary(name)],
            'replicas': self._replicas,
            'slot': lambda number: [self._holder(number)],
            'zone': self._zone,
            'proxies': lambda _name: list(world.proxies),
            'instances': lambda _name: list(world.instances),
        }

    def execute(self, step: language.Step) -> None:
        """Execute one step now."""
        names = self.resolve(step.places)
        fault = history.Fault(self.events.now_ms, step.do, ' '.join(names))
        self.world.log.faults.append(fault)
        getattr(self, step.do)(step, names)

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

    def end_all(self) -> None:
        """End all faults, so that the outcome of everything can be known."""
        for ends in tuple(self.network.cuts) + tuple(self.network.slow):
            self.network.heal(ends)
        self.world.peer_network.disorder = 0
        for instance in self.world.instances.values():
            instance.losses.clear()
            instance.answer_delay_ms = 0
            instance.model.lag_ms = 0
            instance.restart()
        for proxy in self.world.proxies.values():
            if not proxy.alive:
                self._restart_proxy(proxy)
            proxy.resume()
        self.world.directory.store_up = True
        self.world.directory.assign()

    def kill(self, _step: language.Step, names: list[str]) -> None:
        """End processes at once."""
        for name in names:
            self._place(name).kill()
            self._expire_later(name)

    def restart(self, _step: language.Step, names: list[str]) -> None:
        """Start processes again."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.restart()
            elif not place.alive:
                self._restart_proxy(place)

    def freeze(self, _step: language.Step, names: list[str]) -> None:
        """Stop instances or proxies without closing their connections."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.gate.move(closed=True)
            else:
                place.pause()
                self._expire_later(name)

    def thaw(self, _step: language.Step, names: list[str]) -> None:
        """Let frozen places continue with what arrived meanwhile."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.gate.move(closed=False)
            else:
                place.resume()
        self.world.directory.assign()

    def cut(self, step: language.Step, names: list[str]) -> None:
        """Hold everything between two sets of places."""
        for ends in self._pairs(step, names):
            self.network.cut(ends)

    def heal(self, step: language.Step, names: list[str]) -> None:
        """End cuts and slow connections, all of them by default."""
        cut = tuple(self.network.cuts) + tuple(self.network.slow)
        pairs = self._pairs(step, names) if names else cut
        for ends in pairs:
            self.network.heal(ends)

    def slow(self, step: language.Step, names: list[str]) -> None:
        """Add latency between two sets of places."""
        for ends in self._pairs(step, names):
            self.network.slow[ends] = step.by_ms

    def lag(self, step: language.Step, names: list[str]) -> None:
        """Delay the visibility of replicated entries."""
        for name in names:
            self._instance(name).model.lag_ms = step.by_ms

    def lose(self, step: language.Step, names: list[str]) -> None:
        """Lose connections before, during or after the next requests."""
        for name in names:
            losses = [step.when for _number in range(step.count)]
            self._instance(name).losses.extend(losses)

    def answers_late(self, step: language.Step, names: list[str]) -> None:
        """Delay answers of instances at random; connections reorder."""
        for name in names:
            self._instance(name).answer_delay_ms = step.by_ms

    def disorder(self, step: language.Step, _names: list[str]) -> None:
        """Deliver answers between proxies a second time and late."""
        self.world.peer_network.disorder = step.percent / _PERCENT

    def move_sessions(self, step: language.Step, _names: list[str]) -> None:
        """Move callers to other proxies."""
        for session in self.world.sessions:
            if self.events.rng.random() * _PERCENT < step.percent:
                session.move()

    def store_down(self, _step: language.Step, _names: list[str]) -> None:
        """Stop the store."""
        self.world.directory.store_up = False

    def store_up(self, _step: language.Step, _names: list[str]) -> None:
        """Start the store."""
        self.world.directory.store_up = True
        self.world.directory.assign()

    def _restart_proxy(self, proxy: fake_proxies.Proxy) -> None:
        proxy.start()
        # The new process has another boot and none of the old leases.
        self.world.directory.release(proxy.name)

    def _expire_later(self, name: str) -> None:
        proxy = self.world.proxies.get(name)
        if proxy is not None:
            boot = proxy.boots
            directory = self.world.directory
            self.events.after(
                _LEASE_MS,
                lambda: directory.expire(proxy, boot),
            )

    def _instance(self, name: str) -> fake_instances.Instance:
        return self.world.instances[name]

    def _place(self, name: str) -> Place:
        world = self.world
        return world.instances.get(name) or world.proxies[name]

    def _pairs(
        self,
        step: language.Step,
        names: list[str],
    ) -> list[frozenset[str]]:
        others = self.resolve(step.to)
        return [
            frozenset(pair)
            for pair in itertools.product(names, others)
            if pair[0] != pair[1]
        ]

    def _find(self, place: str) -> list[str]:
        kind, _colon, name = place.partition(':')
        finder = self.finders.get(kind)
        return [place] if finder is None else finder(name)

    def _replicas(self, database: str) -> list[str]:
        primary = self._primary(database)
        return [name for name in self.world.instances if name != primary]

    def _zone(self, zone: str) -> list[str]:
        places = self.network.zones.items()
        return [name for name, place in places if place == zone]

    def _holder(self, number: str) -> str:
        slots = self.world.directory.slots
        return slots[int(number)].holder

    def _primary(self, database: str) -> str:
        def rank(name: str) -> tuple[bool, int]:  # noqa: WPS430
            model = self._instance(name).model
            copy = model.copies[database]
            return copy.primary, copy.term

        return max(self.world.instances, key=rank)
