"""Promotion of many databases at once, and the cost of status requests.

One node owns all groups. Decision code, instance model and network run in
virtual time, which does not include the processor time of the node; that
is reported beside it. The backend adapter does not run.
"""

import functools
import typing

import msgspec

from bench import results, virtual_fleet
from jacinthhaven.adapters import http_messages
from jacinthhaven.decide import messages
from jacinthhaven.records import topology
from jacinthhaven.standins import instance_model
from scenarios import events, fake_instances

_DATABASES = (1, 3, 9, 30, 100)
_STATUS_GROUPS = (1, 2, 10)
_PER_GROUP = 3
_OPEN_MS = 10
_NO_LIMIT = 10_000
_SETTLE_MS = 5000
_WINDOW_MS = 10_000
_LIMIT_MS = 20_000
_STEP_MS = 5
_NS_PER_MS = 1_000_000
_MS_PER_S = 1000
_PERCENT = 100
_OK = 200


class Owner:
    """One node that owns groups with a number of databases.

    Attributes:
      bytes: Bytes of backend requests and replies with their HTTP heads.
      calls: Backend requests.
    """

    def __init__(self, databases: int) -> None:
        """Create the groups, their instances and the node."""
        groups = virtual_fleet.new_groups(-(-databases // _PER_GROUP))
        # The databases of the last group make up the remainder.
        rest = databases - (len(groups) - 1) * _PER_GROUP
        last = msgspec.structs.replace(
            groups[-1],
            databases=groups[-1].databases[:rest],
        )
        self.groups = (*groups[:-1], last)
        self.bytes = 0
        self.calls = 0
        self.fleet = virtual_fleet.Fleet(0, 3, self.groups)
        network = events.Network(self.fleet.events, 1, 1)
        network.zones['proxy-0000'] = 'zone-00'
        self.instances = fake_instances.Group(network, _OPEN_MS)
        for group in self.groups:
            self._add_group(group, network)
        self.host = virtual_fleet.Host(self.fleet, 0)
        self.host.attach(self.instances)
        self.fleet.hosts[self.host.name] = self.host
        self._count_bytes()
        self.host.tick()
        self.fleet.run_for(_SETTLE_MS)
        self.fleet.run_for(_PER_GROUP * len(self.groups) * _STEP_MS)

    def fail_primaries(self) -> None:
        """Kill the instance of each group that is primary of all."""
        for group in self.groups:
            self.instances.instances[group.instances[0].name].kill()

    def promoted(self) -> bool:
        """Return whether the node knows a new primary of each database."""
        return all(
            base.primary and base.primary != owner.group.instances[0].name
            for owner in self.host.node.owners.values()
            for base in owner.state.databases.values()
        )

    def _add_group(
        self,
        group: topology.Group,
        network: events.Network,
    ) -> None:
        created = []
        for place in group.instances:
            network.zones[place.name] = place.zone
            model = instance_model.InstanceModel(
                place.name,
                group.databases,
                _NO_LIMIT,
            )
            created.append(fake_instances.Instance(self.instances, model))
        primary = group.instances[0].name
        primaries = dict.fromkeys(group.databases, primary)
        for instance in created:
            instance.model.start_as(primaries, 0)
        for started in created:
            started.update()

    def _count_bytes(self) -> None:
        host = self.host
        call = host.handlers[messages.BackendCall]
        host.handlers[messages.BackendCall] = functools.partial(
            self._on_call,
            call,
        )
        host.backends.deliver = self._on_report

    def _on_call(self, call: typing.Any, message: typing.Any) -> None:
        body = msgspec.json.encode(message.request)
        self.bytes += len(http_messages.format_request('/status', body, ''))
        self.calls += 1
        call(message)

    def _on_report(self, message: typing.Any) -> None:
        if isinstance(message, messages.BackendReply):
            body = msgspec.json.encode(message.reply)
            self.bytes += len(http_messages.format_response(_OK, body, True))
        self.host.deliver(message)


def measure(_base_port: int) -> results.Result:
    """Measure promotions and status requests."""
    result = results.Result('promotion')
    for groups in _STATUS_GROUPS:
        _measure_status(result, groups)
    for databases in _DATABASES:
        _measure_promotion(result, databases)
    return result


def _measure_status(result: results.Result, groups: int) -> None:
    owner = Owner(groups * _PER_GROUP)
    owner.fleet.reset()
    owner.bytes = 0
    owner.calls = 0
    owner.fleet.run_for(_WINDOW_MS)
    seconds = _WINDOW_MS / _MS_PER_S
    note = f'{groups} owned groups of 3 databases, idle'
    rate = owner.bytes / seconds
    result.add('status requests: both directions', rate, 'B/s', note)
    result.add('status requests: rate', owner.calls / seconds, '1/s', note)
    cpu_ms = owner.host.cpu_ns / _NS_PER_MS
    percent = cpu_ms / _WINDOW_MS * _PERCENT
    result.add('owned groups: decisions', percent, '% of a core', note)
    points = result.series.setdefault('status bytes by owned groups', [])
    points.append((groups, rate))


def _measure_promotion(result: results.Result, databases: int) -> None:
    owner = Owner(databases)
    if any(
        base.primary == ''
        for group_owner in owner.host.node.owners.values()
        for base in group_owner.state.databases.values()
    ):
        raise NotServedError(databases)
    owner.fleet.reset()
    begun_ms = owner.fleet.now_ms
    owner.fail_primaries()
    while not owner.promoted():
        owner.fleet.run_for(_STEP_MS)
        if owner.fleet.now_ms - begun_ms > _LIMIT_MS:
            raise NotServedError(databases)
    elapsed_ms = owner.fleet.now_ms - begun_ms
    note = f'{databases} databases in {len(owner.groups)} groups, one owner'
    result.add('last new primary known', elapsed_ms, 'ms', note)
    cpu_ms = owner.host.cpu_ns / _NS_PER_MS
    result.add('processor time of decisions', cpu_ms, 'ms', note)
    points = result.series.setdefault('promotion by databases', [])
    points.append((databases, elapsed_ms))
    spent = result.series.setdefault('promotion processor time', [])
    spent.append((databases, cpu_ms))


class NotServedError(Exception):
    """A database had no primary in time."""
