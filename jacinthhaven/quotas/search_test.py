"""Random search for windows in which too many operations are admitted."""

import types
import typing

import pytest

from jacinthhaven.quotas import (
    accountant,
    limits,
    owner_views,
    quorum,
    scripted_builders,
    search_builders,
)

# Seeds of the random histories.
_SEEDS = range(30, 48)


def act_by_own_view(self: quorum.Quorum, now_ms: int) -> None:
    """Broken variant: a node acts for whom it is first, asking nobody."""
    for customer in self.customers:
        views = self.views
        candidates = views.owners.candidates
        name = owner_views.accountant(customer, candidates)
        if name != views.node:
            self.terms.pop(customer, None)
        elif customer not in self.terms:
            self.terms[customer] = quorum.Term(now_ms, 2 * now_ms)


def forget_pledges(_self: quorum.Pledge, _customer: str, _node: str) -> bool:
    """Broken variant: owners do not remember to whom they were pledged."""
    return False


def ask_listed_owners(self: quorum.Quorum, _now_ms: int) -> list[str]:
    """Broken variant: an accountant asks only the owners of its own list."""
    return [name for name in self.views.owners.names if name != self.views.node]


def refill(
    self: accountant.Accountant,
    customer: str,
    limit: limits.Limit,
    now_ms: int,
) -> None:
    """Broken variant: each version of the limits fills the bucket."""
    account = self.accounts.setdefault(customer, accountant.Account())
    capacity = limit.burst + self.slack.granted(limit)
    account.bucket.resize(limit.rate_per_s, capacity, now_ms)
    account.bucket.level = capacity


def reserve_at_once(self: owner_views.OwnerViews, now_ms: int) -> int:
    """Broken variant: a node uses its reserve again after a restart."""
    return now_ms if self.node in self.owners.names else -1


def _random_histories(
    seeds: typing.Iterable[int],
    faults: typing.Sequence[str] = search_builders.FAULTS,
) -> typing.Iterator[float]:
    for seed in seeds:
        yield search_builders.Search(seed, faults).run()


def _replaced_accountants() -> typing.Iterator[float]:
    for phase_ms in range(0, 400, 50):
        yield scripted_builders.replaced_accountant(phase_ms)


def _restarted_holders() -> typing.Iterator[float]:
    yield scripted_builders.restarted_holders()


def _replaced_by_started_owners() -> typing.Iterator[float]:
    yield scripted_builders.replaced_by_started_owners()


# The histories in which each variant is found.
_VARIANTS = types.MappingProxyType(
    {
        (quorum.Quorum, 'update_terms', act_by_own_view): (
            lambda: _random_histories(_SEEDS, ('change_owners', 'cut'))
        ),
        (quorum.Pledge, 'blocks', forget_pledges): _replaced_accountants,
        (
            quorum.Quorum,
            'asked',
            ask_listed_owners,
        ): _replaced_by_started_owners,
        (accountant.Accountant, 'configure', refill): (
            lambda: _random_histories(_SEEDS, ('change_limit',))
        ),
        (
            owner_views.OwnerViews,
            'owner_for_ms',
            reserve_at_once,
        ): _restarted_holders,
    }
)


@pytest.mark.parametrize(
    'histories',
    [
        lambda: _random_histories(_SEEDS),
        *_VARIANTS.values(),
    ],
)
def test_no_window_exceeds_the_bound(
    histories: typing.Callable[[], typing.Iterator[float]],
):
    """Guards against faults that let a customer exceed its limit."""
    assert max(histories()) <= 0


@pytest.mark.parametrize('variant', _VARIANTS)
def test_search_finds_each_broken_variant(
    variant: tuple[type, str, typing.Callable[..., typing.Any]],
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a search that misses violations."""
    monkeypatch.setattr(*variant)
    assert any(excess > 0 for excess in _VARIANTS[variant]())
