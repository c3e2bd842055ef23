"""Model of the zones of a deployment, on which a test plays load.

Callers open sessions at relaying nodes, which decide independently of each other
and with the product's code. Owners execute statements in a limited number of slots,
in the order of arrival. There is no network: events are ordered by their times.
"""

import heapq
import itertools
import random
import types
import typing

from jacinthhaven.sql import builders, owner_choice, ownership

ZONES = ('a', 'b', 'c')
SERVICE = 'ledger'
_OWNERS_PER_ZONE = 2
_SMALL_PEERS = 4
# Statements of a session, and the time of a caller between two of them.
_STATEMENTS = 4
_THINK_MS = 20.0
# Largest deviation of the work of a statement from its mean.
_SPREAD = 0.5
# Time of an answer that waits for nothing, in the same zone.
_ANSWER_MS = 1.0
_MS_PER_S = 1000
# Time at the start that is not counted.
_WARM_UP_MS = 2000

# Load of a zone as a multiple of its usual load, from the zone and the time.
Load = typing.Callable[[str, float], float]


class Request(typing.NamedTuple):
    """One kind of request: rate of the whole deployment, work and target."""

    per_s: float
    work_ms: float
    target_ms: float


class Deployment(typing.NamedTuple):
    """Sizes of a deployment, from section 1 of the plan page.

    Attributes:
      nodes: Number of nodes.
      delay_ms: One-way delay between zones.
      client_ms: One-way delay between clients and nodes.
      slots: Slots of an owner, which are those of one database.
      requests: Kinds of requests.
    """

    nodes: int
    delay_ms: float
    client_ms: float
    slots: int
    requests: tuple[Request, ...]


DEPLOYMENTS = types.MappingProxyType(
    {
        'records pool': Deployment(
            89,
            0.5,
            1,
            6,
            (
                Request(72, 11, 200),
                Request(126, 55, 1500),
                Request(340, 33, 400),
            ),
        ),
        'expense claims': Deployment(
            143,
            1.4,
            3,
            4,
            (
                Request(129, 3.8, 155),
                Request(129, 19, 405),
                Request(600, 12, 255),
            ),
        ),
    }
)


def calm(_zone: str, _now_ms: float) -> float:
    """Return the usual load."""
    return 1


def busy_everywhere(_zone: str, _now_ms: float) -> float:
    """Return a load that is too high for every zone."""
    return 2.4


class Burst:
    """Load of which the first zone gets a multiple for a time."""

    def __init__(
        self, factor: float, from_ms: float = 5000, until_ms: float = 12000
    ) -> None:
        """Create a burst from one time until another."""
        self.factor = factor
        self.from_ms = from_ms
        self.until_ms = until_ms

    def __call__(self, zone: str, now_ms: float) -> float:
        """Return the load of a zone."""
        hit = zone == ZONES[0] and self.from_ms <= now_ms < self.until_ms
        return self.factor if hit else 1


