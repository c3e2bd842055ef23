"""One run of a scenario: the places, the directory and the timed steps."""

import dataclasses
import functools
import typing

from jacinthhaven.records import presets, topology
from jacinthhaven.standins import database_copy, instance_model, replicated_log
from scenarios import (
    checker,
    evidence,
    events,
    fake_callers,
    fake_instances,
    fake_proxies,
    faults,
    history,
    language,
)

# Time without connections before callers start.
WARM_UP_MS = 1500
# No instance refuses connections by itself, so that the peak is seen.
_NO_LIMIT = 10_000
_INSTANCES = 3
_LEASE_MS = 10_000
_SPREAD_MS = 400


class Directory:
    """Members and slots, given to each running proxy some time later.

    It stands for the store, the leases and the gossip. A dead member keeps
    its slots until its lease has ended.
    """

    def __init__(self, world: 'World') -> None:
        """Give the slots to proxies in different zones."""
        self.world = world
        self.events = world.events
        self.group = world.group
        self.epoch = 0
        self.store_up = True
        self.slots: dict[int, topology.Slot] = {}
        self.policy = presets.Policy(
            revision=1,
            name='ordinary',
            preset=presets.Preset(**world.scenario.preset),
        )

    def assign(self) -> None:
        """Give every free slot to a member without a slot."""
        if self.store_up:
            for number in range(self.group.owners):
                if number not in self.slots:
                    self._give(number)
        self.spread()

    def expire(self, proxy: fake_proxies.Proxy, boot: int) -> None:
        """End the lease of a member that is dead or paused."""
        if proxy.boots == boot and proxy.alive and not proxy.paused:
            return
        if not self.store_up:
            again = functools.partial(self.expire, proxy, boot)
            self.events.after(_LEASE_MS, again)
            return
        self.release(proxy.name)

    def release(self, name: str) -> None:
        """Free the slots of a member and give them to others."""
        self.slots = {
            number: slot
            for number, slot in self.slots.items()
            if slot.holder != name
        }
        self.assign()

    def spread(self) -> None:
        """Let every running proxy learn the directory after a while."""
        slots = list(self.slots.values())
        members = [
            proxy.node.identity.member
            for proxy in self.world.proxies.values()
            if proxy.alive
        ]
        for proxy in self.world.proxies.values():
            learn = functools.partial(
                self._learn,
                proxy,
                proxy.boots,
                (members, slots, self.policy, self.epoch),
            )
            delay_ms = self.events.rng.uniform(0, _SPREAD_MS)
            self.events.after(delay_ms, functools.partial(proxy.run, learn))

    def _learn(
        self,
        proxy: fake_proxies.Proxy,
        boot: int,
        news: tuple[typing.Any, ...],
    ) -> None:
        members, slots, policy, epoch = news
        if proxy.boots != boot or epoch < proxy.directory_epoch:
            return
        proxy.directory_epoch = epoch
        proxy.use_policy(policy)
        proxy.use_topology(members, slots)

    def _give(self, number: int) -> None:
        holders = {slot.holder for slot in self.slots.values()}
        places = self.world.network.zones
        zones = {places[name] for name in holders}
        free = [
            proxy
            for proxy in self.world.proxies.values()
            if proxy.alive and not proxy.paused and proxy.name not in holders
        ]
        if free:
            chosen = min(free, key=lambda proxy: places[proxy.name] in zones)
            self.epoch += 1
            self.slots[number] = topology.Slot(
                self.group.name,
                number,
                chosen.name,
                self.epoch,
            )


@dataclasses.dataclass(slots=True)
class Report:
    """Result of one run.

    Attributes:
      violations: Violations of the checked invariants.
      gap_ms: Longest time without an acknowledged write of a database that
        had one before and after, from the first fault on.
      replica_share: Share of the reads with an age that replicas served.
      requests: Number of requests.
      done: Number of requests that were done.
      lines: Decision lines of all proxies.
    """

    violations: dict[str, list[str]]
    gap_ms: int
    replica_share: float
    requests: int
    done: int
    lines: list[tuple[typing.Any, ...]]


