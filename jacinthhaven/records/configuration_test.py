"""Tests of the checks of configuration documents."""

import msgspec
import pytest

from jacinthhaven.records import configuration, presets

PRESETS = 'presets'


def test_default_preset_is_accepted():
    """Guards against bounds that exclude a default, and missing bounds."""
    defaults = msgspec.to_builtins(presets.Preset())
    document = {PRESETS: {'ordinary': defaults}}
    assert not configuration.check(document)
    assert configuration.convert(document).presets['ordinary'] == (
        presets.Preset()
    )


def test_every_error_is_reported():
    """Guards against a check that stops at the first error."""
    document = {
        'change_id': 'x',
        PRESETS: {
            'bad name': {},
            'peak': {
                'queue_limit': 'many',
                'deadline_ms': 0,
                'retry_ratio': float('nan'),
                'bogus': 1,
                'suspect_ms': 500,
            },
            'empty': None,
        },
    }
    peak = (PRESETS, 'peak')
    assert [path for path, _message in configuration.check(document)] == [
        ('change_id',),
        (PRESETS, 'bad name'),
        (*peak, 'queue_limit'),
        (*peak, 'deadline_ms'),
        (*peak, 'retry_ratio'),
        (*peak, 'bogus'),
        (PRESETS, 'empty'),
    ]


@pytest.mark.parametrize('document', [None, [], {}, {PRESETS: {}}])
def test_document_without_presets_is_refused(document):
    """Guards against a cluster that loses all its presets."""
    assert configuration.check(document)


def test_numeric_parameters_have_bounds():
    """Guards against a new preset parameter without a range check."""
    numeric = {
        field.name
        for field in msgspec.structs.fields(presets.Preset)
        if field.type in {int, float}
    }
    for name in numeric:
        document = {PRESETS: {'peak': {name: -1}}}
        assert configuration.check(document), name
