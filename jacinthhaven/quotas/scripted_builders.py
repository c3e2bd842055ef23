"""Histories in which the customer uses its limit to the full."""

import random

from jacinthhaven.quotas import builders, limits, owner_views

CUSTOMER = 'a'
_OWNERS = tuple(f'n{number}' for number in range(5))
_LIMIT = limits.Limit(100, 60)
# So little that 1.5 s of a second accountant exceed it.
_LITTLE_SLACK = limits.Slack(overage=0, extra=6)
_SETTLED_MS = 12_000
_OFFERED_PER_MS = 1
_ACCOUNTANT = owner_views.accountant(CUSTOMER, _OWNERS)


def replaced_accountant(phase_ms: int) -> float:
    """Let the accountant learn late that another node replaces it.

    Args:
      phase_ms: Shift against the questions of the accountant.

    Returns:
      The most operations beyond the bound in any window.
    """
    fleet = _overloaded(_LITTLE_SLACK)
    fleet.run(3000 + phase_ms)
    others = tuple(name for name in _OWNERS if name != _ACCOUNTANT)
    for name in others:
        fleet.show_owners(name, others)
    fleet.run(4000)
    fleet.show_owners(_ACCOUNTANT, others)
    fleet.run(2000)
    return _excess(fleet)


def restarted_holders() -> float:
    """Restart all nodes but the accountant again and again.

    Returns:
      The most operations beyond the bound in any window.
    """
    fleet = _overloaded(limits.DEFAULT_SLACK)
    for _ in range(7):
        fleet.run(800)
        for name in _OWNERS:
            if name != _ACCOUNTANT:
                fleet.start(name, _OWNERS)
    return _excess(fleet)


def replaced_by_started_owners() -> float:
    """Replace all owners by nodes that have just started.

    Returns:
      The most operations beyond the bound in any window.
    """
    fleet = _overloaded(_LITTLE_SLACK, _OWNERS[:2])
    fleet.run(3000)
    started = _OWNERS[2:]
    for name in started:
        fleet.start(name, started)
    fleet.run(4000)
    for name in _OWNERS[:2]:
        fleet.show_owners(name, started)
    fleet.run(2000)
    return _excess(fleet)


def _overloaded(
    slack: limits.Slack, owners: tuple[str, ...] = _OWNERS
) -> builders.Fleet:
    """Return a settled fleet to which too many operations come for 10 s."""
    fleet = builders.Fleet(1, slack=slack)
    fleet.limits = {CUSTOMER: _LIMIT}
    for name in _OWNERS:
        fleet.start(name, owners)
    fleet.run(_SETTLED_MS)
    rng = random.Random(2)
    for _ in range(10_000 * _OFFERED_PER_MS):
        at_ms = fleet.now_ms + rng.randrange(10_000)
        fleet.operate(rng.choice(_OWNERS), CUSTOMER, at_ms)
    return fleet


def _excess(fleet: builders.Fleet) -> float:
    most = fleet.tally.most_in_window(CUSTOMER)
    return most - fleet.slack.bound(_LIMIT)
