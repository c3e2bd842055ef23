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
