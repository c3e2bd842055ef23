"""Checks of configuration, presets, planned stops and leaving servers."""

import collections
import typing

from jacinthhaven.standins import replicated_log
from scenarios import evidence, fake_store, history

# An accepted configuration is in force everywhere within this time.
_IN_FORCE_MS = 7000
_LEAVING_LIMIT_MS = 5000

Findings = typing.Iterator[str]


def check_revisions(facts: evidence.Evidence) -> Findings:
    """Yield nodes that decided under an older revision than before."""
    newest: dict[str, int] = {}
    for route in facts.routes:
        known = newest.get(route.node, 0)
        if route.revision < known:
            yield f'{route} came after revision {known}'
        newest[route.node] = max(known, route.revision)


def check_in_force(facts: evidence.Evidence) -> Findings:
    """Yield decisions under a revision that was replaced long before.

    A decision must use every change that was accepted 7 s before, and
    every change that an operator was told to be in force.
    """
    due = [
        (change.at_ms + _IN_FORCE_MS, change.revision)
        for change in facts.written
    ]
    due.extend(
        (answer.at_ms, answer.result.revision)
        for answer in facts.answers
        if answer.result.in_force
    )
    due.sort()
    needed = 0
    for route in facts.routes:
        while due and due[0][0] < route.at_ms:
            needed = max(needed, due.pop(0)[1])
        if route.revision < needed:
            yield f'{route} ignores revision {needed}'


def check_one_preset(facts: evidence.Evidence) -> Findings:
    """Yield decisions whose preset is not the one of their revision."""
    by_revision: dict[int, str] = {}
    chosen = ''
    for change in facts.written:
        if change.key == fake_store.PRESET:
            chosen = change.preset
        by_revision[change.revision] = chosen
    for route in facts.routes:
        if by_revision.get(route.revision) != route.preset:
            yield f'{route} has not the preset of its revision'


def check_operators(facts: evidence.Evidence) -> Findings:
    """Yield answers to operators that contradict the store."""
    written = collections.Counter(change.change_id for change in facts.written)
    for answer in facts.answers:
        outcome = answer.result.outcome
        count = written[answer.result.change_id]
        if outcome == history.DONE and count != 1:
            yield f'{answer.result} but was written {count} times'
        if outcome == history.NOT_RUN and count:
            yield f'{answer.result} but was written'


def check_races(facts: evidence.Evidence) -> Findings:
    """Yield revisions that more than one change has replaced."""
    based = collections.Counter(
        facts.expected.get(change.change_id, -1) for change in facts.written
    )
    for revision, changes in based.items():
        if revision >= 0 and changes > 1:
            yield f'{changes} changes replaced revision {revision}'


def check_planned_stop(facts: evidence.Evidence) -> Findings:
    """Yield requests that failed, in runs where nothing but stops happens.

    A request that arrives after the listener was closed is sent again by
    its caller, since it was not accepted.
    """
    for request in facts.log.requests:
        if request.outcome != history.DONE and not request.refused:
            yield f'{request} failed: {request.answer}'


def check_leaving(facts: evidence.Evidence) -> Findings:
    """Yield work of leaving instances later than the limit."""
    for executed in facts.executed:
        marked_ms = facts.leaving_ms.get(executed.instance)
        if marked_ms is None:
            continue
        late_ms = executed.at_ms - marked_ms
        if late_ms > _LEAVING_LIMIT_MS:
            yield f'{executed.instance} got work {late_ms} ms after its mark'


def check_no_promotion(facts: evidence.Evidence) -> Findings:
    """Yield databases whose primary was replaced."""
    for database, entry in facts.entries():
        if entry.kind == replicated_log.START and entry.term > 1:
            yield f'{database} entered term {entry.term}'
