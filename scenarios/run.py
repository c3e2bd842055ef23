"""Command `python -m scenarios.run`: runs all scenario files.

Prints one line for each scenario. A scenario with a broken variant runs
twice: the variant must violate the named invariant, and the product code
must violate none.
"""

import dataclasses
import pathlib
import sys
import time
import typing

from scenarios import checker, language, simulation, variants

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
_PERCENT = 100


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of one scenario file.

    Attributes:
      scenario: The scenario.
      report: Run of the product code.
      problems: Violations, and a variant that was not caught.
      caught: Number of violations that the variant caused.
      seconds: Time that both runs took.
    """

    scenario: language.Scenario
    report: simulation.Report
    problems: list[str]
    caught: int = 0
    seconds: float = 0

    def line(self, known: bool) -> str:
        """Return the line that is printed for the scenario."""
        report = self.report
        scenario = self.scenario
        checks = len(scenario.checks)
        variant = scenario.variant
        caught = self.caught
        verdict = 'ok'
        if self.problems:
            verdict = 'KNOWN-RED' if known else 'FAILED'
        share = round(report.replica_share * _PERCENT, 1)
        parts = [
            f'{verdict} {scenario.name}',
            f'seed={scenario.seed}',
            f'checks={checks}',
            f'requests={report.requests}',
            f'done={report.done}',
            f'gap={report.gap_ms}ms',
            f'replica_share={share}%',
        ]
        if scenario.variant:
            parts.append(f'{variant}={caught} violations')
        return ' '.join(parts)


def judge(
    scenario: language.Scenario,
    *,
    with_variant: bool = True,
) -> Verdict:
    """Run a scenario with the product code and with its broken variant."""
    started = time.monotonic()
    report = simulation.run(scenario)
    verdict = Verdict(scenario, report, checker.describe(report.violations))
    limit_ms = scenario.max_gap_ms or report.gap_ms
    if report.gap_ms > limit_ms:
        verdict.problems.append(f'gap is longer than {limit_ms} ms')
    if scenario.variant and with_variant:
        with variants.applied(scenario.variant):
            broken = simulation.run(scenario)
        caught = broken.violations.get(scenario.variant_check, [])
        verdict.caught = len(caught)
        if not verdict.caught:
            verdict.problems.append(f'{scenario.variant} was not caught')
    verdict.seconds = time.monotonic() - started
    return verdict


def known_red() -> list[str]:
    """Return the lines of the list of known failures."""
    if not _KNOWN_RED.exists():
        return []
    return _KNOWN_RED.read_text(encoding='utf-8').splitlines()


def is_known(name: str) -> bool:
    """Return whether a scenario is listed as a known failure."""
    return any(f'scenario {name},' in line for line in known_red())


def main(names: typing.Collection[str] = ()) -> int:
    """Run the named scenarios, all of them by default.

    Returns:
      Exit code: 1 if a scenario failed that is not known to fail.
    """
    failed = 0
    for scenario in language.load_all():
        if names and scenario.name not in names:
            continue
        verdict = judge(scenario)
        known = is_known(scenario.name)
        _print(verdict.line(known))
        for problem in verdict.problems:
            _print(f'    {problem}')
        failed += bool(verdict.problems and not known)
    return int(failed > 0)


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
