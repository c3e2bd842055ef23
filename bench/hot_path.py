"""Cost of a statement in real processes on loopback.

The baseline of latency is the same load sent straight to the instances;
the baseline of the routing policy is the preset value `primary_only`.
"""

import dataclasses
import subprocess
import sys
import time
import types

import msgspec

from bench import (
    deployments,
    operations,
    process_stats,
    processes,
    results,
    steady_load,
)

_CALLERS = 24
_MAX_AGE_MS = 1000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_MS_PER_S = 1000
_PORTS = 200
_PACED_MS = 40
_MIXED = 0.1
_CONNECTIONS = 120
_SETTLE_S = 3
_PROXY = 'proxy-1'
# Share of writes and age that the reads allow.
_MIXES = types.MappingProxyType(
    {
        'reads with an age': (0, _MAX_AGE_MS),
        'current reads': (0, 0),
        '10% writes, reads with an age': (_MIXED, _MAX_AGE_MS),
        'writes': (1, 0),
    },
)
_POLL_S = 0.1


@dataclasses.dataclass(slots=True)
class Load:
    """Measured load.

    Attributes:
      rate: Answered statements per second.
      cpu_us: Processor time of all proxies per statement.
      median_ms: Median latency.
      p99_ms: 99th percentile of the latency.
      replica_share: Share of the statements that replicas executed.
      errors: Refused statements.
      busiest: Highest share of a core used by one proxy.
      instance: Highest share of a core used by one instance stand-in.
    """

    rate: float
    cpu_us: float
    median_ms: float
    p99_ms: float
    replica_share: float
    errors: int
    busiest: float
    instance: float


def measure(base_port: int) -> results.Result:
    """Measure one proxy, two proxies and one to four with a shared port."""
    result = results.Result('hot_path')
    _measure_local(result, base_port)
    _measure_forward(result, base_port + _PORTS)
    for place, proxies in enumerate((1, 2, 4), start=2):
        _measure_shared(result, base_port + place * _PORTS, proxies)
    return result


def start(
    fleet: processes.Fleet,
    proxies: int,
    routing: str = 'replica_first',
) -> None:
    """Start a fleet whose proxies serve under one preset."""
    fleet.start_platform()
    fleet.start_instances()
    for number in range(1, proxies + 1):
        fleet.start_proxy(number, proxies)
    presets = {
        'replica_first': {},
        'primary_only': {'routing': 'primary_only'},
    }
    operations.configure(fleet, presets, routing)
    for waiting in range(1, proxies + 1):
        while not operations.status(fleet, waiting).get('ready'):
            time.sleep(_POLL_S)
    time.sleep(_SETTLE_S)


def shape() -> deployments.Deployment:
    """Return the exchange with enough connections for the load."""
    return dataclasses.replace(
        deployments.EXCHANGE,
        connection_limit=_CONNECTIONS,
        open_ms=0,
    )


def run_load(
    fleet: processes.Fleet,
    proxies: list[str],
    plans: list[steady_load.Plan],
) -> Load:
    """Run load processes and read the processor time of the proxies."""
    names = [*proxies, *fleet.instances]
    before = _cpu(fleet, names)
    started_s = time.monotonic()
    outcomes = _outcomes(plans)
    elapsed_s = time.monotonic() - started_s
    used = {
        name: seconds - before[name]
        for name, seconds in _cpu(fleet, names).items()
    }
    return _summary(outcomes, used, proxies, elapsed_s)


def _outcomes(plans: list[steady_load.Plan]) -> list[steady_load.Outcome]:
    command = [sys.executable, '-m', 'bench.steady_load']
    children = [
        subprocess.Popen(
            [*command, msgspec.json.encode(plan).decode()],
            stdout=subprocess.PIPE,
        )
        for plan in plans
    ]
    texts = [child.communicate()[0] for child in children]
    return [
        msgspec.json.decode(text, type=steady_load.Outcome) for text in texts
    ]


def _cpu(fleet: processes.Fleet, names: list[str]) -> dict[str, float]:
    return {
        name: process_stats.cpu_s(fleet.processes[name].child.pid)
        for name in names
    }


