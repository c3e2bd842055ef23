"""Random faults of a cluster of SQL proxies that serves clients.

Primaries are released one after the other while nodes are stopped, killed or
suspended, while the store is slow or its reads are old, and while promotion
orders are lost. The checks are what callers were promised.
"""

import json

from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    cluster_builders,
    platform_builders,
    records,
    search_builders,
)
from scenarios import sql_clients

# Time after the notice of an instance in which new work may reach it.
DRAIN_MS = 7000
# Time from its notice to its exit.
_EXIT_MS = 9500
# A node that was suspended in this time may act late.
_CONTACT_MS = 4000
_NODES = 4
_CLIENTS = 12
_STEP_MS = 10
_SETTLE_MS = 3000
_SLOW_ANSWER_MS = 240
_MAX_READ_AGE_MS = 1500
# Time after the last fault in which all nodes must serve writes again, and the time
# for one write.
RECOVERY_MS = 8000
_WRITE_LIMIT_MS = 1000
# Chance in each step that a node loses power while it holds the promotion lock.
_LOSS_SHARE = 0.05
_MAX_ANSWER_DELAY_MS = 800
_REGISTRY = 'servers/'


class Registry(cluster_builders.OneConfiguration):
    """Documents whose instances are entries of the store."""

    def instances(self, entries, on_unusable) -> list[records.Instance]:
        """Return the instances in registry entries."""
        found = []
        for entry in entries:
            known = json.loads(entry.value)
            found.append(
                builders.instance(
                    entry.key.removeprefix(_REGISTRY),
                    leaving=known['leaving'],
                    claims_primary=known['primary'],
                    reported=(known['started'], known['number']),
                )
            )
        return found


