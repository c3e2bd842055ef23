"""Faults drawn at random while a customer sends more than its limit allows."""

import random
import typing

from jacinthhaven.quotas import builders, limits, owner_views

CUSTOMER = 'a'
FAULTS = (
    'restart',
    'freeze',
    'change_owners',
    'replace_accountant',
    'cut',
    'change_limit',
    'restart_all',
)
_OWNERS = tuple(f'n{number}' for number in range(7))
# Nodes that execute operations without being owners.
_OTHERS = ('m0', 'm1')
_NAMES = (*_OWNERS, *_OTHERS)
_MS_PER_S = 1000
_DURATION_MS = 26_000
# Times between faults. After a while without one, the limit is used to the full,
# and the reserves are available.
_PAUSES_MS = (500, 2000, 5000, 11_000)
# Nodes learn of new owners and limits within this time.
_LEARNED_MS = 4000
# Offered load as a multiple of the limit, and the times after which it changes.
_OFFERED_FACTORS = (0, 0.6, 5)
_PHASES_MS = (300, 2000, 6000)
_LIMITS = (
    limits.Limit(20, 8),
    limits.Limit(30, 12),
    limits.Limit(60, 20),
    limits.Limit(100, 40),
)
# Factors of the limits that a version brings into force. They are close to 1,
# so that the bound stays close to what is admitted.
_FACTORS = (0.9, 1, 1, 1.05)
# With little slack, small faults are enough to exceed the bound.
_SLACKS = (
    limits.DEFAULT_SLACK,
    limits.Slack(overage=0.02, extra=4),
    limits.Slack(overage=0, extra=6),
)
_NETWORKS = (
    builders.GOOD_NETWORK,
    builders.Network(loss=0.2, duplicated=0.2),
    builders.Network(loss=0.05, duplicated=0.05, late=0.2, late_ms=3000),
    builders.Network(late=0.5, late_ms=700),
)


