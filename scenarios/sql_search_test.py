"""Tests of the search for faults under SQL traffic."""

import pytest

from scenarios import sql_search, sql_variants

# Seeds among which the search finds each broken variant.
_VARIANT_SEEDS = range(60)


@pytest.mark.parametrize('variant', sql_variants.VARIANTS)
def test_search_finds_each_broken_variant(variant):
    """Guards against a search that misses a fault it was written for."""
    assert any(
        sql_search.failing_seeds([seed], fenced=fenced, variant=variant)
        for seed in _VARIANT_SEEDS
        for fenced in (False, True)
    )
