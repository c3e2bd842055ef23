"""Tests of generated fault orders."""

from hypothesis import given, settings, strategies

from scenarios import checker, generator, simulation


@settings(
    derandomize=True,
    max_examples=5,
    deadline=None,
    database=None,
)
@given(strategies.integers(min_value=1, max_value=100_000))
def test_generated_fault_orders(seed):
    """Guards against a fault order that no scenario file contains."""
    report = simulation.run(generator.scenario(seed))
    assert not checker.describe(report.violations)
