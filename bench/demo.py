"""Demonstration: two proxies and a database group survive a lost primary.

Starts the stand-ins and two proxies as separate processes on loopback,
sends requests through both, kills the primary of one database, and checks
what the callers were told against what the database holds at the end.
"""

import sys
import time
import types


from bench import deployments, load_tool, operations, processes, report

_BASE_PORT = 23_000
_PROXIES = 2
_CALLERS = 16
_KILL_AT_MS = 3000
_DURATION_MS = 9000
_MAX_AGE_MS = 1000
_WRITE_SHARE = 0.3
_GAP_LIMIT_MS = 2000
_LABEL_WIDTH = 22
_PRESETS = types.MappingProxyType(
    {
        'ordinary': {},
        'peak': {'queue_limit': 200, 'default_max_age_ms': 2000},
        'maintenance': {'routing': 'primary_only'},
    },
)


def run() -> int:
    """Run the demonstration and return the exit code."""
    with processes.Fleet(deployments.EXCHANGE, _BASE_PORT) as fleet:
        problems = _run(fleet)
        _say(f'logs of the proxies: {fleet.folder}')
    for problem in problems:
        _say(f'BROKEN: {problem}')
    return 1 if problems else 0


def _run(fleet: processes.Fleet) -> list[str]:
    _start(fleet)
    plan = load_tool.Plan(
        [fleet.caller_port(number) for number in range(1, _PROXIES + 1)],
        _CALLERS,
        fleet.shape.databases,
        _WRITE_SHARE,
        _MAX_AGE_MS,
        _DURATION_MS,
    )
    callers = load_tool.Load(plan)
    killed = fleet.instances[0]
    callers.actions.append((_KILL_AT_MS, lambda: fleet.kill(killed)))
    _say(f'sending requests; {killed} is killed after {_KILL_AT_MS} ms')
    callers.run()
    _say('stopping proxy-1 by SIGTERM')
    stopped = fleet.stop('proxy-1')
    problems = _check(fleet, callers)
    if stopped:
        problems.append(f'proxy-1 ended with code {stopped}')
    return problems


def _start(fleet: processes.Fleet) -> None:
    _say('starting the platform and three database instances')
    fleet.start_platform()
    fleet.start_instances()
    _say(f'starting {_PROXIES} proxies')
    for number in range(1, _PROXIES + 1):
        fleet.start_proxy(number, _PROXIES)
    answer = operations.configure(fleet, dict(_PRESETS), 'ordinary')
    revision = answer['revision']
    _say(f'preset `ordinary` is in force as revision {revision}')
    for waiting in range(1, _PROXIES + 1):
        operations.wait_ready(fleet.caller_port(waiting))


def _check(fleet: processes.Fleet, callers: load_tool.Load) -> list[str]:
    summary = report.summarise(callers.samples)
    gap_ms = max(summary.gap_ms.values())
    figures = {
        'requests served': summary.requests,
        'requests per second': round(summary.rate),
        'median latency (ms)': round(summary.median_ms, 1),
        '99th percentile (ms)': round(summary.p99_ms, 1),
        'failover gap (ms)': round(gap_ms),
        'replica read share': round(summary.replica_share, 3),
        'refused or retried': dict(callers.errors),
    }
    for label, figure in figures.items():
        _say(f'{label.ljust(_LABEL_WIDTH)}{figure}')
    problems = [
        f'{name} has had no write for {gap} ms'
        for name, gap in summary.gap_ms.items()
        if gap > _GAP_LIMIT_MS
    ]
    if summary.stale_reads:
        problems.append(f'{summary.stale_reads} reads missed an own write')
    return problems + _lost_writes(fleet, callers)


def _lost_writes(fleet: processes.Fleet, callers: load_tool.Load) -> list[str]:
    """Compare the confirmed writes with the database."""
    written = {
        (database, key): number
        for caller in callers.callers
        for (database, key), number in caller.written.items()
    }
    port = fleet.caller_port(_PROXIES)
    lost = 0
    for (database, key), number in written.items():
        found = operations.read(port, database, key)
        lost += found != number
    checked = len(written)
    _say(f'keys checked          {checked}')
    return [f'{lost} keys lost their confirmed value'] if lost else []


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    started = time.monotonic()
    code = run()
    elapsed_s = time.monotonic() - started
    _say(f'finished after {elapsed_s:.0f} s')
    sys.exit(code)
