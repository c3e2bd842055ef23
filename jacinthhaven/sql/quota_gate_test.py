"""Tests of the operations that wait for the limit of their customer."""

import msgspec

from jacinthhaven.quotas import limits, quotas
from jacinthhaven.sql import builders, customer_keys, records, statements

_KEY = 'k-ann'
_CUSTOMER = 'ann'


def _limited_rig(rate_per_s: float, burst: float) -> builders.Rig:
    """Return a gateway that is the accountant of its only customer."""
    rig = builders.Rig()
    customer = records.Customer(_CUSTOMER, rate_per_s, burst)
    known = msgspec.structs.replace(
        builders.configuration(2),
        customers={customer_keys.digest(_KEY): customer},
    )
    rig.gateway.configure(known, rig.now_ms)
    limited = quotas.Quotas(_no_message, builders.seeded_random())
    limited.configure(limits.of_customers([customer]), rig.now_ms)
    limited.update_owners(['n1'], 'n1', rig.now_ms)
    rig.gateway.quota_gate.connect(limited)
    for _ in range(200):
        limited.tick(rig.now_ms)
        rig.run(50)
    return rig


def _no_message(_name: str, _message: object) -> None:
    raise AssertionError('the only owner needs no message')


def test_operations_beyond_the_limit_are_refused_at_once():
    """Guards against customers that take more than their limit."""
    rig = _limited_rig(1, 3)
    number = rig.connect(key=_KEY)
    answers = [rig.ask(number, 'READ k') for _ in range(60)]
    refused = [answer for answer in answers if answer.code is not None]
    assert len(answers) - len(refused) <= limits.DEFAULT_SLACK.bound(
        limits.Limit(1, 3)
    )
    assert refused
    for answer in refused:
        assert answer.code is statements.Code.BUSY
        assert answer.detail.startswith('quota, retry in ')


def test_transaction_counts_once():
    """Guards against transactions that fail halfway for their limit."""
    rig = _limited_rig(100, 2)
    number = rig.connect(key=_KEY)
    rig.ask(number, 'BEGIN')
    for step in range(60):
        assert rig.ask(number, f'WRITE k{step} data').code is None
    assert rig.ask(number, 'COMMIT').code is None
