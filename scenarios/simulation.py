"""One run of a scenario: the places, the directory and the timed steps."""

import dataclasses
import functools
import itertools
import operator
import typing

import msgspec

from jacinthhaven.records import presets, topology
from jacinthhaven.standins import database_copy, instance_model, replicated_log
from scenarios import (
    checker,
    evidence,
    events,
    fake_callers,
    fake_instances,
    fake_proxies,
    fake_store,
    faults,
    history,
    language,
)

# Time in which the members register and take the connection slots.
WARM_UP_MS = 3000
# No instance refuses connections by itself, so that the peak is seen.
_NO_LIMIT = 10_000
_PRESET = 'ordinary'


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
        self.store = fake_store.StoreServer(self.network)
        self.preset = presets.Preset(**scenario.preset)
        self.platform = fake_proxies.Platform(
            self.group,
            self.instances['i1'].group,
            self.peer_network,
            self.store,
        )
        self.proxies = self._new_proxies()
        self.log = history.History()
        self.leaving_ms: dict[str, int] = {}
        self.sessions = self._new_sessions()
        self.faults = faults.Faults(self)

    def run(self) -> Report:
        """Run the scenario and check its invariants."""
        scenario = self.scenario
        self.store.begin(self.presets(), _PRESET)
        for proxy in self.proxies.values():
            proxy.start()
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

    def presets(self) -> presets.Configuration:
        """Return the configuration at the start of the run."""
        replace = msgspec.structs.replace
        return presets.Configuration(
            change_id='first',
            presets={
                _PRESET: self.preset,
                'peak': replace(self.preset, replica_wait_ms=5),
                'maintenance': replace(
                    self.preset,
                    excluded_instances=['i3'],
                ),
            },
        )

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
        lines = sorted(
            (line for proxy in self.proxies.values() for line in proxy.lines),
            key=operator.itemgetter(0),
        )
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
            self.preset.primary_confirm_ms,
            [
                evidence.Route(
                    at_ms,
                    name,
                    line.fields['preset_revision'],
                    line.fields['preset'],
                )
                for at_ms, name, line in lines
                if line.event == 'route'
            ],
            self.store.written,
            self.platform.answers,
            self.faults.expected,
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
            lines,
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
        zones = itertools.cycle(self.deployment.zones)
        places = {
            f'p{number}': next(zones)
            for number in range(1, self.scenario.proxies + 1)
        }
        self.platform.seeds = tuple(
            topology.Member(name, '', '127.0.0.1', 0, zone)
            for name, zone in places.items()
        )
        return {
            name: fake_proxies.Proxy(name, zone, self.platform)
            for name, zone in places.items()
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
