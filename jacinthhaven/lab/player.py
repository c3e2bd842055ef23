"""Plays an experiment against the product's decisions in virtual time.

All proxies own the service and share its instances. Arrivals are open: they do
not slow down when the proxies do. The platform is reduced to its promotion of
an instance: when the leader is silent, the replica that has received most
leads after the time of suspicion and promotion.
"""

import functools
import itertools
import math
import random

from jacinthhaven.lab import (
    constants,
    emulator,
    experiment,
    operations,
    outcomes,
    proxies,
    schedule,
)
from jacinthhaven.platform import client_wire
from jacinthhaven.sql import election, records, statements

# As in the process.
_TICK_MS = 20
# Time for the links to open before the load starts.
_LEAD_MS = 1000
_MS_PER_S = 1000
# Range of the factor by which clients vary their pauses.
_RETRY_JITTER = (0.5, 1.5)

_PROMISES = frozenset(
    (
        statements.Code.BUSY,
        statements.Code.ABORTED,
        statements.Code.BEHIND,
        statements.Code.READ_ONLY,
    ),
)


class Player:
    """One play of one variant with one seed.

    Attributes:
      tallies: Outcomes by kind.
      journal: Decisions of the proxies.
      ended: Operations with their outcomes, for an account of the work.
    """

    def __init__(self, described: experiment.Experiment, seed: int) -> None:
        """Start the group and the proxies."""
        self.described = described
        # Arrivals are the same for all variants of a seed.
        self.arrivals = {
            kind: random.Random(f'{seed} {kind}') for kind in described.load
        }
        self.choices = random.Random(f'{seed} choices')
        self.customers = random.Random(f'{seed} customers')
        self.plan = schedule.Schedule(_LEAD_MS)
        self.instances = emulator.Instances(
            described.group,
            self.plan,
            random.Random(f'{seed} faults'),
        )
        self.clients = proxies.Clients()
        self.clients.on_answer = self._on_answer
        self.journal = proxies.CountingJournal()
        self.network = proxies.Network(self.plan)
        self.proxies = [
            proxies.Proxy(
                self.instances,
                self.clients,
                self.network,
                f'proxy-{number}',
                self.journal,
            )
            for number in range(described.group.proxies)
        ]
        self.tallies = {kind: outcomes.Tally() for kind in described.load}
        self.open: dict[int, tuple[operations.Operation, proxies.Proxy]] = {}
        self.ended: list[tuple[operations.Operation, outcomes.Outcome]] = []
        self.numbers = itertools.count(1)
        self.silent_ms: int | None = None

    def play(self) -> outcomes.Tallies:
        """Play to the end and return what callers got."""
        self._configure()
        start_ms = self.plan.now_ms + _LEAD_MS
        for number, proxy in enumerate(self.proxies):
            # Processes do not tick at the same time.
            first_ms = self.plan.now_ms + number * _TICK_MS / len(self.proxies)
            self.plan.at(first_ms, functools.partial(self._tick, proxy))
        self._plan_faults(start_ms)
        for name in self.described.load:
            arrive = functools.partial(self._arrive, name, start_ms)
            self.plan.at(start_ms, arrive)
        longest_ms = max(
            kind.deadline_ms for kind in self.described.load.values()
        )
        self.plan.run(start_ms + self.described.length_ms + longest_ms)
        for number in tuple(self.open):
            self._end(number, outcomes.Outcome.FAILED)
        return self.tallies

    def slot_time(self) -> outcomes.SlotTime:
        """Return what the execution time of all statements was spent on."""
        spent = outcomes.SlotTime()
        for operation, outcome in self.ended:
            for request_id in operation.request_ids:
                once_ms = self.instances.work_ms[request_id]
                in_slots_ms = self.instances.slot_ms.get(request_id, 0)
                spent.add(outcome, once_ms, in_slots_ms)
        return spent

    def _configure(self) -> None:
        routes = {
            name: records.Route(
                name,
                emulator.SERVICE,
                kind.route_mode,
                kind.timeout_ms or kind.deadline_ms,
                kind.target_ms,
                kind.priority,
                kind.max_age_ms,
            )
            for name, kind in self.described.load.items()
        }
        group = self.described.group
        service = records.Service(emulator.SERVICE, group.connections, 0)
        configuration = records.Configuration(
            1, routes, {emulator.SERVICE: service}, 0, self._customers()
        )
        entries = [
            records.Instance(
                name,
                emulator.SERVICE,
                ('127.0.0.1', 1),
                proxies.ZONE,
                group.slots,
                leaving=False,
                claims_primary=name == self.instances.group.primary,
            )
            for name in group.instances
        ]
        addresses = {proxy.name: proxy.address for proxy in self.proxies}
        for proxy in self.proxies:
            proxy.configure(configuration, entries, addresses)

    def _customers(self) -> dict[str, records.Customer] | None:
        count = self.described.customers
        if not count:
            return None
        names = [_customer_name(number) for number in range(count)]
        return {name: records.Customer(name) for name in names}

    def _tick(self, proxy: proxies.Proxy) -> None:
        proxy.tick()
        self._watch_leader()
        self.plan.at(
            self.plan.now_ms + _TICK_MS, functools.partial(self._tick, proxy)
        )

    def _watch_leader(self) -> None:
        """Let the platform promote a replica once the leader is doubted."""
        group = self.instances.group
        if group.primary not in self.instances.silent:
            self.silent_ms = None
            return
        if self.silent_ms is None:
            self.silent_ms = self.plan.now_ms
        silent_ms = self.plan.now_ms - self.silent_ms
        wait_ms = election.SUSPICION_MS + self.described.group.promote_ms
        able = [
            instance
            for name, instance in group.instances.items()
            if name not in self.instances.silent
        ]
        if silent_ms >= wait_ms and able:
            best = max(able, key=lambda instance: instance.received)
            group.promote(best.name)

    def _plan_faults(self, start_ms: int) -> None:
        for fault in self.described.faults:
            begin = functools.partial(self._set_fault, fault, active=True)
            end = functools.partial(self._set_fault, fault, active=False)
            self.plan.at(start_ms + fault.at_ms, begin)
            self.plan.at(start_ms + fault.at_ms + fault.for_ms, end)

    def _set_fault(self, fault: experiment.Fault, *, active: bool) -> None:
        name = fault.instance
        strength = fault.strength if active else 0
        instances = self.instances
        match fault.kind:
            case 'silent' if active:
                instances.silent.add(name)
            case 'silent':
                instances.silent.discard(name)
            case 'lag':
                usual_ms = self.described.group.lag_ms
                instance = instances.group.instances[name]
                instance.lag_ms = int(strength) or usual_ms
            case 'slow':
                instances.slots[name].factor = strength or 1
            case _:
                instances.lossy[name] = strength

    def _arrive(self, name: str, start_ms: int) -> None:
        """Start one operation and plan the next one of its kind."""
        kind = self.described.load[name]
        now_ms = self.plan.now_ms
        elapsed_ms = now_ms - start_ms
        if elapsed_ms >= self.described.length_ms:
            return
        rng = self.arrivals[name]
        weights = self._weights(elapsed_ms, name)
        operation = operations.draw(name, kind, now_ms, rng)
        operation.customer = self._draw_customer(weights)
        self._start(operation)
        per_s = kind.per_s * sum(weights) / len(weights)
        per_ms = per_s / _MS_PER_S
        self.plan.at(
            now_ms + rng.expovariate(per_ms),
            functools.partial(self._arrive, name, start_ms),
        )

    def _draw_customer(self, weights: list[float]) -> str:
        """Return the customer of an operation, or '' without customers."""
        numbers = range(self.described.customers)
        if not numbers:
            return ''
        return _customer_name(self.customers.choices(numbers, weights)[0])

    def _weights(self, elapsed_ms: int, kind: str) -> list[float]:
        """Return how many times as much as usual each customer sends."""
        return [
            math.prod(
                burst.factor_at(elapsed_ms, kind, number)
                for burst in self.described.bursts
            )
            for number in range(max(self.described.customers, 1))
        ]

    def _start(self, operation: operations.Operation) -> None:
        """Send an operation from its first statement, in a new session."""
        number = next(self.numbers)
        proxy = self.choices.choice(self.proxies)
        self.open[number] = (operation, proxy)
        operation.attempts += 1
        operation.done = 0
        kind = self.described.load[operation.kind]
        due_ms = operation.arrived_ms + kind.deadline_ms
        self.plan.at(due_ms, functools.partial(self._give_up, number))
        proxy.gateway.on_start(number, operation.kind, operation.customer)
        self._send(number)

    def _send(self, number: int) -> None:
        """Send the next statement of an operation."""
        if number not in self.open:
            return
        operation, proxy = self.open[number]
        step = operation.steps[operation.done]
        request_id = f'r{number}-{operation.done}'
        operation.request_ids.append(request_id)
        self.instances.work_ms[request_id] = step.work_ms
        line = f'QUERY {request_id} {step.text}'
        proxy.gateway.on_statement(
            number,
            client_wire.decode_query(line),
            self.plan.now_ms,
        )

    def _give_up(self, number: int) -> None:
        if number in self.open:
            self._end(number, outcomes.Outcome.FAILED)

    def _on_answer(self, number: int, answer: statements.Answer) -> None:
        if number not in self.open:
            return
        if answer.code is None:
            self._on_success(number)
        elif answer.code in _PROMISES:
            self._refused(number)
        elif answer.code is statements.Code.OUTCOME_UNKNOWN:
            self._end(number, outcomes.Outcome.IN_DOUBT)
        else:
            self._end(number, outcomes.Outcome.FAILED)

    def _on_success(self, number: int) -> None:
        operation, _proxy = self.open[number]
        kind = self.described.load[operation.kind]
        operation.done += 1
        if operation.done < len(operation.steps):
            operation.paused_ms += kind.pause_ms
            self.plan.at(
                self.plan.now_ms + kind.pause_ms,
                functools.partial(self._send, number),
            )
            return
        in_time = self._spent_ms(operation) <= kind.target_ms
        late = outcomes.Outcome.LATE
        self._end(number, outcomes.Outcome.IN_TIME if in_time else late)

    def _refused(self, number: int) -> None:
        """Repeat an operation that was certainly not executed, or end it."""
        operation, _proxy = self.open[number]
        kind = self.described.load[operation.kind]
        pause_ms = kind.retry_ms * 2 ** (operation.attempts - 1)
        pause_ms *= self.choices.uniform(*_RETRY_JITTER)
        again_ms = self.plan.now_ms + pause_ms
        if not operation.retries or (
            again_ms >= operation.arrived_ms + kind.deadline_ms
        ):
            self._end(number, outcomes.Outcome.REFUSED)
            return
        self._close(number)
        operation.retries -= 1
        self.plan.at(again_ms, functools.partial(self._start, operation))

    def _end(self, number: int, outcome: outcomes.Outcome) -> None:
        operation = self._close(number)
        self.ended.append((operation, outcome))
        tally = self.tallies[operation.kind]
        tally.add(
            outcome,
            operation.arrived_ms - 2 * _LEAD_MS,
            self._spent_ms(operation),
        )

    def _close(self, number: int) -> operations.Operation:
        """End the session of an operation."""
        operation, proxy = self.open.pop(number)
        # Not from within the answer, which the gateway is still handling.
        self.plan.at(
            self.plan.now_ms,
            lambda: proxy.gateway.on_closed(number, self.plan.now_ms),
        )
        return operation

    def _spent_ms(self, operation: operations.Operation) -> int:
        return self.plan.now_ms - operation.arrived_ms - operation.paused_ms


def _customer_name(number: int) -> str:
    return f'customer-{number}'


def play(
    described: experiment.Experiment,
    variant: str,
    seed: int,
) -> Player:
    """Play one variant with one seed and return the player."""
    with constants.changed(described.variants[variant]):
        player = Player(described, seed)
        player.play()
    return player
