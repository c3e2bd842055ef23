"""Builders of experiments for tests."""

import typing

from jacinthhaven.lab import experiment

Fields = dict[str, typing.Any]


def kind(**changes: typing.Any) -> Fields:
    """Return a kind of requests that is easy to serve."""
    fields: Fields = {
        'mode': 'primary',
        'per_s': 40,
        'writes': 0.5,
        'work_ms': 8,
        'target_ms': 200,
        'deadline_ms': 1000,
    }
    return fields | changes


def fault(kind: str, instance: str, **changes: typing.Any) -> Fields:
    """Return a fault in the middle of a play."""
    fields: Fields = {
        'kind': kind,
        'instance': instance,
        'at_ms': 1000,
        'for_ms': 1500,
    }
    return fields | changes


def document(**changes: typing.Any) -> Fields:
    """Return the document of an experiment without faults."""
    fields: Fields = {
        'name': 'test',
        'seeds': [1],
        'length_ms': 3000,
        'group': {
            'instances': ['db-a', 'db-b', 'db-c'],
            'slots': 3,
            'connections': 21,
        },
        'load': {'settlement': kind()},
    }
    return fields | changes


def described(**changes: typing.Any) -> experiment.Experiment:
    """Return an experiment."""
    return experiment.Experiment.model_validate(document(**changes))


def shared(**changes: typing.Any) -> experiment.Experiment:
    """Return an experiment with eight proxies and few slots."""
    fields: Fields = {
        'group': {
            'instances': ['db-a', 'db-b', 'db-c'],
            'slots': 2,
            'connections': 34,
            'lag_ms': 8,
            'proxies': 8,
        },
        'load': {
            'orders': kind(
                per_s=11,
                writes=0.35,
                transactions=0.25,
                work_ms=11,
                deadline_ms=4000,
                timeout_ms=1000,
                retries=2,
            ),
            'board': kind(
                mode='bounded',
                per_s=11,
                writes=0,
                transactions=0.1,
                work_ms=55,
                target_ms=800,
                deadline_ms=12_000,
                timeout_ms=3000,
                priority=2,
                max_age_ms=1500,
                retries=2,
            ),
            'notes': kind(
                mode='own_writes',
                per_s=53,
                writes=0.12,
                transactions=0.12,
                work_ms=33,
                target_ms=400,
                deadline_ms=4000,
                timeout_ms=1000,
                priority=2,
                max_age_ms=2500,
                retries=2,
            ),
        },
    }
    return described(**(fields | changes))


def records_pool(share: float, **changes: typing.Any) -> experiment.Experiment:
    """Return one service of the records pool.

    Args:
      share: Rate of the requests, as a multiple of what its slots can execute.
      changes: Fields of the experiment to change.
    """
    # Rates of the four services together; they need 18.9 of 72 slots.
    factor = share * 18 / 18.9
    fields: Fields = {
        'group': _service(slots=6, lag_ms=30),
        'load': {
            'entry': kind(
                per_s=72 * factor,
                writes=0.35,
                work_ms=11,
                deadline_ms=4000,
                timeout_ms=1000,
                retries=2,
            ),
            'lookup': kind(
                mode='bounded',
                per_s=126 * factor,
                writes=0,
                work_ms=55,
                target_ms=1500,
                deadline_ms=12_000,
                timeout_ms=3000,
                priority=2,
                max_age_ms=1500,
                retries=2,
            ),
            'intake': kind(
                mode='own_writes',
                per_s=340 * factor,
                writes=0.12,
                work_ms=33,
                target_ms=400,
                deadline_ms=4000,
                timeout_ms=1000,
                priority=2,
                max_age_ms=2500,
                retries=2,
            ),
        },
    }
    return described(**(fields | changes))


def expense_claims(
    share: float, **changes: typing.Any
) -> experiment.Experiment:
    """Return one service of the expense claims; see `records_pool`."""
    # Rates of the four services together; they need 10.1 of 48 slots.
    factor = share * 12 / 10.1
    fields: Fields = {
        'group': _service(slots=4, lag_ms=150),
        'load': {
            'filing': kind(
                per_s=129 * factor,
                writes=0.35,
                work_ms=3.8,
                target_ms=155,
                deadline_ms=1034,
                retries=1,
            ),
            'lookup': kind(
                mode='bounded',
                per_s=129 * factor,
                writes=0,
                work_ms=19,
                target_ms=405,
                deadline_ms=2532,
                priority=2,
                max_age_ms=1500,
                retries=1,
            ),
            'approval': kind(
                mode='own_writes',
                per_s=600 * factor,
                writes=0.12,
                work_ms=12,
                target_ms=255,
                deadline_ms=1020,
                priority=2,
                max_age_ms=2500,
                retries=1,
            ),
        },
    }
    return described(**(fields | changes))


def _service(slots: int, lag_ms: int) -> Fields:
    """Return a service with two owners in each of three zones."""
    return {
        'instances': ['db-a', 'db-b', 'db-c'],
        'slots': slots,
        'connections': 72,
        'lag_ms': lag_ms,
        'proxies': 6,
    }
