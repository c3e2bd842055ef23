"""Control-plane cost of one node at the target size.

One node in virtual time learns a directory of up to 2,000 members and
1,000 groups with 3,000 slots from the store model. It is a store reader
and holds no slot, so that the figures are those of the directory alone.
"""

import functools
import gc
import itertools
import tracemalloc
import typing

import msgspec

from bench import results, virtual_fleet
from jacinthhaven.decide import messages, slot_ranking
from jacinthhaven.kernel import failures
from jacinthhaven.records import store, topology

# Members and groups.
_MEMBERS = (0, 500, 2000)
_GROUPS = (0, 250, 1000)
_SETTLE_MS = 10_000
_WINDOW_MS = 5000
_JOINS = 20
_JOIN_MS = 1000
# Share of one of 15 zones.
_ZONE_MEMBERS = 133
_OWNERS = 3
_NS_PER_MS = 1_000_000
_NS_PER_US = 1000
_SEARCHES = 2000
_ZONES = 15
_NODE = 'proxy-0000'
_BOOT = 'f0f0f0f0f0f0f0f0'
_KB = 1024
_PERCENT = 100


def measure(_base_port: int) -> results.Result:
    """Measure one node with directories of several sizes."""
    result = results.Result('target_node')
    for members in _MEMBERS:
        _measure_size(result, members, 0, 'members')
    for groups in _GROUPS:
        _measure_size(result, _MEMBERS[-1], groups, 'groups')
    return result


def _measure_size(
    result: results.Result,
    members: int,
    groups: int,
    series: str,
) -> None:
    placed = virtual_fleet.new_groups(groups)
    fleet = _new_fleet(placed, members)
    kept_kb = _trace(fleet, placed)
    size = len(placed) if series == 'groups' else members
    points = result.series.setdefault(f'memory by {series}', [])
    points.append((size, kept_kb))
    if series == 'groups' and not groups:
        # The last size of the other series.
        points = result.series.setdefault(f'idle by {series}', [])
        points.append(result.series['idle by members'][-1])
        points[0] = (0, points[0][1])
        return
    add = functools.partial(
        result.add,
        note=f'{members} members, {groups} groups',
    )
    add('memory of decisions', kept_kb, 'KB')
    idle_ms = _measure_idle(add, fleet, placed)
    _measure_search(add, fleet)
    percent = idle_ms / _WINDOW_MS * _PERCENT
    points = result.series.setdefault(f'idle by {series}', [])
    points.append((size, percent))
    if members:
        _measure_joins(add, fleet, members, percent / _PERCENT)
        _measure_zone(add, fleet, idle_ms)


def _measure_idle(
    add: typing.Callable,
    fleet: virtual_fleet.Fleet,
    placed: tuple[topology.Group, ...],
) -> float:
    """Measure a start and the time after it, in milliseconds."""
    host = _start(fleet, placed)
    add('start: processor time', host.cpu_ns / _NS_PER_MS, 'ms')
    add('start: longest step', host.longest_ns / _NS_PER_MS, 'ms')
    fleet.reset()
    fleet.run_for(_WINDOW_MS)
    idle_ms = host.cpu_ns / _NS_PER_MS
    add('idle: processor time', idle_ms / _WINDOW_MS * _PERCENT, '% of a core')
    return idle_ms


def _measure_search(
    add: typing.Callable,
    fleet: virtual_fleet.Fleet,
) -> None:
    """Measure how long the owner of a backend connection is searched."""
    host = fleet.hosts[_NODE]
    failure = failures.CONNECTION_LOST.because('unknown connection')
    message = messages.BackendLost(-1, failure)
    fleet.reset()
    for found in itertools.repeat(message, _SEARCHES):
        host.deliver(found)
    spent_us = host.cpu_ns / _NS_PER_US / _SEARCHES
    add('backend message: search of its owner, worst case', spent_us, 'us')


