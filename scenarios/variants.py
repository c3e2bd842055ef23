"""Deliberately broken variants of single decisions.

A scenario that names a variant must find a violation with it. This shows
that the scenario would notice if the product code had the same fault.
"""

import contextlib
import sys
import types
import typing
from unittest import mock

from jacinthhaven.decide import (
    ages,
    configuration,
    entry,
    fence_round,
    node,
    operator,
    operator_changes,
    owner,
    pending_request,
    positions,
    promotion_rules,
    recovery,
    replies,
    requests,
    tokens,
    work,
)
from jacinthhaven.records import store

Patch = typing.Any
Replaced = typing.Callable[..., typing.Any]


def _always(outcome: typing.Any) -> Replaced:
    def replaced(*_args: typing.Any, **_names: typing.Any) -> typing.Any:
        return outcome

    return replaced


def _forget_positions(original: Replaced) -> Replaced:
    """Send a request to the owner without the session's positions."""

    def replaced(*args: typing.Any) -> typing.Any:
        forward = original(*args)
        forward.needed_position = 0
        return forward

    return replaced


def _release_strict_reads(
    replies_part: replies.Replies,
    job: work.Work,
    answer: typing.Any,
) -> None:
    """Answer a read without a token as soon as it was executed."""
    replies_part.state.answer(job, answer)


def _any_term_position(
    instances: typing.Any,
    database: str,
    _term: int,
) -> int:
    """Count copies in every term for a position."""
    reached = sorted(
        view.copies[database].position
        for view in instances.values()
        if database in view.copies
    )
    return reached[-2] if len(reached) > 1 else 0


def _first_accepted(
    counted: fence_round.FenceRound,
    _inputs: typing.Any,
    *,
    final: bool,
) -> fence_round.RoundResult:
    """Promote the first instance that accepts the term."""
    return fence_round.RoundResult(next(iter(counted.accepted), ''), final)


def _shortest_log(_inputs: typing.Any, fenced: typing.Any) -> str:
    """Promote the instance with the shortest log."""
    return min(fenced, key=lambda name: fenced[name].position)


def _reuse_connection(
    recovery_part: recovery.Recovery,
    transaction: typing.Any,
) -> None:
    """Give the connection of an abandoned transaction to others."""
    recovery_part.state.transactions.end(transaction.transaction_id)
    recovery_part.state.pools[transaction.instance].release(
        transaction.connection,
    )


def _match_in_order(original: Replaced) -> Replaced:
    """Match an answer to the oldest request at the owner that sent it."""

    def replaced(
        entry_part: entry.Entry,
        member: str,
        forwarded: typing.Any,
        now_ms: int,
    ) -> typing.Any:
        for pending in entry_part.pending.values():
            if pending.owner == member:
                forwarded.number = pending.number
                forwarded.attempt = pending.attempt
                break
        return original(entry_part, member, forwarded, now_ms)

    return replaced


def _trust_outcome_refusals(original: Replaced) -> Replaced:
    """Take the refusal of an outcome question for the outcome."""

    def replaced(
        entry_part: entry.Entry,
        pending: pending_request.PendingRequest,
        now_ms: int,
    ) -> typing.Any:
        pending.maybe_run = False
        return original(entry_part, pending, now_ms)

    return replaced


def _repeat_under_new_key(original: Replaced) -> Replaced:
    """Repeat a lost write under another request key."""

    def replaced(recovery_part: recovery.Recovery, job: work.Work) -> None:
        job.request_key = f'{job.request_key}+'
        original(recovery_part, job)

    return replaced


def _refuse_lost(recovery_part: recovery.Recovery, job: work.Work) -> None:
    """Refuse a request whose connection was lost as not run."""
    failure = entry.failures.UNAVAILABLE.because('connection lost')
    recovery_part.state.refuse(job, failure)


def _key_per_attempt(original: Replaced) -> Replaced:
    """Make the entry and the attempt part of the request key."""

    def replaced(member: str, forward: typing.Any, *args: typing.Any) -> Patch:
        job = original(member, forward, *args)
        if isinstance(job, work.Work) and job.request_key:
            job.request_key = f'{job.request_key}@{member}{forward.attempt}'
        return job

    return replaced


def _newest(_samples: typing.Any, _applied: int, proved_ms: int) -> int:
    """Take the data of any copy for as new as the proof of the term."""
    return proved_ms


def _replace(
    place: typing.Any,
    name: str,
    replaced: typing.Any,
) -> Patch:
    return mock.patch.object(place, name, replaced)


def _wrap(
    place: typing.Any,
    name: str,
    wrapper: typing.Callable[[Replaced], Replaced],
) -> Patch:
    return mock.patch.object(place, name, wrapper(getattr(place, name)))


