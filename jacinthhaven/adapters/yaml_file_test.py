"""Tests of the YAML parser with positions."""

import pytest

from jacinthhaven.adapters import yaml_file


@pytest.mark.parametrize(
    ('text', 'line'),
    [
        ('a: 1\nb: 2\na: 3\n', 3),
        ('a: &x 1\nb: *x\n', 2),
        ('a: !!python/object:os.system 1\n', 1),
        ('a: [1\nb: 2\n', 2),
        ('a: 1\n---\nb: 2\n', 2),
        ('a: \x01\n', 1),
        ('', 1),
        ('[' * 5000, 1),
    ],
)
def test_unusable_yaml_is_reported_as_records(text, line):
    """Guards against parser exceptions and silently discarded keys."""
    document = yaml_file.parse(text)
    assert [error.line for error in document.errors] == [line]
