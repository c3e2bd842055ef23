"""Idle cost of real proxy processes, and memory per connection."""

import dataclasses
import socket
import subprocess
import sys
import time
import typing

import msgspec

from bench import (
    deployments,
    hot_path,
    operations,
    process_stats,
    processes,
    results,
)
from jacinthhaven.adapters import http_messages

_MEMBERS = 8
_WINDOW_S = 15
_PERCENT = 100
_AGE_MS = 1000
_KB = 1024
_CONNECTIONS = (0, 100, 1000, 4000)
_REPLY_BYTES = 65536
_SETTLE_S = 2
_PORTS = 200
_PROXY = 'proxy-1'

_Usage = dict[int, float]


def measure(base_port: int) -> results.Result:
    """Measure eight idle members and the memory of connections."""
    result = results.Result('idle')
    _measure_members(result, base_port)
    _measure_callers(result, base_port + _PORTS)
    return result


def _measure_members(result: results.Result, base_port: int) -> None:
    owners, used, memory = _watch_members(base_port)
    groups = {'a slot': owners, 'no slot': used.keys() - owners}
    for label, group in groups.items():
        note = f'mean of {len(group)} of 8 members, {_WINDOW_S} s'
        percent = _mean([used[number] for number in group])
        percent *= _PERCENT / _WINDOW_S
        result.add(f'processor time, {label}', percent, '% of a core', note)
        memory_mb = _mean([memory[number] for number in group]) / _KB
        result.add(f'resident memory, {label}', memory_mb, 'MB', note)


def _watch_members(base_port: int) -> tuple[set[int], _Usage, _Usage]:
    """Return the slot holders, and the time and memory of each member."""
    with processes.Fleet(deployments.EXCHANGE, base_port) as fleet:
        hot_path.start(fleet, _MEMBERS)
        time.sleep(_SETTLE_S)
        pids = {
            number: fleet.processes[f'proxy-{number}'].child.pid
            for number in range(1, _MEMBERS + 1)
        }
        before = _cpu(pids)
        time.sleep(_WINDOW_S)
        used = {
            number: seconds - before[number]
            for number, seconds in _cpu(pids).items()
        }
        memory = {
            number: process_stats.rss_kb(pid) for number, pid in pids.items()
        }
        owners = {number for number in pids if _owns(fleet, number)}
    return owners, used, memory


def _cpu(pids: dict[int, int]) -> dict[int, float]:
    return {number: process_stats.cpu_s(pid) for number, pid in pids.items()}


def _owns(fleet: processes.Fleet, number: int) -> bool:
    return operations.slot(fleet, number) is not None


def _mean(figures: list[float]) -> float:
    return sum(figures) / len(figures) if figures else 0


def _measure_callers(result: results.Result, base_port: int) -> None:
    shape = dataclasses.replace(
        deployments.EXCHANGE,
        connection_limit=_CONNECTIONS[-1],
        open_ms=0,
    )
    with processes.Fleet(shape, base_port) as fleet:
        fleet.owners = 1
        hot_path.start(fleet, 1)
        _measure_connections(result, fleet)
        backends = _backend_memory(fleet.instance_port(1))
        _add_slope(result, 'backend connection', backends)


def _measure_connections(
    result: results.Result,
    fleet: processes.Fleet,
) -> None:
    pid = fleet.processes[_PROXY].child.pid
    address = (processes.HOST, fleet.caller_port(1))
    opened: list[socket.socket] = []
    idle: results.Points = []
    for count in _CONNECTIONS:
        while len(opened) < count:
            opened.append(socket.create_connection(address))
        time.sleep(_SETTLE_S)
        idle.append((count, process_stats.rss_kb(pid)))
    _add_slope(result, 'idle caller connection', idle)
    used: results.Points = [(0, process_stats.rss_kb(pid))]
    for number, sock in enumerate(opened, start=1):
        _use_session(sock, fleet.shape.databases[0])
        if number in _CONNECTIONS:
            used.append((number, process_stats.rss_kb(pid)))
    _add_slope(result, 'session with one statement', used)
    for closing in opened:
        closing.close()


def _use_session(sock: socket.socket, database: str) -> None:
    # A statement that names no session starts one. Naming a session without
    # its token would wait for status replies, up to 50 ms each.
    row = {'op': 'get', 'key': 'k'}
    body = {'kind': 'read', 'max_age_ms': _AGE_MS, 'statement': row}
    path = f'/v1/databases/{database}/statements'
    answer = _exchange(sock, path, msgspec.json.encode(body))
    if not msgspec.json.decode(answer)['session']:
        raise ConnectionError(answer)


def _exchange(sock: socket.socket, path: str, body: bytes) -> bytes:
    sock.sendall(http_messages.format_request(path, body, ''))
    return sock.recv(_REPLY_BYTES).partition(b'\r\n\r\n')[2]


def _backend_memory(port: int) -> results.Points:
    found = subprocess.run(
        [sys.executable, '-m', 'bench.connection_memory', str(port)],
        capture_output=True,
        check=True,
    )
    return msgspec.json.decode(found.stdout, type=results.Points)


def _add_slope(
    result: results.Result,
    name: str,
    points: typing.Sequence[tuple[float, float]],
) -> None:
    first, last = points[0], points[-1]
    opened = last[0] - first[0]
    slope_kb = (last[1] - first[1]) / opened
    note = f'slope from {first[0]} to {last[0]}, resident memory'
    result.add(f'memory per {name}', slope_kb, 'KB', note)
    result.series[f'memory of {name}s'] = list(points)
