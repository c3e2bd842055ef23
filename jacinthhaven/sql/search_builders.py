"""Random searches for faults that keep an old configuration or a lost lock."""

import abc
import random
import typing

from jacinthhaven.sql import (
    cluster_builders,
    fleet_builders,
)

# Nodes whose way to the store and to each other works all the time.
CALM_NODES = 3
_NODES = 15
_SEARCH_MS = 24_000
_MIN_PAUSE_MS = 20
_MAX_PAUSE_MS = 2500
# Calls of the client of the store fail after 900 ms without an answer.
_MAX_ANSWER_DELAY_MS = 800
# The operator writes what the store has lost again within this time.
_MAX_REWRITE_MS = 2000
_MAX_RECORDS = 40
_STEP_MS = 10


def late_nodes(fleet: fleet_builders.Fleet) -> list[int]:
    """Return the nodes without the version that must be in force."""
    return [
        index
        for index, version in enumerate(fleet.versions)
        if version < fleet.required
    ]


class FaultSearch(abc.ABC):
    """Random faults, drawn from a seed, until a promise is broken.

    Attributes:
      rng: Source of all draws.
      faults: Faults to draw from.
    """

    def __init__(self, seed: int) -> None:
        """Prepare the draws."""
        self.rng = random.Random(seed)
        self.faults: tuple[typing.Callable[[], None], ...] = ()

    @property
    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return the present time."""

    @abc.abstractmethod
    def step(self) -> None:
        """Advance the time a little."""

    @abc.abstractmethod
    def violations(self) -> list[str]:
        """Return the broken promises at this moment."""

    def run(self) -> list[str]:
        """Play faults and return what was violated."""
        found: list[str] = []
        until_ms = self.now_ms + _SEARCH_MS
        while self.now_ms < until_ms and not found:
            self.rng.choice(self.faults)()
            end_ms = self.now_ms + self.rng.randint(
                _MIN_PAUSE_MS, _MAX_PAUSE_MS
            )
            while self.now_ms < end_ms:
                self.step()
                found += self.violations()
        return found


class Search(FaultSearch):
    """Random faults of the ways to the store and between nodes."""

    def __init__(self, seed: int) -> None:
        """Start a fleet."""
        super().__init__(seed)
        self.fleet = fleet_builders.Fleet(_NODES)
        self.faults = (
            self.fleet.change,
            self.fleet.change,
            self.silence_connections,
            self.silence_way,
            self.refuse_store,
            self.cut_messages,
            self.lose_messages,
            self.freeze,
            self.heal,
        )

    @property
    def now_ms(self) -> int:
        """Return the present time."""
        return self.fleet.now_ms

    def step(self) -> None:
        """Advance the time by one tick."""
        self.fleet.step()

    def violations(self) -> list[str]:
        """Return the broken promises of all nodes at this moment."""
        versions = self.fleet.versions
        return [
            f'node {index} has version {versions[index]}'
            for index in late_nodes(self.fleet)
            if index < CALM_NODES or self.is_certain(index)
        ]

    def is_certain(self, index: int) -> bool:
        """Return whether a running node trusts its configuration."""
        member = self.fleet.nodes[index]
        return index not in self.fleet.frozen and member.sync.is_certain()

    def others(self) -> list[int]:
        """Return some of the nodes that are not calm."""
        nodes = range(CALM_NODES, len(self.fleet.nodes))
        return self.rng.sample(nodes, self.rng.randint(1, len(nodes)))

    def silence_connections(self) -> None:
        """Let open connections to the store fall silent on any nodes."""
        for platform in self.rng.sample(self.fleet.platforms, 9):
            platform.silence_connections()

    def silence_way(self) -> None:
        """Let the way of some nodes to the store fall silent."""
        for index in self.others():
            self.fleet.platforms[index].silent = True
            self.fleet.platforms[index].silence_connections()

    def refuse_store(self) -> None:
        """Let some nodes reach the store through calm ones only."""
        ways = {('127.0.0.1', index + 1) for index in range(CALM_NODES)}
        for index in self.others():
            self.fleet.platforms[index].reaching = ways
            self.fleet.platforms[index].down = True

    def cut_messages(self) -> None:
        """Cut some nodes off from all others."""
        for index in self.others():
            self.fleet.cut_messages(index)

    def lose_messages(self) -> None:
        """Lose the messages that are under way."""
        for messenger in self.fleet.network.values():
            messenger.take()

    def freeze(self) -> None:
        """Let some nodes stand still."""
        self.fleet.frozen.update(self.others()[:3])

    def heal(self) -> None:
        """End all faults."""
        self.fleet.frozen.clear()
        self.fleet.heal_messages()
        for platform in self.fleet.platforms:
            platform.silent = False
            platform.down = False


class RestoreSearch(Search):
    """The same faults, while the store is restored and answers are late.

    Attributes:
      copies: Copies of the store to which it may return.
      rewrite_ms: When the operator writes a lost version again, or None.
      seen: Newest version of each running node.
    """

    def __init__(self, seed: int) -> None:
        """Start a fleet."""
        super().__init__(seed)
        self.copies = [self.fleet.model.space.copy()]
        self.rewrite_ms: int | None = None
        self.seen: dict[int, int] = {}
        self.faults = (
            *self.faults,
            self.copy_store,
            self.restore,
            self.restore,
            self.delay_answers,
            self.restart,
            self.write_records,
        )

    def violations(self) -> list[str]:
        """Return the broken promises of all nodes at this moment."""
        if self.rewrite_ms is not None and self.fleet.now_ms >= self.rewrite_ms:
            self.rewrite_ms = None
            self.fleet.write_again()
        found = super().violations()
        for index, version in enumerate(self.fleet.versions):
            earlier = self.seen.get(index, version)
            if version < earlier:
                found.append(f'node {index} went from {earlier} to {version}')
            self.seen[index] = version
        return found

    def copy_store(self) -> None:
        """Make a copy of the store."""
        self.copies.append(self.fleet.model.space.copy())

    def restore(self) -> None:
        """Bring the store back from a copy."""
        copy = self.rng.choice(self.copies[-3:])
        self.fleet.restore(copy)
        # Later copies are of a history that does not exist any more.
        kept = self.copies.index(copy) + 1
        self.copies = self.copies[:kept]
        delay_ms = self.rng.randint(0, _MAX_REWRITE_MS)
        self.rewrite_ms = self.fleet.now_ms + delay_ms

    def delay_answers(self) -> None:
        """Let the answers that are under way come late."""
        for platform in self.fleet.platforms:
            platform.delay_answers(self.rng.randint(0, _MAX_ANSWER_DELAY_MS))

    def restart(self) -> None:
        """Kill some nodes and start them again."""
        for index in self.others()[:3]:
            self.fleet.restart(index)
            self.seen.pop(index, None)

    def write_records(self) -> None:
        """Write keys of owners, so that revisions rise."""
        for number in range(self.rng.randint(1, _MAX_RECORDS)):
            self.fleet.put(f'ours/lead/{number}', '{}')


class LockSearch(FaultSearch):
    """Random faults of owners that replace a primary, and of their store.

    Attributes:
      awaits_holder: Whether the store is restored once a node holds the lock.
    """

    def __init__(self, seed: int, *, fenced: bool) -> None:
        """Start a cluster."""
        super().__init__(seed)
        self.cluster = cluster_builders.Cluster(3, fenced=fenced)
        self.copies = [self.cluster.model.space.copy()]
        self.awaits_holder = False
        self.faults = (
            self.silence_primary,
            self.silence_primary,
            self.copy_store,
            self.restore,
            self.await_holder,
            self.await_holder,
            self.delay_answers,
            self.isolate,
            self.refuse_store,
            self.restart,
            self.freeze,
            self.heal,
        )

    @property
    def now_ms(self) -> int:
        """Return the present time."""
        return self.cluster.now_ms

    def step(self) -> None:
        """Advance the time, and restore the store if that is due."""
        self.cluster.run(_STEP_MS)
        if self.awaits_holder and self.holders():
            self.awaits_holder = False
            self.restore()

    def violations(self) -> list[str]:
        """Return the broken promises at this moment.

        Where fencing tokens are checked, an older one is refused and does no
        harm.
        """
        fences = [fence for fence, _era in self.cluster.sent]
        found = [
            f'order under a lock of before era {era}: {fence.text}'
            for fence, era in self.cluster.sent
            if fence.era < era
        ]
        if len(fences) > len(set(fences)):
            found.append(f'a fence was used twice: {fences}')
        if not self.cluster.fenced and fences != sorted(fences):
            found.append(f'fences went back: {fences}')
        if len(self.holders()) > 1:
            found.append(f'{self.holders()} hold the lock of one era')
        return found

    def holders(self) -> list[str]:
        """Return the nodes that hold the lock in the present era."""
        era = self.cluster.model.era
        return [
            running.node
            for running in self.cluster.elections()
            if running.lock.until_ms > self.cluster.now_ms
            and running.lock.fence.era == era
        ]

    def silence_primary(self) -> None:
        """Let the primary answer no node."""
        self.cluster.silence(self.cluster.group.primary, 3)

    def copy_store(self) -> None:
        """Make a copy of the store."""
        self.copies.append(self.cluster.model.space.copy())

    def restore(self) -> None:
        """Bring the store back from a copy."""
        copy = self.rng.choice(self.copies[-3:])
        self.cluster.model.restore(copy)
        kept = self.copies.index(copy) + 1
        self.copies = self.copies[:kept]

    def await_holder(self) -> None:
        """Restore the store as soon as a node has acquired the lock."""
        self.awaits_holder = True

    def delay_answers(self) -> None:
        """Let the answers that are under way come late."""
        for platform in self.cluster.platforms:
            platform.delay_answers(self.rng.randint(0, _MAX_ANSWER_DELAY_MS))

    def isolate(self) -> None:
        """Cut a node off from the others."""
        self.cluster.isolate({self.rng.randrange(3)})

    def refuse_store(self) -> None:
        """Let the store refuse a node."""
        self.rng.choice(self.cluster.platforms).down = True

    def restart(self) -> None:
        """Kill a node and start it again."""
        self.cluster.restart(self.rng.randrange(3))

    def freeze(self) -> None:
        """Let a node stand still for a while."""
        self.cluster.frozen = {self.rng.randrange(3)}

    def heal(self) -> None:
        """End all faults."""
        self.cluster.frozen.clear()
        self.cluster.isolate(set())
        for platform in self.cluster.platforms:
            platform.down = False
        for rig in self.cluster.rigs:
            rig.databases.silent.clear()
