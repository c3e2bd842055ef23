"""What callers below their limit lose, and how single parts behave."""

import random

import pytest

from jacinthhaven.quotas import (
    buckets,
    builders,
    holder,
    limits,
    messages,
    metric_lines,
    owner_views,
    quotas,
)

_OWNERS = tuple(f'n{number}' for number in range(6))
# Usual rates of customers; their limits are 1.6 times as high.
_RATES = (0.2, 1, 5, 20, 60, 150)
_SETTLED_MS = 12_000


def _settled_fleet(
    network: builders.Network = builders.GOOD_NETWORK,
) -> builders.Fleet:
    fleet = builders.Fleet(3, network)
    fleet.limits = {
        f'c{rate}': limits.Limit(1.6 * rate, 1.6 * rate) for rate in _RATES
    }
    for name in _OWNERS:
        fleet.start(name, _OWNERS)
    fleet.run(_SETTLED_MS)
    fleet.tally = builders.Tally()
    return fleet


def _offer(
    fleet: builders.Fleet, customer: str, per_s: float, names: tuple[str, ...]
) -> None:
    """Let operations arrive for 10 s, most of them at the first nodes."""
    at_ms = fleet.now_ms
    end_ms = at_ms + 10_000
    while at_ms < end_ms:
        at_ms += fleet.rng.expovariate(per_s / 1000)
        first = fleet.rng.randrange(len(names))
        name = names[fleet.rng.randrange(first + 1)]
        fleet.operate(name, customer, round(at_ms))


def _refused_per_mille(fleet: builders.Fleet) -> int:
    tally = fleet.tally
    return 1000 * tally.refused.total() // tally.offered.total()


@pytest.mark.parametrize('loss', [0, 0.05])
def test_uneven_load_below_the_limit_is_admitted(loss: float):
    """Guards against refusals where a node gets most of a customer's load."""
    fleet = _settled_fleet(builders.Network(loss=loss))
    for rate in _RATES:
        _offer(fleet, f'c{rate}', rate, _OWNERS)
    fleet.run(10_000)
    assert _refused_per_mille(fleet) < 5
    assert max(fleet.tally.waited_ms) <= 60
    active = len(_RATES) * len(_OWNERS)
    assert fleet.tally.sent['QuotaRequest'] < 10 * 10 * active


def test_next_accountant_serves_before_the_list_changes():
    """Guards against an outage until the dead accountant's lease expires."""
    fleet = _settled_fleet()
    dead = owner_views.accountant('c60', _OWNERS)
    rest = tuple(name for name in _OWNERS if name != dead)
    fleet.stop(dead)
    _offer(fleet, 'c60', 60, rest)
    fleet.run(2000)
    early = fleet.tally.refused['c60']
    fleet.run(8000)
    assert fleet.tally.refused['c60'] == early
    assert early < 2 * 60


def test_customers_without_traffic_cause_no_token_messages():
    """Guards against messages that grow with the number of customers."""
    fleet = _settled_fleet()
    fleet.run(5000)
    assert not fleet.tally.sent['QuotaRequest']


def test_customers_without_a_limit_are_admitted():
    """Guards against refusals where no limit is configured."""
    fleet = _settled_fleet()
    fleet.configure({'free': limits.Limit()})
    node = fleet.nodes['n0']
    for customer in ('free', 'c1', 'unknown', ''):
        assert node.admit(customer, fleet.now_ms).admitted


def test_accountant_serves_itself_without_messages():
    """Guards against waiting where the tokens are in the same process."""
    fleet = _settled_fleet()
    name = owner_views.accountant('c60', _OWNERS)
    _offer(fleet, 'c60', 60, (name,))
    fleet.run(10_000)
    assert not fleet.tally.sent['QuotaRequest']
    assert not max(fleet.tally.waited_ms)


def test_tokens_expire_counted_from_the_request():
    """Guards against tokens that a frozen node spends after its return."""
    fleet = _settled_fleet()
    dead = owner_views.accountant('c150', _OWNERS)
    node: quotas.Quotas = fleet.nodes[_OWNERS[_OWNERS.index(dead) - 1]]
    holder = node.holders['c150']
    holder.requests.on_sent(7, fleet.now_ms)
    grant = messages.QuotaGrant(dead, 'c150', 7, 5, 400, -1)
    assert holder.on_grant(grant, fleet.now_ms + 390)
    assert not holder.on_grant(grant, fleet.now_ms + 390)
    assert holder.take_token(fleet.now_ms + 399)
    assert not holder.take_token(fleet.now_ms + 400)


