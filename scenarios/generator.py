"""Random fault orders of bounded length, as scenarios."""

import random

from scenarios import checker, language

_DURATION_MS = 5000
_MIN_FAULTS = 2
_MAX_FAULTS = 6
_TRANSACTIONS = 20
_PERCENT = 30
_PLACES = (
    'primary:lots',
    'primary:settlements',
    'slot:0',
    'slot:1',
    'i1',
    'i2',
    'i3',
    'p1',
    'p5',
)
_GROUPS = ('instances', 'proxies', 'zone:macon', 'i2', 'p1')
_PLACE_VERBS = ('kill', 'freeze', 'restart', 'thaw')
_INSTANCE_VERBS = ('lag', 'lose', 'answers_late')
_STORE_VERBS = ('store_down', 'store_up', 'store_answer_lost')
_CALLER_VERBS = ('move_sessions', 'disorder')
_LOSSES = ('before', 'during', 'after')


def scenario(seed: int) -> language.Scenario:
    """Return the scenario of a seed."""
    rng = random.Random(seed)  # noqa: S311
    count = rng.randint(_MIN_FAULTS, _MAX_FAULTS)
    times = sorted(rng.randrange(_DURATION_MS) for _number in range(count))
    steps = [_step(rng, at_ms) for at_ms in times]
    return language.Scenario(
        name=f'generated_{seed}',
        guards='any fault order that violates an invariant',
        seed=seed,
        duration_ms=_DURATION_MS,
        preset={'transaction_idle_ms': 500},
        workload=language.Workload(
            sessions=10,
            move_percent=10,
            forget_percent=5,
            impatient_percent=rng.choice((0, 5)),
            abandon_percent=5,
            transactions=_TRANSACTIONS,
        ),
        steps=steps,
        checks=[
            name for name in checker.DEFAULT if name not in _excluded(steps)
        ],
    )


def _excluded(steps: list[language.Step]) -> tuple[str, ...]:
    """Return the checks that some steps make meaningless.

    An instance that does not notice a lost connection counts it in
    addition to its replacement; the limit of the instance bounds them.
    """
    half_open = any(step.do == 'lose' for step in steps)
    return ('connections',) if half_open else ()


def _step(rng: random.Random, at_ms: int) -> language.Step:
    kind = rng.randrange(5)
    if kind == 0:
        return language.Step(
            at_ms=at_ms,
            do=rng.choice(_INSTANCE_VERBS),
            places=[rng.choice(('i1', 'i2', 'i3', 'primary:lots'))],
            by_ms=rng.choice((50, 300, 800)),
            when=rng.choice(_LOSSES),
            count=rng.randint(1, 10),
        )
    if kind == 1:
        verb = rng.choice((*_STORE_VERBS, *_CALLER_VERBS))
        return language.Step(at_ms=at_ms, do=verb, percent=_PERCENT)
    if kind == 2:
        return language.Step(
            at_ms=at_ms,
            do=rng.choice(('cut', 'cut', 'heal', 'slow')),
            places=[rng.choice(_PLACES)],
            to=[rng.choice(_GROUPS)],
            by_ms=rng.choice((20, 200)),
        )
    return language.Step(
        at_ms=at_ms,
        do=rng.choice(_PLACE_VERBS),
        places=[rng.choice(_PLACES)],
    )
