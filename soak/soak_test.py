"""Short seeded soak of the real processes, and proofs that it can fail."""

import pytest

from soak import clients, run

_SEEDS = (1, 100)


@pytest.mark.parametrize('seed', _SEEDS)
def test_seed(seed, tmp_path):
    """Guards against broken promises of the real processes."""
    problems, summary = run.play(seed, tmp_path)
    assert not problems, summary
    assert "'done'" in summary


def _client() -> clients.Client:
    return clients.Client(1, [])


def test_checks_find_a_write_that_took_effect_twice():
    """Guards against a check that cannot fail."""
    assert run.client_problems(_client(), {'1x1': 2}, set())


def test_checks_find_a_false_promise():
    """Guards against a check that cannot fail."""
    client = _client()
    client.refused.add('1x1')
    assert run.client_problems(client, {'1x1': 1}, set())


def test_checks_find_a_lost_write():
    """Guards against a check that cannot fail."""
    client = _client()
    client.done.add('1x1')
    assert run.client_problems(client, {}, set())
    assert not run.client_problems(client, {}, {'1x1'})


def test_checks_find_a_read_that_missed_an_own_write():
    """Guards against a check that cannot fail."""
    client = _client()
    client.problems.append(clients.StaleRead('1x2', 0, '1x1'))
    assert run.client_problems(client, {}, set())