def test_granted_tokens_leave_no_room_until_they_expire():
    """Guards against a bucket that refills while its tokens are unspent."""
    bucket = buckets.TokenBucket()
    bucket.resize(10, 20, 0)
    assert bucket.grant(20, 2400, 2000) == 20
    assert not bucket.grant(20, 2799, 2399)
    assert bucket.grant(20, 2900, 2500) == 1


def test_versions_in_quick_succession_add_no_tokens():
    """Guards against a new version of the limits that fills the bucket."""
    bucket = buckets.TokenBucket()
    for now_ms in range(100):
        bucket.resize(10 + now_ms % 2, 20 + now_ms, now_ms)
    assert bucket.level < 2


def test_metrics_show_who_limits_a_customer():
    """Guards against a customer whose refusals nobody can explain."""
    fleet = _settled_fleet()
    name = owner_views.accountant('c20', _OWNERS)
    node = fleet.nodes[name]
    node.admit('c20', fleet.now_ms)
    states = node.states(fleet.now_ms)
    lines = list(metric_lines.format_states(states))
    prefix = 'jacinthhaven_customer_'
    assert f'{prefix}rate_per_s{{customer="c20"}} 32.0' in lines
    assert f'{prefix}admitted_total{{customer="c20"}} 1' in lines
    shown = f'customer="c20",accountant="{name}"'
    assert f'{prefix}accountant_here{{{shown}}} 1' in lines


def test_refused_operations_are_told_when_to_retry():
    """Guards against refused clients that all come back at the same time."""
    fleet = _settled_fleet()
    name = owner_views.accountant('c20', _OWNERS)
    answers = [fleet.nodes[name].admit('c20', fleet.now_ms) for _ in range(99)]
    retries = [answer.retry_ms for answer in answers if not answer.admitted]
    assert len(retries) > 10
    assert max(retries) - min(retries) > 100


def _only_owner(limit: limits.Limit) -> quotas.Quotas:
    """Return the limits at a node that has just started as the only owner."""
    started = quotas.Quotas(_no_message, random.Random(1))
    started.configure({'ann': limit}, 1000)
    started.update_owners(['n1'], 'n1', 1000)
    started.tick(1000)
    return started


def _no_message(_name: str, _message: object) -> None:
    raise AssertionError('the only owner needs no message')


def _decide(
    known: quotas.Quotas, asked_ms: int, until_ms: int
) -> list[holder.Admission]:
    """Ask for one operation again and again until it is decided."""
    decisions = [known.admit('ann', asked_ms)]
    for now_ms in range(asked_ms + 15, until_ms, 15):
        known.tick(now_ms)
        if decisions[-1].wait_until_ms is None:
            return decisions
        decisions.append(known.admit('ann', now_ms, asked_ms))
    return decisions


def test_operations_wait_while_the_accountant_has_just_started():
    """Guards against refusing all limited customers after a power loss."""
    decisions = _decide(_only_owner(limits.Limit(10, 10)), 1000, 2000)
    assert len(decisions) > 1
    assert decisions[-1].admitted


def test_operations_below_the_limit_wait_for_a_new_accountant():
    """Guards against refusals where an owner has replaced another one."""
    known = _only_owner(limits.Limit(4, 40))
    for now_ms in range(1000, 4000, 100):
        known.tick(now_ms)
    known.accountant.acting('ann', 4000).bucket.empty(4000)
    decisions = _decide(known, 4000, 5000)
    assert len(decisions) > 1
    assert decisions[-1].admitted


def test_operations_beyond_the_limit_do_not_wait_for_a_new_accountant():
    """Guards against requests that are held although they cannot be served."""
    known = _only_owner(limits.Limit(4, 40))
    for now_ms in range(1000, 4000, 100):
        known.tick(now_ms)
    known.accountant.acting('ann', 4000).bucket.empty(4000)
    decisions = [known.admit('ann', 4000) for _ in range(20)]
    assert sum(found.wait_until_ms is not None for found in decisions) <= 4
    assert decisions[-1].retry_ms
