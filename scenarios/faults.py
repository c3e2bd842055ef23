"""Verbs of the fault steps."""

import itertools
import typing

from jacinthhaven.records import operators
from scenarios import (
    fake_instances,
    fake_proxies,
    history,
    language,
    places,
)

if typing.TYPE_CHECKING:
    from scenarios import simulation

Place = fake_instances.Instance | fake_proxies.Proxy
_PERCENT = 100


class Faults:
    """Executes the steps of a scenario on its places."""

    def __init__(self, world: 'simulation.World') -> None:
        """Act on a world."""
        self.world = world
        self.events = world.events
        self.network = world.network
        self.expected: dict[str, int] = {}
        self.finder = places.Finder(world)

    def execute(self, step: language.Step) -> None:
        """Execute one step now."""
        names = self.finder.resolve(step.places)
        fault = history.Fault(self.events.now_ms, step.do, ' '.join(names))
        self.world.log.faults.append(fault)
        getattr(self, step.do)(step, names)

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
                proxy.start()
            proxy.resume()
        store = self.world.store
        store.delay_ms = 0
        store.lost_answers = 0
        store.start()

    def kill(self, _step: language.Step, names: list[str]) -> None:
        """End processes at once."""
        for name in names:
            self._place(name).kill()

    def restart(self, _step: language.Step, names: list[str]) -> None:
        """Start processes again."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.restart()
            elif not place.alive:
                place.start()

    def freeze(self, _step: language.Step, names: list[str]) -> None:
        """Stop instances or proxies without closing their connections."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.gate.move(closed=True)
            else:
                place.pause()

    def thaw(self, _step: language.Step, names: list[str]) -> None:
        """Let frozen places continue with what arrived meanwhile."""
        for name in names:
            place = self._place(name)
            if isinstance(place, fake_instances.Instance):
                place.gate.move(closed=False)
            else:
                place.resume()

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
        self.world.store.stop()

    def store_up(self, _step: language.Step, _names: list[str]) -> None:
        """Start the store."""
        self.world.store.start()

    def store_slow(self, step: language.Step, _names: list[str]) -> None:
        """Delay every call of the store."""
        self.world.store.delay_ms = step.by_ms

    def store_answer_lost(
        self,
        step: language.Step,
        _names: list[str],
    ) -> None:
        """Lose the answers to the next writes, which take effect."""
        self.world.store.lost_answers += step.count

    def stop(self, _step: language.Step, names: list[str]) -> None:
        """Start the planned stop of proxies."""
        for name in names:
            self.world.proxies[name].stop()

    def leave(self, step: language.Step, names: list[str]) -> None:
        """Tell instances to shut down; the VM list shows it later."""
        for name in names:
            self._instance(name).model.announce_leaving(leaving=True)
            self._instance(name).notify_soon()
            self.world.leaving_ms[name] = self.events.now_ms
        listed = self.world.platform.listed
        self.events.after(step.by_ms, lambda: listed.update(names))

    def list_leaving(self, _step: language.Step, names: list[str]) -> None:
        """Show instances as leaving in the VM list only."""
        self.world.platform.listed.update(names)
        for name in names:
            self.world.leaving_ms[name] = self.events.now_ms

    def switch_preset(self, step: language.Step, names: list[str]) -> None:
        """Switch the preset through a proxy, as an operator does."""
        for name in names:
            proxy = self.world.proxies[name]
            switch = operators.PresetSwitch(
                name=step.preset,
                expected_revision=proxy.node.policy.revision,
                change_id=self._change_id(proxy),
            )
            proxy.change(switch)

    def apply_config(self, _step: language.Step, names: list[str]) -> None:
        """Write the configuration again through a proxy."""
        for name in names:
            proxy = self.world.proxies[name]
            change = operators.ConfigApply(
                presets=self.world.presets().presets,
                expected_revision=proxy.node.policy.revision,
                change_id=self._change_id(proxy),
            )
            proxy.change(change)

    def _change_id(self, proxy: fake_proxies.Proxy) -> str:
        number = len(self.expected) + 1
        change_id = f'{proxy.name}-{number}'
        self.expected[change_id] = proxy.node.policy.revision
        return change_id

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
        others = self.finder.resolve(step.to)
        return [
            frozenset(pair)
            for pair in itertools.product(names, others)
            if pair[0] != pair[1]
        ]
