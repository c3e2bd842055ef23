"""Checks of the invariants over a whole history and the surviving logs.

The checks know only what callers saw, what the instances executed and
which entries survived; they share no code with the decisions they check.
"""

import bisect
import collections
import types
import typing

import msgspec

from jacinthhaven.standins import replicated_log
from scenarios import control_checks, evidence, history

_MAX_SHOWN = 5
_LOGGED = frozenset((history.WRITE, history.COMMIT))

Findings = typing.Iterator[str]


def check_read_your_writes(facts: evidence.Evidence) -> Findings:
    """Yield reads that miss an acknowledged write of their own session."""
    for read in facts.log.by_kind(history.READ):
        seen = set(evidence.rows(read))
        for write in facts.acknowledged.get((read.database, read.key), ()):
            own = write.session == read.session
            if own and write.at_ms <= read.sent_ms and write.tag not in seen:
                yield f'{read} misses own write {write.tag}'


def check_ages(facts: evidence.Evidence) -> Findings:
    """Yield reads whose data was older than allowed when they were sent."""
    for read in facts.log.by_kind(history.READ):
        seen = set(evidence.rows(read))
        oldest_ms = read.sent_ms - (read.max_age_ms or facts.current_ms)
        for write in facts.acknowledged.get((read.database, read.key), ()):
            if write.at_ms < oldest_ms and write.tag not in seen:
                yield f'{read} misses {write.tag} of {write.at_ms} ms'


def check_durable(facts: evidence.Evidence) -> Findings:
    """Yield acknowledged writes that are not in the log exactly once."""
    for change in facts.log.changes:
        found = facts.entries_of(change)
        if change.conclusion == history.DONE and found != 1:
            yield f'{change} is done but {found} times in the log'


def check_not_run(facts: evidence.Evidence) -> Findings:
    """Yield writes refused as not run that are in the log."""
    for change in facts.log.changes:
        refused = change.conclusion == history.NOT_RUN
        if refused and change.session_id and facts.entries_of(change):
            yield f'{change} is not_run but in the log'


def check_once(facts: evidence.Evidence) -> Findings:
    """Yield request keys and values that are in the log more than once."""
    written: collections.Counter[str] = collections.Counter()
    for applied in facts.applied.values():
        if applied.key and len(applied.entries) > 1:
            yield f'{applied.database}: key {applied.key} is there twice'
        written.update(
            step.value for entry in applied.entries for step in entry.steps
        )
    for tag, count in written.items():
        if count > 1:
            yield f'{tag} was written {count} times'


def check_transactions(facts: evidence.Evidence) -> Findings:
    """Yield log entries that are not exactly the change of one caller."""
    changes = {
        (change.database, change.request_key): change
        for change in facts.log.changes
        if change.session_id
    }
    for place, applied in facts.applied.items():
        change = changes.get(place)
        if change is not None and applied.steps != change.steps:
            yield f'{change} sent {change.steps}, log has {applied.steps}'
        committed = applied.entries[0].kind == replicated_log.COMMIT
        if change is None and committed:
            yield f'{place}: nobody committed {applied.steps}'


def check_rejections(facts: evidence.Evidence) -> Findings:
    """Yield statements that met the open transaction of another caller.

    All statements of the callers are valid, so a rejection means that
    another transaction was open on the connection.
    """
    for request in facts.log.requests:
        if request.answer and request.answer.error == 'statement_rejected':
            yield f'{request} was rejected'


def check_answers(facts: evidence.Evidence) -> Findings:
    """Yield answers that do not belong to their request or are partial."""
    for request in facts.log.requests:
        if request.answer is None:
            continue
        wrong = _wrong_labels(request)
        if not wrong and request.outcome == history.DONE:
            wrong = _wrong_rows(request, facts)
        if wrong:
            yield f'{request} got {wrong}'


def check_terms(facts: evidence.Evidence) -> Findings:
    """Yield writes acknowledged by a primary that had been replaced."""
    newest = collections.defaultdict(list)
    done = [
        request
        for request in facts.log.requests
        if request.kind in _LOGGED and request.outcome == history.DONE
    ]
    done.sort(key=_answered_ms)
    for request in done:
        terms = newest[request.database]
        before = bisect.bisect_left(terms, (request.sent_ms, 0))
        term = request.answer.term
        if before and terms[before - 1][1] > term:
            yield f'{request} was acknowledged in an ended term'
        if terms:
            term = max(terms[-1][1], term)
        terms.append((request.answered_ms, term))


