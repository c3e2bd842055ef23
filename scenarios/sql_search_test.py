"""Tests of the search for faults under SQL traffic, and of what it finds."""

import pytest

from scenarios import sql_search, sql_variants

_SEEDS = range(8)
# Seeds among which the search finds each broken variant.
_VARIANT_SEEDS = range(60)


@pytest.mark.parametrize('fenced', [True, False])
def test_search_finds_no_broken_promise(fenced):
    """Guards against orders of releases, stops and faults that harm callers."""
    assert not sql_search.failing_seeds(_SEEDS, fenced=fenced)


@pytest.mark.parametrize('variant', sql_variants.VARIANTS)
def test_search_finds_each_broken_variant(variant):
    """Guards against a search that misses a fault it was written for."""
    assert any(
        sql_search.failing_seeds([seed], fenced=fenced, variant=variant)
        for seed in _VARIANT_SEEDS
        for fenced in (False, True)
    )
