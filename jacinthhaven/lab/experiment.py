"""Description of an experiment: database group, load, faults and variants."""

import types
import typing

import pydantic

from jacinthhaven.lab import constants
from jacinthhaven.sql import records

_LONGEST_MS = 600_000
_MAX_STATEMENTS = 12

Positive = typing.Annotated[float, pydantic.Field(gt=0)]
Milliseconds = typing.Annotated[int, pydantic.Field(ge=0, le=_LONGEST_MS)]
Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=1000)]
Name = typing.Annotated[str, pydantic.Field(pattern=r'^[a-z][a-z0-9-]*$')]

_MODES = types.MappingProxyType(
    {mode.value: mode for mode in records.ConsistencyLevel}
)


class _Part(pydantic.BaseModel):
    """Part of an experiment; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Group(_Part):
    """Group of database instances that replicate asynchronously.

    Attributes:
      instances: Names; the first one leads at the start.
      slots: Statements that an instance executes at the same time.
      queue: Statements that wait at an instance before it refuses more.
      connections: Limit of an instance for all its callers.
      handshake_ms: How long a new connection occupies a slot.
      proxies: Proxies that send statements to the instances.
      lag_ms: How late replicas apply what they have received.
      promote_ms: How long the platform takes to promote an instance.
    """

    instances: typing.Annotated[list[Name], pydantic.Field(min_length=1)]
    slots: Count
    queue: Count = 40
    connections: Count
    handshake_ms: Milliseconds = 12
    proxies: Count = 1
    lag_ms: Milliseconds = 60
    promote_ms: Milliseconds = 1000

    @pydantic.field_validator('instances')
    @classmethod
    def _unique(cls, names: list[str]) -> list[str]:
        if len(set(names)) < len(names):
            raise ValueError('an instance is named twice')
        return names


class Kind(_Part):
    """One kind of requests; arrivals do not slow down with the proxy.

    Attributes:
      mode: How recent the data of a read must be.
      per_s: Arrivals a second.
      writes: Part of the statements that write.
      transactions: Part of the requests that are transactions.
      statements: Mean number of statements of a transaction.
      pause_ms: Time between two statements of a transaction, which does not
        count against the target.
      work_ms: Mean time that one statement occupies a slot.
      target_ms: Latency that the operator wants to meet.
      deadline_ms: Time after which the client gives up.
      timeout_ms: Limit of the proxy for one statement; by default the deadline.
      priority: Rank under overload; 0 is the most important.
      max_age_ms: Oldest data that a read may return.
      retries: How often a client repeats what was certainly not executed.
      retry_ms: Mean pause before the first repetition; it doubles with each
        further one.
    """

    mode: typing.Literal['primary', 'bounded', 'own_writes']
    per_s: Positive
    writes: Share = 0
    transactions: Share = 0
    statements: typing.Annotated[
        int, pydantic.Field(ge=2, le=_MAX_STATEMENTS)
    ] = 3
    pause_ms: Milliseconds = 10
    work_ms: Positive
    target_ms: typing.Annotated[int, pydantic.Field(gt=0)]
    deadline_ms: typing.Annotated[int, pydantic.Field(gt=0)]
    timeout_ms: typing.Annotated[int, pydantic.Field(gt=0)] | None = None
    priority: typing.Annotated[int, pydantic.Field(ge=0, le=9)] = 1
    max_age_ms: Milliseconds = 0
    retries: typing.Annotated[int, pydantic.Field(ge=0, le=5)] = 0
    retry_ms: Milliseconds = 50

    @property
    def route_mode(self) -> records.ConsistencyLevel:
        """Return the mode of the route."""
        return _MODES[self.mode]

    @pydantic.field_validator('deadline_ms')
    @classmethod
    def _leaves_time(
        cls,
        deadline_ms: int,
        checked: pydantic.ValidationInfo,
    ) -> int:
        work_ms = checked.data.get('work_ms')
        if work_ms is not None and deadline_ms < work_ms:
            raise ValueError('the deadline is shorter than the work')
        return deadline_ms


class Burst(_Part):
    """More arrivals for a while.

    Attributes:
      at_ms: When it begins.
      for_ms: How long it lasts.
      factor: How many times as many requests as usual arrive.
      kind: Kind whose arrivals change; None for all kinds.
      customer: Number of the customer whose arrivals change, from 0; None for
        all customers.
    """

    at_ms: Milliseconds
    for_ms: Milliseconds
    factor: Positive
    kind: Name | None = None
    customer: typing.Annotated[int, pydantic.Field(ge=0)] | None = None

    def factor_at(self, elapsed_ms: float, kind: str, customer: int) -> float:
        """Return the factor of the arrivals of one kind and customer."""
        if self.kind not in {None, kind}:
            return 1
        if self.customer not in {None, customer}:
            return 1
        is_active = 0 <= elapsed_ms - self.at_ms < self.for_ms
        return self.factor if is_active else 1


class Fault(_Part):
    """Fault of one instance for a while.

    Attributes:
      kind: What happens: it answers nothing, its replica applies late, it
        works slowly, or it loses the answers to a part of its statements.
      instance: Name of the instance.
      at_ms: When it begins.
      for_ms: How long it lasts.
      strength: Milliseconds of a lag, factor of slow work, or part of the
        answers that are lost.
    """

    kind: typing.Literal['silent', 'lag', 'slow', 'lost_answers']
    instance: str
    at_ms: Milliseconds
    for_ms: Milliseconds
    strength: Positive = 1


class Experiment(_Part):
    """Loads and faults, and the variants that are compared.

    Attributes:
      name: Short name, shown in reports.
      seeds: Seeds of the arrivals; each variant plays all of them.
      length_ms: Length of one play.
      group: Database group.
      load: Kinds of requests by name.
      customers: Number of customers, which send equally much unless a burst says
        otherwise; with 0, callers have no keys.
      bursts: Times of higher load.
      faults: Faults of instances.
      variants: Constants of the decisions to change, by variant; a variant
        without changes is today's behaviour.
    """

    name: Name
    seeds: typing.Annotated[list[int], pydantic.Field(min_length=1)]
    length_ms: typing.Annotated[int, pydantic.Field(ge=1000, le=_LONGEST_MS)]
    group: Group
    load: typing.Annotated[dict[Name, Kind], pydantic.Field(min_length=1)]
    customers: typing.Annotated[int, pydantic.Field(ge=0, le=1000)] = 0
    bursts: list[Burst] = []
    faults: list[Fault] = []
    variants: dict[Name, dict[str, float]] = {'today': {}}

    @pydantic.field_validator('variants')
    @classmethod
    def _known(
        cls,
        variants: dict[str, dict[str, float]],
    ) -> dict[str, dict[str, float]]:
        for name, changes in variants.items():
            unknown = changes.keys() - constants.KNOWN.keys()
            if unknown:
                listed = ', '.join(sorted(unknown))
                raise ValueError(f'{name} changes unknown constants: {listed}')
        return variants


def missing_instances(checked: Experiment) -> list[tuple[tuple, str]]:
    """Return the place and message of each fault of an unknown instance."""
    return [
        (('faults', index, 'instance'), f'no instance {fault.instance}')
        for index, fault in enumerate(checked.faults)
        if fault.instance not in checked.group.instances
    ]