def _summary(
    outcomes: list[steady_load.Outcome],
    used: dict[str, float],
    proxies: list[str],
    elapsed_s: float,
) -> Load:
    latencies = sorted(
        latency for outcome in outcomes for latency in outcome.latencies_us
    )
    answered = sum(outcome.answered for outcome in outcomes)
    rate = sum(
        len(outcome.latencies_us) / outcome.span_ms * _MS_PER_S
        for outcome in outcomes
    )
    by_proxies = [used[name] for name in proxies]
    by_others = [used[name] for name in used if name not in proxies]
    return Load(
        rate,
        sum(by_proxies) / answered * _US_PER_S,
        latencies[len(latencies) // 2] / _US_PER_MS,
        latencies[len(latencies) * 99 // 100] / _US_PER_MS,
        sum(outcome.by_replica for outcome in outcomes) / answered,
        sum(sum(outcome.errors.values()) for outcome in outcomes),
        max(by_proxies, default=0) / elapsed_s,
        max(by_others, default=0) / elapsed_s,
    )


def new_plan(
    fleet: processes.Fleet,
    name: str,
    ports: list[int],
) -> steady_load.Plan:
    """Return a load of reads that allow an age, in a closed loop."""
    return steady_load.Plan(
        name=name,
        ports=ports,
        databases=list(fleet.shape.databases),
        callers=_CALLERS,
        max_age_ms=_MAX_AGE_MS,
    )


def _measure_local(result: results.Result, base_port: int) -> None:
    with processes.Fleet(shape(), base_port) as fleet:
        fleet.owners = 1
        start(fleet, 1)
        for kind, (write_share, max_age_ms) in _MIXES.items():
            plan = new_plan(fleet, f'local-{kind}', [fleet.caller_port(1)])
            plan.write_share = write_share
            plan.max_age_ms = max_age_ms
            load = run_load(fleet, [_PROXY], [plan])
            _add_load(result, f'one owner, {kind}', load)
        _measure_latency(result, fleet, 'owner', [fleet.caller_port(1)])


def _measure_latency(
    result: results.Result,
    fleet: processes.Fleet,
    label: str,
    ports: list[int],
) -> None:
    """Compare the latency with direct connections at the same rate."""
    for kind, write_share in (('reads', 0), ('writes', 1)):
        proxied = new_plan(fleet, f'paced-{kind}', ports)
        proxied.interval_ms = _PACED_MS
        proxied.write_share = write_share
        proxied.max_age_ms = 0
        direct = msgspec.structs.replace(
            proxied,
            name=f'direct-{kind}',
            direct=True,
            ports=[fleet.instance_port(number) for number in (1, 2, 3)],
        )
        names = [name for name in fleet.processes if name.startswith('proxy')]
        through = run_load(fleet, names, [proxied])
        base = run_load(fleet, names, [direct])
        note = f'{through.rate:.0f}/s; baseline: direct at {base.rate:.0f}/s'
        name = f'{label}, {kind}: latency'
        result.add(
            f'{name}, median',
            through.median_ms,
            'ms',
            note,
            baseline=base.median_ms,
        )
        result.add(
            f'{name}, 99th percentile',
            through.p99_ms,
            'ms',
            note,
            baseline=base.p99_ms,
        )


def _add_load(result: results.Result, name: str, load: Load) -> None:
    note = (
        f'busiest proxy {load.busiest:.0%} and instance {load.instance:.0%} '
        f'of a core, {load.replica_share:.0%} by replicas, '
        f'{load.errors} refused'
    )
    result.add(f'{name}: rate', load.rate, 'statements/s', note)
    result.add(f'{name}: processor time', load.cpu_us, 'us/statement')


def _measure_forward(result: results.Result, base_port: int) -> None:
    with processes.Fleet(shape(), base_port) as fleet:
        fleet.owners = 1
        start(fleet, 2)
        entry = next(
            number
            for number in (1, 2)
            if operations.slot(fleet, number) is None
        )
        names = [_PROXY, 'proxy-2']
        ports = [fleet.caller_port(entry)]
        for kind, write_share in (
            ('reads with an age', 0),
            ('10% writes, reads with an age', _MIXED),
        ):
            plan = new_plan(fleet, f'forward-{kind}', ports)
            plan.write_share = write_share
            _add_load(
                result,
                f'entry and owner, {kind}',
                run_load(fleet, names, [plan]),
            )
        _measure_latency(result, fleet, 'entry and owner', ports)


def _measure_shared(
    result: results.Result,
    base_port: int,
    proxies: int,
) -> None:
    with processes.Fleet(shape(), base_port) as fleet:
        fleet.shared_caller_port = base_port + 4
        start(fleet, proxies)
        names = [f'proxy-{number}' for number in range(1, proxies + 1)]
        plans = []
        for number in range(3):
            plan = new_plan(fleet, f'shared-{number}', [base_port + 4])
            plan.write_share = _MIXED
            plans.append(plan)
        load = run_load(fleet, names, plans)
        _add_load(
            result,
            f'{proxies} processes on one port, 10% writes',
            load,
        )
        series = result.series.setdefault('rate by processes', [])
        series.append((proxies, load.rate))