class Search:
    """One random history.

    Attributes:
      rng: Source of all choices.
      fleet: Nodes and network.
      owners: Present owners; nodes learn of them late.
      limit: Newest limit.
      in_force: Limits and the times at which a node may have used them.
    """

    def __init__(
        self,
        seed: int,
        faults: typing.Sequence[str] = FAULTS,
    ) -> None:
        """Start all nodes at once, with faults and operations to come.

        Args:
          seed: Seed of all choices.
          faults: Kinds of faults, of which at most two are chosen.
        """
        self.rng = random.Random(seed)
        self.slack = self.rng.choice(_SLACKS)
        self.fleet = builders.Fleet(
            seed, self.rng.choice(_NETWORKS), self.slack
        )
        count = self.rng.randint(1, len(_OWNERS) - 1)
        self.owners = set(self.rng.sample(_OWNERS, count))
        self.former: list[tuple[owner_views.Names, int]] = []
        self.base = self.rng.choice(_LIMITS)
        self.limit = self.base
        self.in_force = [(self.limit, 0)]
        self.fleet.limits = {CUSTOMER: self.limit}
        for name in _NAMES:
            self.fleet.start(name, self.owners)
        kinds = self.rng.sample(faults, min(len(faults), 2))
        self.steps = [getattr(self, kind) for kind in kinds]

    def run(self) -> int:
        """Play the history; return the operations beyond the bound."""
        fleet = self.fleet
        end_ms = fleet.now_ms + _DURATION_MS
        at_ms = fleet.now_ms
        while at_ms < end_ms:
            at_ms += self.rng.choice(_PAUSES_MS)
            fleet.add(at_ms, 'call', self.rng.choice(self.steps))
        self._offer(fleet.now_ms, end_ms)
        fleet.run(_DURATION_MS)
        return self.excess()

    def excess(self) -> float:
        """Return the most operations beyond the bound in any window."""
        window_ms = self.slack.window_ms
        times = self.fleet.tally.admitted_ms.get(CUSTOMER, [])
        most = float('-inf')
        first = 0
        for last, time_ms in enumerate(times):
            while times[first] <= time_ms - window_ms:
                first += 1
            allowed = self._bound(times[first] - window_ms, time_ms)
            most = max(most, last - first + 1 - allowed)
        return most

    def restart(self) -> None:
        """Restart a node, sometimes again and again."""
        name = self.rng.choice(_NAMES)
        self.fleet.stop(name)
        at_ms = self.fleet.now_ms
        for _ in range(self.rng.choice((1, 1, 8))):
            at_ms += self.rng.choice((1, 300, 1500))
            self._start_at(name, at_ms)

    def restart_all(self) -> None:
        """Let all nodes lose power."""
        for name in _NAMES:
            self.fleet.stop(name)
            back_ms = self.fleet.now_ms + self.rng.randint(1000, 1500)
            self._start_at(name, back_ms)

    def freeze(self) -> None:
        """Let a node stand still for some seconds."""
        name = self.rng.choice(_NAMES)
        duration_ms = self.rng.choice((200, 700, 2000, 5000))
        until_ms = self.fleet.now_ms + duration_ms
        self.fleet.frozen_until_ms[name] = until_ms

    def change_owners(self) -> None:
        """Let an owner join or leave, or replace some at once."""
        count = self.rng.choice((1, 1, 2))
        changed = self.rng.sample(_OWNERS, count)
        owners = self.owners.symmetric_difference(changed)
        if owners:
            self.former.append((tuple(self.owners), self.fleet.now_ms))
            self.owners = owners
            for name in _NAMES:
                at_ms = self._learned_ms()
                self.fleet.add(at_ms, 'owners', (name, tuple(owners)))

    def replace_accountant(self) -> None:
        """Remove the accountant; it and some others learn this late."""
        removed = owner_views.accountant(CUSTOMER, tuple(self.owners))
        if len(self.owners) < 2:
            return
        self.former.append((tuple(self.owners), self.fleet.now_ms))
        self.owners = self.owners - {removed}
        late = {removed, *self.rng.sample(_NAMES, 2)}
        for name in _NAMES:
            delay_ms = _LEARNED_MS if name in late else 1
            self.fleet.add(
                self.fleet.now_ms + delay_ms,
                'owners',
                (name, tuple(self.owners)),
            )

    def cut(self) -> None:
        """Split the nodes in two groups for some seconds, or join them."""
        self.fleet.group = {name: self.rng.randrange(2) for name in _NAMES}
        joined_ms = self.fleet.now_ms + self.rng.choice((500, 2000, 6000))
        self.fleet.add(joined_ms, 'call', self.fleet.group.clear)

    def change_limit(self) -> None:
        """Bring another limit into force, node by node."""
        factor = self.rng.choice(_FACTORS)
        self.limit = limits.Limit(
            self.base.rate_per_s * factor, self.base.burst * factor
        )
        self.in_force.append((self.limit, self.fleet.now_ms))
        self.fleet.limits = {CUSTOMER: self.limit}
        for name in _NAMES:
            at_ms = self._learned_ms()
            self.fleet.add(at_ms, 'limits', (name, self.fleet.limits))

    def _start_at(self, name: str, at_ms: int) -> None:
        self.fleet.add(at_ms, 'call', lambda: self._start(name))

    def _start(self, name: str) -> None:
        """Start a node, whose first read of the owners may be old."""
        recent_ms = self.fleet.now_ms - _LEARNED_MS
        recent = [
            owners
            for owners, replaced_ms in self.former
            if replaced_ms > recent_ms
        ]
        known = self.rng.choice((tuple(self.owners), *recent))
        self.fleet.start(name, known)
        if known in recent:
            at_ms = self._learned_ms()
            self.fleet.add(at_ms, 'owners', (name, tuple(self.owners)))

    def _learned_ms(self) -> int:
        """Return when a node learns of a change."""
        return self.fleet.now_ms + self.rng.choice(
            (1, self.rng.randrange(_LEARNED_MS), _LEARNED_MS)
        )

    def _offer(self, at_ms: int, end_ms: int) -> None:
        """Let operations arrive at random, mostly at a few nodes."""
        weights = [self.rng.choice((1, 3, 10)) for _ in _OWNERS]
        weights.extend(1 for _ in _OTHERS)
        while at_ms < end_ms:
            phase_ms = self.rng.choice(_PHASES_MS)
            per_s = self.base.rate_per_s * self.rng.choice(_OFFERED_FACTORS)
            offered = per_s * phase_ms / _MS_PER_S
            for _ in range(round(offered)):
                name = self.rng.choices(_NAMES, weights)[0]
                moment_ms = at_ms + self.rng.randrange(phase_ms)
                self.fleet.operate(name, CUSTOMER, moment_ms)
            at_ms += phase_ms

    def _bound(self, from_ms: int, to_ms: int) -> float:
        """Return the largest bound of the limits in force within a time."""
        bounds = []
        until_ms = float('inf')
        for limit, since_ms in reversed(self.in_force):
            if since_ms <= to_ms and until_ms + _LEARNED_MS >= from_ms:
                bounds.append(self.slack.bound(limit))
            until_ms = since_ms
        return max(bounds)
