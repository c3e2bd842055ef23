"""Tests of the command that checks an operator's configuration."""

import json

import pytest
from typer import testing

from jacinthhaven.cli import main
from jacinthhaven.configcheck import builders


def _run(folder, document, *options):
    name = folder / 'config.json'
    text = document if isinstance(document, str) else json.dumps(document)
    name.write_text(text)
    arguments = ['check-routes', str(name), *options]
    return testing.CliRunner().invoke(main.app, arguments)


@pytest.mark.parametrize(
    ('document', 'exit_code', 'line'),
    [
        (builders.configuration(), 0, ''),
        (builders.configuration(tenants=[]), 0, ': tenants: warning: '),
        (
            '{\n"version": 1,\n"routes": []}',
            1,
            ':1:1: services: error: is missing',
        ),
        ('{\n"version": 1,\n}', 1, ':3:1: error: '),
        ('{"version": 1, "version": 2}', 1, ': version: error: appears twice'),
        ('null', 1, ': error: '),
    ],
)
def test_findings_have_a_place_and_errors_an_exit_code(
    tmp_path, document, exit_code, line
):
    """Guards against scripts that send a configuration with errors."""
    done = _run(tmp_path, document)
    assert done.exit_code == exit_code
    assert line in done.stdout


def test_unreadable_files_have_the_usual_exit_code(tmp_path):
    """Guards against taking a missing file for one without differences."""
    missing = str(tmp_path / 'missing.json')
    done = _run(tmp_path, builders.configuration(), '--in-force', missing)
    assert done.exit_code == 2


def test_keys_are_never_printed(tmp_path):
    """Guards against keys in the logs of whoever runs the check."""
    known = tmp_path / 'known.json'
    known.write_text(json.dumps(builders.configuration()))
    tenants = [
        builders.tenant(apiKeys=['secret-1', '', 'secret-1']),
        builders.tenant(name='t1', apiKeys=['secret-0', 'secret-1', 7]),
        builders.tenant(name='t2', apiKeys='secret-3', secret=['secret-4']),
    ]
    for count in (3, 2, 1):
        document = builders.configuration(tenants=tenants[:count])
        for option in ((), ('--json',)):
            done = _run(tmp_path, document, '--in-force', str(known), *option)
            assert done.exit_code == 1
            assert 'secret-' not in done.output
    done = _run(tmp_path, '{"tenants": [{"apiKeys": ["secret-5]}]}')
    assert 'secret-' not in done.output