class TrafficSearch(search_builders.FaultSearch):
    """Random releases and faults under traffic.

    Attributes:
      released_ms: When the store accepted that an instance is leaving.
      suspended_ms: When each node was last suspended.
      old_reads: Whether reads that may be old are old.
      earlier_ms: When the state that these return was taken.
      awaits_promotion: Whether nodes lose power in the next promotion.
      broken: Broken promises that are not reported yet.
    """

    def __init__(self, seed: int, *, fenced: bool) -> None:
        """Start a cluster and its clients."""
        super().__init__(seed)
        self.cluster = cluster_builders.Cluster(
            _NODES, fenced=fenced, settle_ms=0, documents=Registry()
        )
        self.reports = 0
        self.released_ms: dict[str, int] = {}
        self.suspended_ms: dict[int, int] = {}
        self.old_reads = False
        self.awaits_promotion = False
        self.earlier_ms = 0
        self.broken: list[str] = []
        self.seen_lines = [0 for _ in range(_NODES)]
        self.ledger = sql_clients.Ledger()
        for name in builders.MEMBERS:
            self._report(name, leaving=False)
        self._run_cluster(_SETTLE_MS)
        self.clients = [
            sql_clients.Client(self.cluster, self.ledger, self.rng)
            for _ in range(_CLIENTS)
        ]
        self.faults = (
            self.release,
            self.release,
            self.slow_store,
            self.old_store,
            self.delay_answers,
            self.lose_orders,
            self.stop,
            self.stop,
            self.restart,
            self.lose_power,
            self.suspend,
            self.cut_primary,
            self.heal,
        )

    @property
    def now_ms(self) -> int:
        """Return the present time."""
        return self.cluster.now_ms

    def run(self) -> list[str]:
        """Play faults and return what was violated.

        Afterwards, all nodes must serve again within a limit.
        """
        found = super().run()
        if found:
            return found
        self.heal()
        until_ms = self.now_ms + RECOVERY_MS
        while self.now_ms < until_ms:
            self.step()
            found += self.violations()
        return found + self._unserved()

    def step(self) -> None:
        """Advance the time, the clients and the instances that leave."""
        self._run_cluster(_STEP_MS)
        self._end_stops()
        self._lose_power_if_due()
        for client in self.clients:
            if client.index not in self.cluster.frozen:
                client.tick(self.now_ms)
        for name, released_ms in tuple(self.released_ms.items()):
            if self.now_ms - released_ms >= _EXIT_MS:
                self._exit(name)

    def violations(self) -> list[str]:
        """Return the broken promises at this moment."""
        found = self.broken
        self.broken = []
        group = self.cluster.group
        ledger = self.ledger
        for request in ledger.acknowledged.intersection(group.split_commits):
            found.append(f'{request} was committed at a replaced primary')
        for request in ledger.refused:
            if group.committed.get(request) or request in group.split_commits:
                found.append(f'{request} was refused and committed')
        for request, count in group.committed.items():
            if count > 1:
                found.append(f'{request} was committed {count} times')
        return found + self._late_work()

    def release(self) -> None:
        """Let the primary announce that it leaves."""
        name = self.cluster.group.primary
        if name not in self.released_ms:
            self.released_ms[name] = self.now_ms
            self._report(name, leaving=True)

    def slow_store(self) -> None:
        """Let the store answer slowly."""
        for platform in self.cluster.platforms:
            platform.troubles.answer_ms = _SLOW_ANSWER_MS

    def old_store(self) -> None:
        """Let reads of the store that may be old be old."""
        self.old_reads = True

    def delay_answers(self) -> None:
        """Let the answers that are under way come late."""
        for platform in self.cluster.platforms:
            platform.delay_answers(self.rng.randint(0, _MAX_ANSWER_DELAY_MS))

    def lose_orders(self) -> None:
        """Lose the promotion orders."""
        for platform in self.cluster.platforms:
            platform.troubles.loses_orders = True

    def stop(self) -> None:
        """Stop a node as planned; it starts again after its exit."""
        index = self.rng.randrange(_NODES)
        if index not in self.cluster.frozen:
            self.cluster.nodes[index].stop(self.now_ms)

    def restart(self) -> None:
        """Kill a node and start it again."""
        self._start_again(self.rng.randrange(_NODES))

    def suspend(self) -> None:
        """Let a node stand still for a while."""
        self.cluster.frozen = {self.rng.randrange(_NODES)}

    def cut_primary(self) -> None:
        """Cut the primary from one node."""
        rig = self.rng.choice(self.cluster.rigs)
        rig.databases.silent.add(self.cluster.group.primary)

    def heal(self) -> None:
        """End all faults but the releases."""
        self.old_reads = False
        self.cluster.frozen.clear()
        for platform in self.cluster.platforms:
            platform.troubles = platform_builders.Troubles()
        for rig in self.cluster.rigs:
            rig.databases.silent.clear()

    def lose_power(self) -> None:
        """Let half of the nodes, or all, lose power in the next promotion."""
        self.awaits_promotion = True

    def _lose_power_if_due(self) -> None:
        """Kill the node that holds the promotion lock, and others."""
        holders = [
            index
            for index, election in enumerate(self.cluster.elections())
            if election.lock.until_ms > self.now_ms
        ]
        if (
            self.awaits_promotion
            and holders
            and self.rng.random() < _LOSS_SHARE
        ):
            self.awaits_promotion = False
            for offset in range(self.rng.choice((_NODES // 2, _NODES))):
                self._start_again((holders[0] + offset) % _NODES)

    def _unserved(self) -> list[str]:
        """Return the nodes on which a write has no success."""
        for client in self.clients:
            client.leave(self.now_ms)
        self._run_cluster(_WRITE_LIMIT_MS)
        numbers = [next(self.ledger.numbers) for _ in range(_NODES)]
        for index, number in enumerate(numbers):
            self.cluster.write(index, number)
        self._run_cluster(_WRITE_LIMIT_MS)
        done = self.cluster.successes()
        return [
            f'n{unserved} has no usable primary'
            for unserved, request in enumerate(numbers)
            if f'w{request}' not in done
        ]

    def _run_cluster(self, for_ms: int) -> None:
        """Advance the nodes, with old reads of the store if there are any."""
        for index in self.cluster.frozen:
            self.suspended_ms[index] = self.now_ms
        if self.now_ms - self.earlier_ms >= _MAX_READ_AGE_MS:
            self.earlier_ms = self.now_ms
            copy = self.cluster.model.space.copy()
            for platform in self.cluster.platforms:
                platform.troubles.earlier = copy if self.old_reads else None
        self.cluster.run(for_ms)

    def _report(self, name: str, *, leaving: bool) -> None:
        """Write the registry entry of an instance."""
        self.reports += 1
        entry = {
            'leaving': leaving,
            'primary': name == self.cluster.group.primary,
            'started': 1,
            'number': self.reports,
        }
        put = store.Put(f'{_REGISTRY}{name}', json.dumps(entry))
        self.cluster.model.call(store.SwapRequest((), (put,)), self.now_ms)

    def _exit(self, name: str) -> None:
        """Let a leaving instance exit, and start it again as a new one."""
        self.released_ms.pop(name)
        group = self.cluster.group
        if group.instances[name].replaced_term:
            group.demote(name)
        for rig in self.cluster.rigs:
            rig.lose(name)
        self._report(name, leaving=False)

    def _end_stops(self) -> None:
        """Start the nodes again that have stopped, and check their answers."""
        for index, node in enumerate(self.cluster.nodes):
            if node.stopped and index not in self.cluster.frozen:
                self.broken += self._unanswered(index)
                self._start_again(index)

    def _unanswered(self, index: int) -> list[str]:
        return [
            f'{client.request} got no answer from n{index}, which stopped'
            for client in self.clients
            if client.index == index and client.waits
        ]

    def _start_again(self, index: int) -> None:
        self.cluster.restart(index)
        self.seen_lines[index] = 0
        for client in self.clients:
            client.on_restart(index)

    def _late_work(self) -> list[str]:
        """Return new work that reached an instance too long after its notice."""
        found = []
        for index, rig in enumerate(self.cluster.rigs):
            lines = rig.lines[self.seen_lines[index] :]
            self.seen_lines[index] = len(rig.lines)
            for name, line in lines:
                late_ms = self.now_ms - self.released_ms.get(name, self.now_ms)
                if late_ms > DRAIN_MS and self._is_new_work(index, line):
                    found.append(f'n{index} sent {line} {late_ms} ms late')
        return found

    def _is_new_work(self, index: int, line: str) -> bool:
        """Return whether a line starts work of a client at a running node."""
        suspended_ms = self.suspended_ms.get(index, -_CONTACT_MS)
        if self.now_ms - suspended_ms < _CONTACT_MS:
            return False
        request = line.split(' ')[1]
        operation = self.ledger.sent.get(request)
        return operation is not None and operation.starts_work