def _measure_joins(
    add: typing.Callable,
    fleet: virtual_fleet.Fleet,
    members: int,
    idle: float,
) -> None:
    fleet.reset()
    for number in range(members, members + _JOINS):
        _put_members(fleet, range(number, number + 1))
        fleet.run_for(_JOIN_MS)
    spent_ms = fleet.hosts[_NODE].cpu_ns / _NS_PER_MS
    spent_ms -= idle * _JOINS * _JOIN_MS
    add('one member joins: processor time', spent_ms / _JOINS, 'ms')


def _measure_zone(
    add: typing.Callable,
    fleet: virtual_fleet.Fleet,
    idle_ms: float,
) -> None:
    fleet.reset()
    _remove_members(fleet, _ZONE_MEMBERS)
    fleet.run_for(_WINDOW_MS)
    host = fleet.hosts[_NODE]
    spent_ms = host.cpu_ns / _NS_PER_MS - idle_ms
    name = 'zone of 133 members and its slots gone'
    add(f'{name}: processor time', spent_ms, 'ms')
    add(f'{name}: longest step', host.longest_ns / _NS_PER_MS, 'ms')


def _new_fleet(
    placed: tuple[topology.Group, ...],
    members: int,
) -> virtual_fleet.Fleet:
    """Return a fleet without nodes whose store holds the directory."""
    fleet = virtual_fleet.Fleet(0, _ZONES)
    fleet.store.copying = True
    _put_members(fleet, range(1, members))
    _put_slots(fleet, placed, members)
    return fleet


def _trace(
    fleet: virtual_fleet.Fleet,
    placed: tuple[topology.Group, ...],
) -> float:
    """Return the memory of a node that knows everything, in KB.

    Tracing slows the code down, so times are taken on a second start.
    """
    gc.collect()
    tracemalloc.start()
    _start(fleet, placed)
    gc.collect()
    kept_kb = tracemalloc.get_traced_memory()[0] / _KB
    tracemalloc.stop()
    fleet.hosts.clear()
    fleet.events.queue.clear()
    fleet.store.watchers.clear()
    return kept_kb


def _start(
    fleet: virtual_fleet.Fleet,
    placed: tuple[topology.Group, ...],
) -> virtual_fleet.Host:
    fleet.groups = placed
    host = virtual_fleet.Host(fleet, 0)
    fleet.hosts[host.name] = host
    host.tick()
    fleet.run_for(_SETTLE_MS)
    return host


def _put_members(fleet: virtual_fleet.Fleet, numbers: range) -> None:
    puts = []
    for number in numbers:
        name = f'proxy-{number:04d}'
        # No other member is in the zone of the measured node, which makes
        # it the reader of that zone.
        others = fleet.zones[1:]
        zone = others[number % len(others)]
        member = topology.Member(name, _BOOT, '10.0.100.100', 7000, zone)
        document = msgspec.json.encode(member).decode()
        puts.append(store.Put(f'members/{name}', document))
    if puts:
        _change(fleet, puts, [])


def _put_slots(
    fleet: virtual_fleet.Fleet,
    groups: tuple[topology.Group, ...],
    members: int,
) -> None:
    puts = []
    for number, group in enumerate(groups):
        for place in range(_OWNERS):
            holder = 1 + (number * _OWNERS + place) % (members - 1)
            document = slot_ranking.SlotValue(f'proxy-{holder:04d}', _BOOT)
            key = slot_ranking.SlotId(group.name, place).key
            text = msgspec.json.encode(document).decode()
            puts.append(store.Put(key, text))
    if puts:
        _change(fleet, puts, [])


def _remove_members(fleet: virtual_fleet.Fleet, count: int) -> None:
    """Delete the keys of some members, one lease after the other."""
    space = fleet.store.model.space
    for number in range(1, count + 1):
        name = f'proxy-{number:04d}'
        gone = [f'members/{name}']
        gone.extend(
            entry.key
            for entry in space.read('slots/').entries
            if f'"{name}"' in entry.value
        )
        _change(fleet, [], gone)


def _change(
    fleet: virtual_fleet.Fleet,
    puts: list[store.Put],
    deletes: list[str],
) -> None:
    fleet.store.model.space.change(puts, deletes)
    fleet.store.notify()
