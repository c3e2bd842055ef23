"""Scenario files: deployment, workload, timed fault steps and checks.

Files are checked completely before a run, and every error is reported
with its line, so that a misspelled fault cannot make a scenario pass.
"""

import pathlib
import types
import typing

import pydantic

from jacinthhaven.adapters import text_file, yaml_file
from jacinthhaven.records import presets
from scenarios import checker, variants

VERBS = frozenset(
    (
        'kill',
        'restart',
        'freeze',
        'thaw',
        'cut',
        'heal',
        'slow',
        'lag',
        'lose',
        'answers_late',
        'disorder',
        'move_sessions',
        'store_down',
        'store_up',
        'store_slow',
        'store_answer_lost',
        'stop',
        'leave',
        'list_leaving',
        'switch_preset',
        'apply_config',
    ),
)
FOLDER = pathlib.Path(__file__).parent / 'cases'


class _Model(pydantic.BaseModel):
    """Part of a scenario file; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', populate_by_name=True)


class Deployment(_Model):
    """Sizes and latencies of section 1.4 of docs/design.md."""

    zones: tuple[str, str, str]
    between_ms: float
    caller_ms: float
    group: str
    databases: tuple[str, ...]
    connection_limit: int
    open_ms: int


DEPLOYMENTS = types.MappingProxyType(
    {
        'exchange': Deployment(
            zones=('macon', 'milledgeville', 'dublin'),
            between_ms=0.5,
            caller_ms=3,
            group='exchange-db',
            databases=('lots', 'settlements', 'certificates'),
            connection_limit=20,
            open_ms=10,
        ),
        'brightline': Deployment(
            zones=('atl-a', 'atl-b', 'atl-c'),
            between_ms=1,
            caller_ms=1,
            group='draftbooks',
            databases=('flushes', 'tap-lines', 'breweries'),
            connection_limit=40,
            open_ms=30,
        ),
    },
)


class Workload(_Model):
    """What the callers do.

    Attributes:
      sessions: Number of callers.
      databases: Databases that they use; all by default.
      think_ms: Mean pause between two requests of a caller.
      reads: Weight of reads.
      writes: Weight of single writes.
      transactions: Weight of transactions.
      own_percent: Share of the reads that read the caller's own row.
      ages_ms: Allowed ages of reads, chosen at random; 0 for current data.
      move_percent: Chance that a caller changes its proxy.
      forget_percent: Chance that a caller drops its token.
      impatient_percent: Chance that a caller closes its connection early.
      repeat_percent: Share of the unknown outcomes that are followed by
        the same request again instead of an outcome question.
      abandon_percent: Chance that a transaction is left open.
      transaction_think_ms: Mean pause between the steps of a transaction.
      deadline_ms: Deadline of every request.
    """

    sessions: int = 16
    databases: list[str] = []
    think_ms: int = 20
    reads: int = 60
    writes: int = 30
    transactions: int = 10
    own_percent: int = 50
    ages_ms: list[int] = [0, 200, 2000]
    move_percent: float = 0
    forget_percent: float = 0
    impatient_percent: float = 0
    repeat_percent: float = 50
    abandon_percent: float = 0
    transaction_think_ms: int = 5
    deadline_ms: int = 3000


class Step(_Model):
    """One fault step: `at_ms` after the start, `do` something.

    Attributes:
      at_ms: Time of the step.
      do: Name of the verb; the verbs are methods of `faults.Faults`.
      places: Names that the step is about: `p1`, `i1`, `primary:lots`,
        `replicas:lots`, `slot:0`, `zone:macon`, `proxies`, `instances`,
        or names with a leading `-` to remove.
      to: Other ends of the connections, for `cut`, `heal` and `slow`.
      by_ms: Delay, for `lag`, `slow`, `answers_late` and `store_slow`.
      when: `before`, `during` or `after`, for `lose`.
      count: Number of requests, for `lose`.
      percent: Share, for `disorder` and `move_sessions`.
      preset: Name of a preset.
    """

    at_ms: int = pydantic.Field(ge=0)
    do: str
    places: list[str] = pydantic.Field(default=[], alias='on')
    to: list[str] = []
    by_ms: int = pydantic.Field(default=0, ge=0)
    when: typing.Literal['before', 'during', 'after'] = 'after'
    count: int = pydantic.Field(default=1, ge=1)
    percent: float = pydantic.Field(default=100, ge=0, le=100)
    preset: str = ''

    @pydantic.field_validator('do')
    @classmethod
    def _known_verb(cls, verb: str) -> str:
        if verb not in VERBS:
            raise ValueError(f'unknown verb {verb}')
        return verb


class Scenario(_Model):
    """One scenario file.

    Attributes:
      name: Name of the scenario.
      guards: Failure that it guards against.
      deployment: Name of the deployment.
      proxies: Number of proxy processes.
      seed: Seed of all random choices.
      duration_ms: Time during which callers start requests.
      settle_ms: Time after all faults have ended.
      workload: What the callers do.
      preset: Parameters of the preset that differ from the defaults.
      steps: Fault steps.
      max_gap_ms: Longest allowed time without an acknowledged write of a
        database after the first fault; 0 for any.
      checks: Names of the invariants to check; all of them by default.
      variant: Broken variant that the scenario must catch.
      variant_check: Invariant that the variant must violate.
    """

    name: str
    guards: str
    deployment: typing.Literal['exchange', 'brightline'] = 'exchange'
    proxies: int = pydantic.Field(default=8, ge=1, le=16)
    seed: int = 1
    duration_ms: int = pydantic.Field(default=8000, ge=100, le=600_000)
    settle_ms: int = 8000
    workload: Workload = Workload()
    preset: dict[str, typing.Any] = {}
    steps: list[Step] = []
    max_gap_ms: int = 0
    checks: list[str] = list(checker.DEFAULT)
    variant: str = ''
    variant_check: str = ''

    @pydantic.field_validator('checks')
    @classmethod
    def _known_checks(cls, checks: list[str]) -> list[str]:
        for check in checks:
            if check not in checker.CHECKS:
                raise ValueError(f'unknown check {check}')
        return checks

    @pydantic.field_validator('variant')
    @classmethod
    def _known_variant(cls, variant: str) -> str:
        if variant and variant not in variants.VARIANTS:
            raise ValueError(f'unknown variant {variant}')
        return variant

    @pydantic.field_validator('preset')
    @classmethod
    def _known_parameters(
        cls,
        preset: dict[str, typing.Any],
    ) -> dict[str, typing.Any]:
        known = presets.Preset.__struct_fields__
        for name in preset:
            if name not in known:
                raise ValueError(f'unknown parameter {name}')
        return preset


def parse(text: str) -> Scenario | list[yaml_file.FileError]:
    """Return the scenario in a YAML text, or all errors by position."""
    document = yaml_file.parse(text)
    if document.errors:
        return sorted(document.errors)
    try:
        return Scenario.model_validate(document.root)
    except pydantic.ValidationError as error:
        return sorted(
            document.error_at(detail['loc'], detail['msg'])
            for detail in error.errors(include_url=False)
        )


class InvalidScenarioError(Exception):
    """A scenario file has errors."""


def load(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    Raises:
      InvalidScenarioError: If the file has errors; names all of them.
    """
    parsed = parse(text_file.read_text(str(path)))
    if isinstance(parsed, Scenario):
        return parsed
    lines = '\n'.join(f'{path.name}:{error}' for error in parsed)
    raise InvalidScenarioError(lines)


def load_all() -> list[Scenario]:
    """Return all scenarios of the folder, ordered by file name."""
    return [load(path) for path in sorted(FOLDER.glob('*.yaml'))]
