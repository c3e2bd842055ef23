"""Draws deployments with more work than their databases can execute.

The input is a deployment file of the users' bench; the output are variants of
it with fewer execution slots, another mix of statements or other VMs, and days
with bursts of load, slow databases, replication lag and a lost primary. The
same seed draws the same deployment.

    python -m bench.overload_sites SITE.toml OUT --seed 1 --count 6
"""

import copy
import pathlib
import random
import shutil
import tomllib
import types
import typing

import tomli_w
import typer

Site = dict[str, typing.Any]
Change = typing.Callable[[Site, random.Random], None]

# The day without faults.
CALM = 'calm'

_SIDE_FILES = ('wire.json', 'CUT')


def _few_slots(site: Site, rng: random.Random) -> None:
    """Leave less than half of the execution slots."""
    for service in site['services']:
        service['slots'] = max(round(service['slots'] * 0.4), 1)


def _write_heavy(site: Site, rng: random.Random) -> None:
    """Let more statements need the primary, many in transactions."""
    for kind in site['classes']:
        sql = kind['sql']
        writes = sql['writes'] * rng.uniform(1.5, 2.5)
        transactions = sql['tx'] * rng.uniform(1.5, 2)
        sql['writes'] = min(writes + 0.05, 0.8)
        sql['tx'] = min(transactions, 0.6)
    for service in site['services']:
        service['slots'] = max(round(service['slots'] * 0.6), 1)


def _short_deadlines(site: Site, rng: random.Random) -> None:
    """Let clients give up after a second."""
    _few_slots(site, rng)
    for kind in site['classes']:
        kind['deadline_ms'] = 1000
        kind['timeout_ms'] = 500


def _long_deadlines(site: Site, rng: random.Random) -> None:
    """Let clients wait for twelve seconds."""
    _few_slots(site, rng)
    for kind in site['classes']:
        kind['deadline_ms'] = 12_000
        kind['timeout_ms'] = rng.choice((2000, 3000))


def _long_work(site: Site, rng: random.Random) -> None:
    """Let each statement take two to three times as long."""
    _scale_work(site, rng.uniform(2, 3))


def _short_work(site: Site, rng: random.Random) -> None:
    """Let statements be short, with one slot for them at each instance."""
    _scale_work(site, rng.uniform(0.3, 0.5))
    for service in site['services']:
        service['slots'] = 1


def _unequal_vms(site: Site, rng: random.Random) -> None:
    """Replace the VMs by a large one and many small ones."""
    _few_slots(site, rng)
    first = site['machines'][0]
    small = first | {'cpu_share': 0.25, 'count': 4, 'spare': 1}
    names = [zone['name'] for zone in site['zones']]
    site['machines'] = [small | {'zone': name} for name in names]
    large = small | {'cpu_share': 0.9, 'count': 1, 'zone': names[0]}
    site['machines'].insert(0, large)


def _more_zones(site: Site, rng: random.Random) -> None:
    """Add availability zones without databases."""
    _few_slots(site, rng)
    region = site['zones'][0]['region']
    for number in range(rng.choice((1, 2))):
        name = f'zone-{number}'
        site['zones'].append({'name': name, 'region': region})
        machine = site['machines'][0]
        site['machines'].append(machine | {'zone': name, 'count': 2})
        traffic = copy.deepcopy(site['traffic'][0])
        traffic['zone'] = name
        traffic['per_s'] *= 0.5
        site['traffic'].append(traffic)


CHANGES: typing.Mapping[str, Change] = types.MappingProxyType(
    {
        'few-slots': _few_slots,
        'write-heavy': _write_heavy,
        'short-deadlines': _short_deadlines,
        'long-deadlines': _long_deadlines,
        'long-work': _long_work,
        'short-work': _short_work,
        'unequal-vms': _unequal_vms,
        'more-zones': _more_zones,
    },
)


def draw(site: Site, seed: int) -> Site:
    """Return the variant of a deployment that a seed draws.

    Args:
      site: Decoded deployment file; it is not changed.
      seed: Seed of the choices. Consecutive seeds take the kinds of changes
        in turn.
    """
    rng = random.Random(seed)
    drawn = copy.deepcopy(site)
    name = list(CHANGES)[seed % len(CHANGES)]
    CHANGES[name](drawn, rng)
    drawn['name'] = f'{site["name"]}-{name}-{seed}'
    drawn['day'] = [
        _day(drawn, day_name, faults, rng)
        for day_name, faults in _faults(rng).items()
    ]
    return drawn


def _faults(rng: random.Random) -> dict[str, list[Site]]:
    """Return the faults of each day, by the name of the day."""
    factor = rng.uniform(2, 3)
    long_factor = rng.uniform(1.5, 2.2)
    return {
        CALM: [],
        'short-burst': [
            _fault('burst', 10, 12, x=factor),
            _fault('burst', 26, 5, x=factor + 0.9),
        ],
        'long-burst': [_fault('burst', 3, 26, x=long_factor)],
        'slow': [
            _fault('burst', 8, 10, x=rng.uniform(1.5, 2)),
            _fault('srv_slow', 9, 8, share=0.5, x=rng.uniform(3, 6)),
        ],
        'lag': [
            _fault('burst', 8, 10, x=1.7),
            _fault('replica_lag', 8, 8, share=1.0, x=120),
        ],
        'lost-primary': [
            _fault('burst', 8, 12, x=rng.uniform(1.5, 2.5)),
            _fault('srv_crash', 12, 7, how='primary'),
        ],
    }


def _fault(kind: str, at_s: float, for_s: float, **details: typing.Any) -> Site:
    return {'at': at_s, 'kind': kind, 'for_s': for_s, **details}


def _day(
    site: Site,
    name: str,
    faults: list[Site],
    rng: random.Random,
) -> Site:
    first = site['day'][0]
    kept = ('one', 'zero', 'goal', 'floor_classes', 'floor_zones', 'wall')
    day = {key: first[key] for key in kept}
    slot = 'quiet' if name == CALM else 'scale'
    return day | {
        'name': name,
        'slot': slot,
        'seed': rng.randrange(2**28),
        'labels': [],
        'light': True,
        'plan': [],
        'faults': faults,
        'traffic': site['traffic'],
    }


def _scale_work(site: Site, factor: float) -> None:
    for kind in site['classes']:
        work = kind['work_ms']
        work |= {key: work[key] * factor for key in ('mean', 'max')}


def main(
    source: pathlib.Path,
    out: pathlib.Path,
    seed: int = 1,
    count: int = 1,
) -> None:
    """Write variants of a deployment file and print their paths."""
    site = tomllib.loads(source.read_text())
    for number in range(seed, seed + count):
        drawn = draw(site, number)
        path = out / drawn['name'] / f'{drawn["name"]}.toml'
        path.parent.mkdir(parents=True, exist_ok=True)
        for name in _SIDE_FILES:
            shutil.copy(source.with_name(name), path.with_name(name))
        days = source.with_suffix('.days')
        shutil.copy(days, path.with_suffix('.days'))
        path.write_text(tomli_w.dumps(drawn))
        typer.echo(path)


if __name__ == '__main__':
    typer.run(main)
