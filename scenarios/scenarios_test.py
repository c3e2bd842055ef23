"""Tests that run every scenario file."""

import pytest

from scenarios import language, run


@pytest.mark.parametrize('path', sorted(language.FOLDER.glob('*.yaml')))
def test_scenario(path):
    """Guards against the failure that the scenario file describes."""
    scenario = language.load(path)
    # `make scenarios` runs the broken variants as well; they take as long
    # as the product code.
    verdict = run.judge(scenario, with_variant=False)
    if verdict.problems and run.is_known(scenario.name):
        pytest.xfail('listed in KNOWN-RED.txt')
    assert not verdict.problems


def test_errors_have_lines():
    """Guards against a misspelled fault that makes a scenario pass."""
    text = (
        'name: broken\n'
        'guards: nothing\n'
        'sed: 3\n'
        'steps:\n'
        '  - {at_ms: 1, do: explode}\n'
        'checks: [no_such_check]\n'
    )
    errors = [str(error) for error in language.parse(text)]
    assert [error.partition(':')[0] for error in errors] == ['3', '5', '6']