@contextlib.contextmanager
def _confirm_in_any_term() -> typing.Iterator[None]:
    """Confirm writes of an ended term with the positions of the next."""
    counting = _replace(positions, 'confirmed_position', _any_term_position)
    keeping = _replace(recovery.Recovery, 'on_new_term', _always(None))
    with counting, keeping:
        yield


def _any_known_policy(
    settled: configuration.PolicyTracker,
    _now_ms: int,
) -> configuration.Freshness:
    """Take every known policy for fresh."""
    if settled.policy is None:
        return configuration.Freshness.ISOLATED
    return configuration.Freshness.FRESH


def _swap_without_comparison(original: Replaced) -> Replaced:
    """Write a document whatever revision the store has."""

    def replaced(*args: typing.Any) -> store.SwapRequest:
        return store.SwapRequest((), original(*args).changes)

    return replaced


@contextlib.contextmanager
def _refuse_lost_change() -> typing.Iterator[None]:
    """Take a write without answer for one that did not happen."""

    def forget(  # noqa: WPS430
        _part: operator.ChangeCoordinator,
        change: typing.Any,
        _request: typing.Any,
        now_ms: int,
    ) -> None:
        change.backoff.fail(now_ms)
        change.documents = operator_changes.Documents()

    unread = _replace(operator_changes.Change, 'is_written', _always(False))
    with unread, _replace(operator.ChangeCoordinator, '_on_failure', forget):
        yield


VARIANTS = types.MappingProxyType(
    {
        'acknowledge_at_once': lambda: _replace(
            positions,
            'confirmed_position',
            _always(sys.maxsize),
        ),
        'ignore_needed_position': lambda: _replace(
            positions,
            'covers',
            _always(True),
        ),
        'forget_positions': lambda: _wrap(
            pending_request,
            'statement_forward',
            _forget_positions,
        ),
        'release_strict_reads': lambda: _replace(
            replies.Replies,
            '_answer_read',
            _release_strict_reads,
        ),
        'forget_earlier_databases': lambda: _replace(
            tokens.Token,
            'covers',
            _always(True),
        ),
        'keep_old_token': lambda: _replace(
            entry.Entry,
            '_extend_token',
            _always(None),
        ),
        'confirm_in_any_term': _confirm_in_any_term,
        'count_primary_twice': lambda: _replace(
            positions,
            '_primary_position',
            _always(1),
        ),
        'promote_without_majority': lambda: _replace(
            fence_round.FenceRound,
            'count',
            _first_accepted,
        ),
        'promote_shortest_log': lambda: _replace(
            promotion_rules,
            'choose',
            _shortest_log,
        ),
        'promote_on_own_suspicion': lambda: _replace(
            promotion_rules,
            '_evidence',
            _always('own suspicion'),
        ),
        'reuse_transaction_connection': lambda: _replace(
            recovery.Recovery,
            'abort',
            _reuse_connection,
        ),
        'match_answers_in_order': lambda: _wrap(
            entry.Entry,
            'on_answer',
            _match_in_order,
        ),
        'trust_outcome_refusals': lambda: _wrap(
            entry.Entry,
            '_accept',
            _trust_outcome_refusals,
        ),
        'repeat_under_new_key': lambda: _wrap(
            recovery.Recovery,
            'repeat',
            _repeat_under_new_key,
        ),
        'refuse_lost_requests': lambda: _replace(
            recovery.Recovery,
            'recover',
            _refuse_lost,
        ),
        'key_per_attempt': lambda: _wrap(
            requests,
            'statement_work',
            _key_per_attempt,
        ),
        'ignore_leaving': lambda: _replace(
            owner.Owner,
            'set_leaving',
            _always(None),
        ),
        'stop_without_waiting': lambda: _replace(node.Node, 'idle', True),
        'refuse_lost_change': _refuse_lost_change,
        'write_without_comparison': lambda: _wrap(
            operator_changes.Change,
            'swap',
            _swap_without_comparison,
        ),
        'never_isolated': lambda: _replace(
            configuration.PolicyTracker,
            'freshness',
            _any_known_policy,
        ),
        'trust_any_age': lambda: _replace(ages, '_newest', _newest),
        'take_whole_limit': lambda: _replace(
            owner.Owner,
            'share',
            property(lambda group_owner: group_owner.group.connection_limit),
        ),
    },
)


@contextlib.contextmanager
def applied(name: str) -> typing.Iterator[None]:
    """Replace a decision by a broken variant; an empty name changes nothing."""
    if not name:
        yield
        return
    with VARIANTS[name]():
        yield