def check_connections(facts: evidence.Evidence) -> Findings:
    """Yield instances that had more connections than their limit."""
    for name, peak in facts.peaks.items():
        if peak > facts.connection_limit:
            yield f'{name} had {peak} connections'


def check_resolved(facts: evidence.Evidence) -> Findings:
    """Yield writes whose outcome stays unknown after all faults ended."""
    for change in facts.log.changes:
        if change.conclusion == history.UNKNOWN and change.session_id:
            yield f'{change} has no known outcome'


def check_errors(facts: evidence.Evidence) -> Findings:
    """Yield exceptions that the decision code raised."""
    yield from facts.errors


CHECKS = types.MappingProxyType(
    {
        'read_your_writes': check_read_your_writes,
        'durable': check_durable,
        'not_run': check_not_run,
        'once': check_once,
        'transactions': check_transactions,
        'rejections': check_rejections,
        'answers': check_answers,
        'ages': check_ages,
        'terms': check_terms,
        'connections': check_connections,
        'leaving': control_checks.check_leaving,
        'resolved': check_resolved,
        'errors': check_errors,
        'revisions': control_checks.check_revisions,
        'in_force': control_checks.check_in_force,
        'one_preset': control_checks.check_one_preset,
        'operators': control_checks.check_operators,
        'races': control_checks.check_races,
        'no_promotion': control_checks.check_no_promotion,
        'planned_stop': control_checks.check_planned_stop,
    },
)
# Checks of every scenario; the others hold in certain scenarios only.
_SPECIAL = frozenset(('no_promotion', 'planned_stop'))
DEFAULT = tuple(name for name in CHECKS if name not in _SPECIAL)


def check(
    facts: evidence.Evidence,
    names: typing.Iterable[str],
) -> dict[str, list[str]]:
    """Return the violations of some invariants by name, if there are any."""
    found = {name: list(CHECKS[name](facts)) for name in names}
    return {
        name: violations for name, violations in found.items() if violations
    }


def describe(violations: dict[str, list[str]]) -> list[str]:
    """Return one line for each of the first violations."""
    lines = []
    for name, found in violations.items():
        lines.extend(f'{name}: {line}' for line in found[:_MAX_SHOWN])
        if len(found) > _MAX_SHOWN:
            lines.append(f'{name}: {len(found)} violations in all')
    return lines


def failover_gap_ms(
    log: history.History,
    databases: typing.Iterable[str],
) -> int:
    """Return the longest time without an acknowledged write.

    Args:
      log: History with the faults.
      databases: Databases to look at, each for itself.

    Returns:
      Milliseconds between two acknowledgements of a database, or from the
      first fault to the next one; 0 without faults.
    """
    if not log.faults:
        return 0
    return max(_longest_gap_ms(log, database) for database in databases)


def replica_share(log: history.History) -> float:
    """Return the share of reads with an age that replicas served."""
    roles = [
        read.answer.role
        for read in log.by_kind(history.READ)
        if read.max_age_ms
    ]
    return roles.count('replica') / len(roles) if roles else 0


def _longest_gap_ms(log: history.History, database: str) -> int:
    longest_ms = 0
    previous_ms = log.faults[0].at_ms
    times = sorted(
        change.acknowledged_ms
        for change in log.changes
        if change.database == database
    )
    for at_ms in times:
        if at_ms > previous_ms and previous_ms < log.end_ms:
            longest_ms = max(longest_ms, at_ms - previous_ms)
            previous_ms = at_ms
    return longest_ms


def _answered_ms(request: history.Request) -> int:
    return request.answered_ms


def _wrong_labels(request: history.Request) -> str:
    """Return which session or request an answer belongs to, if another."""
    answer = request.answer
    if answer.session not in {'', request.session_id or answer.session}:
        return 'an answer to another session'
    if request.request_id not in {'', answer.request_id}:
        return f'the answer to {answer.request_id}'
    return ''


def _wrong_rows(request: history.Request, facts: evidence.Evidence) -> str:
    """Return what is wrong with the result of a request."""
    if request.kind == history.READ:
        known = facts.sent[request.database, request.key]
        found = evidence.rows(request)
        if not known.issuperset(found):
            return 'the rows of another key'
        return 'a row twice' if len(set(found)) < len(found) else ''
    if request.kind == history.WRITE:
        place = facts.places.get((request.database, request.tag))
        answered = msgspec.json.decode(request.answer.result)
        if place is not None and answered != place:
            return f'place {answered} instead of {place}'
    return ''
