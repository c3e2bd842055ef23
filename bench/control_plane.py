"""Cost of membership, gossip, store reading and configuration changes.

All nodes run in one process in virtual time; see `virtual_fleet` for what
that leaves out. The nodes have no database groups here.
"""

import itertools
import tracemalloc
import types

from bench import results, virtual_fleet
from jacinthhaven.decide import operator_changes
from jacinthhaven.records import operators, presets

# Zones of each number of nodes.
_SIZES = types.MappingProxyType({8: 3, 32: 3, 128: 15, 512: 15})
_LARGEST_TRACED = 128
_SETTLE_MS = 10_000
_WINDOW_MS = 10_000
_SETTLE_LIMIT_MS = 60_000
_STEP_MS = 1000
_CHANGE_LIMIT_MS = 60_000
_POLL_MS = 10
_CHANGES = 5
_NS_PER_MS = 1_000_000
_MS_PER_S = 1000
_PERCENT = 100
_KB = 1024


def measure(_base_port: int) -> results.Result:
    """Measure fleets of several sizes."""
    result = results.Result('control_plane')
    for nodes, zones in _SIZES.items():
        _Measurement(result, nodes, zones).run()
    return result


def measure_memory(_base_port: int) -> results.Result:
    """Measure the memory of the decision code of one node."""
    result = results.Result('control_memory')
    for nodes, zones in _SIZES.items():
        if nodes <= _LARGEST_TRACED:
            tracemalloc.start()
            measured = _Measurement(result, nodes, zones)
            measured.fleet.run_for(_SETTLE_MS)
            used = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            measured.add('memory per node', used / nodes / _KB, 'KB')
    return result


class _Measurement:
    """Measurement of one fleet."""

    def __init__(self, result: results.Result, nodes: int, zones: int) -> None:
        """Create a fleet that has not started."""
        self.result = result
        self.nodes = nodes
        self.fleet = virtual_fleet.Fleet(nodes, zones)
        self.hosts = list(self.fleet.hosts.values())
        self.numbers = itertools.count(1)
        self.revision = 0
        self.steady = float(0)

    def run(self) -> None:
        """Measure the start, the steady state and changes."""
        self._start()
        self.fleet.run_for(_SETTLE_MS)
        self._rest()
        self._change_often()
        self._change_cut()

    def add(self, name: str, figure: float, unit: str) -> None:
        """Add a figure and a point of its series."""
        self.result.add(f'{name}, {self.nodes} nodes', figure, unit)
        points = self.result.series.setdefault(name, [])
        points.append((self.nodes, figure))

    def _start(self) -> None:
        fleet = self.fleet
        while not fleet.settled() and fleet.now_ms < _SETTLE_LIMIT_MS:
            fleet.run_for(_STEP_MS)
        self.add('start: all know all', fleet.now_ms, 'ms')
        peak = max(fleet.store.seconds.values())
        self.add('start: store calls, worst second', peak, '1/s')
        used_ms = self._mean('cpu_ns') / _NS_PER_MS
        self.add('start: processor time per node', used_ms, 'ms')

    def _rest(self) -> None:
        fleet = self.fleet
        fleet.reset()
        fleet.run_for(_WINDOW_MS)
        reading = [
            host for host in self.hosts if host.node.cluster.reader.active
        ]
        self._add_processor('reader', reading)
        self._add_processor(
            'other node',
            [host for host in self.hosts if host not in reading],
        )
        seconds = _WINDOW_MS / _MS_PER_S
        self.steady = self._mean('sent_bytes') / seconds
        self.add('steady: sent per node', self.steady, 'B/s')
        received = self._mean('received_bytes') / seconds
        self.add('steady: received per node', received, 'B/s')
        count = self._mean('sent') / seconds
        self.add('steady: messages sent per node', count, '1/s')
        calls = sum(fleet.store.counts.values()) / seconds
        self.add('steady: store calls of all nodes', calls, '1/s')

    def _add_processor(
        self,
        label: str,
        hosts: list[virtual_fleet.Host],
    ) -> None:
        if hosts:
            used_ms = _mean(hosts, 'cpu_ns') / _NS_PER_MS
            percent = used_ms / _WINDOW_MS * _PERCENT
            name = f'steady: processor time, {label}'
            self.add(name, percent, '% of a core')

    def _change_often(self) -> None:
        documents = {name: presets.Preset() for name in ('ordinary', 'peak')}
        self._change(
            operators.ConfigApply(
                presets=documents,
                expected_revision=0,
                change_id='first',
            ),
        )
        self.fleet.reset()
        begun_ms = self.fleet.now_ms
        spent = [self._switch() for _number in range(_CHANGES)]
        seconds = (self.fleet.now_ms - begun_ms) / _MS_PER_S
        extra = self._mean('sent_bytes') - self.steady * seconds
        self.add('change: sent per node', extra / _CHANGES, 'B/change')
        name = 'change: in force on the last node, worst of 5'
        self.add(name, max(times[1] for times in spent), 'ms')
        name = 'change: operator told `in force`, worst of 5'
        self.add(name, max(times[0] for times in spent), 'ms')

    def _change_cut(self) -> None:
        self.fleet.store.isolate(self.hosts[::3])
        self.fleet.run_for(_SETTLE_MS)
        reached_ms = self._switch()[1]
        name = 'change: last node, a third cut from the store'
        self.add(name, reached_ms, 'ms')

    def _switch(self) -> tuple[int, int]:
        return self._change(
            operators.PresetSwitch(
                name='peak',
                expected_revision=self.revision,
                change_id=f'change-{self.revision}',
            ),
        )

    def _change(
        self,
        body: operators.PresetSwitch | operators.ConfigApply,
    ) -> tuple[int, int]:
        """Make a change and wait until it is confirmed.

        Returns:
          The time until the operator had the answer and the time until the
          last node had the change in force, both in milliseconds.
        """
        fleet = self.fleet
        begun_ms = fleet.now_ms
        # No member of `hosts[::3]`, which are cut off later.
        host = self.hosts[1]
        host.answers.clear()
        request = operator_changes.ChangeRequest(next(self.numbers), body)
        host.deliver(request)
        answer = _answer(host)
        while answer is None and fleet.now_ms - begun_ms < _CHANGE_LIMIT_MS:
            fleet.run_for(_POLL_MS)
            answer = _answer(host)
        # A configuration without a chosen preset is never in force.
        chosen = isinstance(body, operators.PresetSwitch)
        if answer is None or answer.result.in_force != chosen:
            raise ChangeError(answer)
        self.revision = answer.result.revision
        reached_ms = max(place.in_force_ms for place in self.hosts)
        return fleet.now_ms - begun_ms, reached_ms - begun_ms

    def _mean(self, field: str) -> float:
        return _mean(self.hosts, field)


def _answer(
    host: virtual_fleet.Host,
) -> operator_changes.ChangeAnswer | None:
    for message in host.answers:
        if isinstance(message, operator_changes.ChangeAnswer):
            return message
    return None


def _mean(hosts: list[virtual_fleet.Host], field: str) -> float:
    return sum(getattr(host, field) for host in hosts) / len(hosts)


class ChangeError(Exception):
    """A configuration change was refused or took too long."""