class Moving:
    """Load whose callers move from zone to zone every five seconds."""

    period_ms = 5000

    def __init__(self, factor: float) -> None:
        """Create a load of which one zone always gets a multiple."""
        self.factor = factor

    def __call__(self, zone: str, now_ms: float) -> float:
        """Return the load of a zone."""
        turn = int(now_ms // self.period_ms) % len(ZONES)
        rest = (len(ZONES) - self.factor) / (len(ZONES) - 1)
        return self.factor if zone == ZONES[turn] else rest


class Owner:
    """Owner with a limited number of slots.

    Attributes:
      free_ms: When each of the slots is free.
      arrivals: Number of statements that it has got.
      longest_ms: Longest wait of a statement.
    """

    def __init__(self, slots: int) -> None:
        """Start without work."""
        self.free_ms = [float(0) for _slot in range(slots)]
        self.arrivals = 0
        self.longest_ms = float(0)

    def wait_ms(self, now_ms: float) -> float:
        """Return how long a new statement waits."""
        return max(self.free_ms[0] - now_ms, 0)

    def execute(self, now_ms: float, work_ms: float) -> float:
        """Execute a statement and return when it has ended."""
        begin_ms = now_ms + self.wait_ms(now_ms)
        end_ms = begin_ms + work_ms
        heapq.heapreplace(self.free_ms, end_ms)
        self.arrivals += 1
        self.longest_ms = max(self.longest_ms, begin_ms - now_ms)
        return end_ms


class Node:
    """Relaying node.

    Attributes:
      choice: Its choice of owners.
      shares: Time and share after each change of the share.
    """

    def __init__(self, zone: str, policy: str, seed: int) -> None:
        """Create a node of a zone that follows a policy."""
        rng = random.Random(seed)
        self.zone = zone
        self.policy = policy
        self.choice = owner_choice.OwnerChoice(
            zone, rng, builders.FakeJournal()
        )
        self.choice.may_leave = True
        self.choice.update_peers(PEERS)
        self.shares: list[tuple[float, float]] = [(0, 0)]

    def choose(self, now_ms: float) -> str:
        """Return the owner of a new session."""
        if self.policy == 'outflow':
            names = self.choice.order(SERVICE, int(now_ms))
            if self.choice.share != self.shares[-1][1]:
                self.shares.append((now_ms, self.choice.share))
            return names[0]
        names = self.choice.reachable(SERVICE, int(now_ms))
        if self.policy == 'zone-blind':
            return self.choice.rng.choice(names)
        return names[0]


class Outcome:
    """What the callers of a run got.

    Attributes:
      spent_ms: Latency of each statement.
      in_target: Number of statements that were answered within their targets.
      left: Number of statements that left the zone.
    """

    def __init__(self) -> None:
        """Start without statements."""
        self.spent_ms: list[float] = []
        self.in_target = 0
        self.left = 0

    def add(self, spent_ms: float, *, in_target: bool, far: bool) -> None:
        """Count a statement."""
        self.spent_ms.append(spent_ms)
        self.in_target += in_target
        self.left += far

    @property
    def share_in_target(self) -> float:
        """Return the share of the statements within their targets."""
        return self.in_target / len(self.spent_ms)

    @property
    def mean_ms(self) -> float:
        """Return the mean latency."""
        return sum(self.spent_ms) / len(self.spent_ms)

    @property
    def share_left(self) -> float:
        """Return the share of the statements that left their zones."""
        return self.left / len(self.spent_ms)


class Model:
    """Zones of one deployment under one policy.

    Attributes:
      owners: Owners by name.
      nodes: Relaying nodes by zone.
      total: Outcome over all zones.
      by_zone: Outcome by the zone of the caller.
    """

    def __init__(
        self, deployment: Deployment, policy: str, load: Load, seed: int = 1
    ) -> None:
        """Create idle zones."""
        self.deployment = deployment
        self.load = load
        self.rng = random.Random(seed)
        self.owners = {
            name: Owner(deployment.slots)
            for name, peer in PEERS.items()
            if peer.capacity > 1
        }
        per_zone = deployment.nodes // len(ZONES)
        self.nodes = {
            zone: [
                Node(zone, policy, seed * deployment.nodes + number)
                for number in range(index, per_zone * len(ZONES), len(ZONES))
            ]
            for index, zone in enumerate(ZONES)
        }
        self.total = Outcome()
        self.by_zone = {zone: Outcome() for zone in ZONES}
        self.events: list[tuple[float, int, typing.Callable, tuple]] = []
        self.numbers = itertools.count()
        for zone in ZONES:
            for request in deployment.requests:
                self._at(0, self._arrive, zone, request)

    def play(self, for_ms: float) -> 'Model':
        """Play sessions until a time and return the model."""
        while self.events and self.events[0][0] < for_ms:
            now_ms, _number, action, args = heapq.heappop(self.events)
            action(now_ms, *args)
        return self

    def share_at(self, zone: str, now_ms: float) -> float:
        """Return the mean share of the nodes of a zone at a time."""
        shares = [
            [share for at_ms, share in node.shares if at_ms <= now_ms][-1]
            for node in self.nodes[zone]
        ]
        return sum(shares) / len(shares)

    def _at(self, at_ms: float, action: typing.Callable, *args) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, args))

    def _arrive(self, now_ms: float, zone: str, request: Request) -> None:
        """Open a session and schedule the next one."""
        usual = request.per_s / _MS_PER_S / len(ZONES) / _STATEMENTS
        rate = usual * self.load(zone, now_ms)
        pause_ms = self.rng.expovariate(rate)
        self._at(now_ms + pause_ms, self._arrive, zone, request)
        node = self.rng.choice(self.nodes[zone])
        owner = node.choose(now_ms)
        self._send(now_ms, node, owner, request, _STATEMENTS)

    def _send(
        self, now_ms: float, node: Node, owner: str, request: Request, left: int
    ) -> None:
        """Send one statement of a session."""
        far = PEERS[owner].zone != node.zone
        way_ms = 2 * self.deployment.delay_ms if far else 0
        wait_ms = self.owners[owner].wait_ms(now_ms)
        self._measure_later(now_ms, node, owner, wait_ms + way_ms)
        end_ms = now_ms
        # The owner refuses what it cannot serve in time.
        served = wait_ms <= request.target_ms
        if served:
            work_ms = request.work_ms * (
                1 + self.rng.uniform(-_SPREAD, _SPREAD)
            )
            end_ms = self.owners[owner].execute(now_ms, work_ms)
        end_ms += way_ms + 2 * self.deployment.client_ms
        if now_ms >= _WARM_UP_MS:
            in_target = served and end_ms - now_ms <= request.target_ms
            for outcome in (self.total, self.by_zone[node.zone]):
                outcome.add(end_ms - now_ms, in_target=in_target, far=far)
        if left > 1:
            next_ms = end_ms + _THINK_MS
            self._at(next_ms, self._send, node, owner, request, left - 1)

    def _measure_later(
        self, now_ms: float, node: Node, owner: str, delay_ms: float
    ) -> None:
        """Let a node measure a statement that needs no database."""
        spent_ms = delay_ms + _ANSWER_MS
        self._at(now_ms + spent_ms, _measure, node, owner, spent_ms)


def _measure(now_ms: float, node: Node, owner: str, spent_ms: float) -> None:
    node.choice.times.sample(owner, round(spent_ms), int(now_ms))


def _peers() -> dict[str, ownership.Peer]:
    """Return owners of each zone, and smaller nodes that make the fleet large."""
    peers = {}
    for number in range(len(ZONES) * _OWNERS_PER_ZONE + _SMALL_PEERS):
        zone = ZONES[number % len(ZONES)]
        large = number < len(ZONES) * _OWNERS_PER_ZONE
        peers[f'n{number}'] = ownership.Peer(
            ('127.0.0.1', number + 1), zone, 2.15 if large else 0.516
        )
    return peers


PEERS = types.MappingProxyType(_peers())
