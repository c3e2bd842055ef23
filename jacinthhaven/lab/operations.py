"""Operations of clients: single statements and transactions, with retries."""

import random
import typing

from jacinthhaven.lab import experiment

# Time for which a commit occupies a slot, as a fraction of a statement's.
_COMMIT_SHARE = 0.2


class Step(typing.NamedTuple):
    """One statement of an operation.

    Attributes:
      text: Statement as sent to the proxy.
      work_ms: Time for which it occupies a slot of an instance.
    """

    text: str
    work_ms: float


class Operation:
    """One operation of a client, with its repetitions.

    Attributes:
      kind: Name of its kind.
      steps: Statements in the order in which they are sent.
      arrived_ms: When the client sent the first statement first.
      retries: How often it may still be repeated.
      attempts: How often it was sent.
      done: Number of statements that have succeeded in this attempt.
      paused_ms: Time that the client has spent between statements.
      customer: Name of the customer that the client belongs to, or ''.
      request_ids: Identifiers of all statements that were sent.
    """

    __slots__ = (
        'kind',
        'steps',
        'arrived_ms',
        'retries',
        'attempts',
        'done',
        'paused_ms',
        'customer',
        'request_ids',
    )

    def __init__(
        self,
        kind: str,
        steps: list[Step],
        arrived_ms: int,
        retries: int,
    ) -> None:
        """Describe an operation that arrives now."""
        self.kind = kind
        self.steps = steps
        self.arrived_ms = arrived_ms
        self.retries = retries
        self.attempts = 0
        self.done = 0
        self.paused_ms = 0
        self.customer = ''
        self.request_ids: list[str] = []


def draw(
    name: str,
    kind: experiment.Kind,
    now_ms: int,
    rng: random.Random,
) -> Operation:
    """Return a random operation of a kind that arrives now."""
    if rng.random() >= kind.transactions:
        steps = [_step(name, kind, rng)]
        return Operation(name, steps, now_ms, kind.retries)
    count = rng.randint(2, 2 * kind.statements - 2)
    steps = [_step(name, kind, rng) for _number in range(count)]
    writes = any(step.text.startswith('WRITE') for step in steps)
    begin = 'BEGIN' if writes else 'BEGIN READ'
    commit_ms = kind.work_ms * _COMMIT_SHARE
    steps.insert(0, Step(begin, 0))
    steps.append(Step('COMMIT', commit_ms))
    return Operation(name, steps, now_ms, kind.retries)


def _step(name: str, kind: experiment.Kind, rng: random.Random) -> Step:
    work_ms = rng.expovariate(1 / kind.work_ms)
    if rng.random() < kind.writes:
        return Step(f'WRITE {name} 1', work_ms)
    return Step(f'READ {name}', work_ms)