class World:
    """All places of one scenario."""

    def __init__(self, scenario: language.Scenario) -> None:
        """Create the places; nothing runs yet."""
        self.scenario = scenario
        self.deployment = language.DEPLOYMENTS[scenario.deployment]
        self.events = events.Events(scenario.seed)
        self.network = events.Network(
            self.events,
            self.deployment.between_ms,
            self.deployment.caller_ms,
        )
        self.group = self._new_group()
        self.instances = self._new_instances()
        self.peer_network = fake_proxies.PeerNetwork(self.network)
        self.proxies = self._new_proxies()
        self.log = history.History()
        self.leaving_ms: dict[str, int] = {}
        self.directory = Directory(self)
        self.sessions = self._new_sessions()
        self.faults = faults.Faults(self)

    def run(self) -> Report:
        """Run the scenario and check its invariants."""
        scenario = self.scenario
        for proxy in self.proxies.values():
            proxy.start()
        self.directory.assign()
        self.events.run(WARM_UP_MS)
        for session in self.sessions:
            session.start()
        for step in scenario.steps:
            self.events.after(
                step.at_ms,
                functools.partial(self.faults.execute, step),
            )
        end_ms = WARM_UP_MS + scenario.duration_ms
        self.events.run(end_ms)
        self.log.end_ms = end_ms
        self.faults.end_all()
        for session in self.sessions:
            session.stopped = True
        self.events.run(end_ms + scenario.settle_ms)
        return self._report()

    def surviving(self) -> dict[str, list[replicated_log.Entry]]:
        """Return the log of the newest primary of each database."""
        logs = {}
        for name in self.group.databases:
            copies = [
                instance.model.copies[name]
                for instance in self.instances.values()
            ]
            primary = max(copies, key=_rank)
            logs[name] = primary.log.entries[: primary.log.position]
        return logs

    def _report(self) -> Report:
        facts = evidence.Evidence(
            self.log,
            self.surviving(),
            self.instances['i1'].group.executed,
            {
                name: instance.model.table.peak
                for name, instance in self.instances.items()
            },
            self.group.connection_limit,
            self.leaving_ms,
            self.directory.policy.preset.primary_confirm_ms,
            [
                error
                for proxy in self.proxies.values()
                for error in proxy.errors
            ],
        )
        requests = self.log.requests
        return Report(
            checker.check(facts, self.scenario.checks),
            checker.failover_gap_ms(self.log, self.group.databases),
            checker.replica_share(self.log),
            len(requests),
            sum(request.outcome == history.DONE for request in requests),
            sorted(
                (
                    line
                    for proxy in self.proxies.values()
                    for line in proxy.lines
                ),
                key=lambda line: line[0],
            ),
        )

    def _new_group(self) -> topology.Group:
        instances = tuple(
            topology.Instance(f'i{number}', '127.0.0.1', 0, zone)
            for number, zone in enumerate(self.deployment.zones, start=1)
        )
        return topology.Group(
            self.deployment.group,
            instances,
            self.deployment.databases,
            self.deployment.connection_limit,
        )

    def _new_instances(self) -> dict[str, fake_instances.Instance]:
        group = fake_instances.Group(self.network, self.deployment.open_ms)
        databases = self.group.databases
        for instance in self.group.instances:
            self.network.zones[instance.name] = instance.zone
            model = instance_model.InstanceModel(
                instance.name,
                databases,
                _NO_LIMIT,
            )
            fake_instances.Instance(group, model)
        primaries = dict(zip(databases, group.instances, strict=True))
        for started in group.instances.values():
            started.model.start_as(primaries, 0)
        for started in group.instances.values():
            started.update()
        return group.instances

    def _new_proxies(self) -> dict[str, fake_proxies.Proxy]:
        zones = self.deployment.zones
        group = self.instances['i1'].group
        return {
            f'p{number}': fake_proxies.Proxy(
                f'p{number}',
                zones[(number - 1) % len(zones)],
                (self.group,),
                self.peer_network,
                group,
            )
            for number in range(1, self.scenario.proxies + 1)
        }

    def _new_sessions(self) -> list[fake_callers.Session]:
        workload = self.scenario.workload
        balancer = fake_callers.Balancer(self.proxies, self.events)
        return [
            fake_callers.Session(
                f's{number}',
                tuple(workload.databases) or self.group.databases,
                workload,
                balancer,
                self.network,
                self.log,
            )
            for number in range(workload.sessions)
        ]


def _rank(copy: database_copy.DatabaseCopy) -> tuple[int, bool]:
    return copy.term, copy.primary


def run(scenario: language.Scenario) -> Report:
    """Run a scenario once."""
    return World(scenario).run()
