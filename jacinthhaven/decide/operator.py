"""Changes of the configuration and of the preset that operators request.

A change is written by compare-and-swap on the revision that the operator
saw, and is in force once no node can decide under an older revision.
"""

import random
import typing

import msgspec

from jacinthhaven.decide import configuration as configurations
from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import (
    messages,
    operator_changes,
    policy_rules,
)
from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import operators, presets, store

# Time to contact a majority and to write. If a write was sent by then without
# an answer, its outcome is unknown.
_WRITE_TIMEOUT_MS = 10_000
# A change that members still have not confirmed is reported as not in force
# after this time.
_CONFIRMATION_TIMEOUT_MS = 90_000
# Allowance for the small difference in rate between the clocks of nodes.
_CLOCK_RATE_MARGIN_MS = 1000
# Members that have not confirmed are probed directly, a few at a time. A member
# that does not answer within the interval counts as silent.
_PROBE_INTERVAL_MS = 1000
_MAX_PROBES_PER_ROUND = 20

_Change = operator_changes.Change
_Messages = list[typing.Any]


class ChangeCoordinator:
    """Runs the changes that operators requested from this node."""

    def __init__(
        self,
        configuration: configurations.PolicyTracker,
        numbers: typing.Iterator[int],
        rng: random.Random,
        routing_names: typing.Collection[str] = (),
    ) -> None:
        """Start without changes.

        Args:
          configuration: Policy of this node.
          numbers: Source of call numbers, shared within the process.
          rng: Source of the jitter.
          routing_names: Registered routing policies; empty to accept any.
        """
        self.configuration = configuration
        self.live = configuration.live
        self.gossip = configuration.gossip
        self.numbers = numbers
        self.rng = rng
        self.routing_names = routing_names
        self.changes: list[_Change] = []

    def handle(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> _Messages:
        """Handle a request of an operator or a reply of the store.

        Returns:
          Messages of type `StoreCall`, `PeerSend`, `ChangeAnswer`,
          `DecisionLine` and `Count`.
        """
        if isinstance(message, operator_changes.ChangeRequest):
            return self._start(message, now_ms)
        if not isinstance(message, messages.StoreReply):
            return []
        for change in tuple(self.changes):
            request = change.pending.finish(message)
            if request is not None:
                sent = self._on_reply(change, request, message.reply, now_ms)
                return sent + self._advance(change, now_ms)
        return []

    def tick(self, now_ms: int) -> _Messages:
        """Advance all changes in progress.

        Returns:
          Messages of the types that `handle` returns.
        """
        sent: _Messages = []
        for change in tuple(self.changes):
            sent.extend(self._advance(change, now_ms))
        return sent

    def _start(
        self,
        request: operator_changes.ChangeRequest,
        now_ms: int,
    ) -> _Messages:
        delay = backoff.Backoff(self.rng)
        change = _Change(request, self.numbers, delay, now_ms)
        self.changes.append(change)
        problems = self._check_body(request.body)
        if problems:
            failure = failures.BAD_REQUEST.because('the document is not valid')
            return self._finish(change, change.answer(failure, problems))
        if not self.live.has_majority(now_ms):
            self.gossip.collect_ages(now_ms)
        return self._advance(change, now_ms)

    def _check_body(
        self,
        body: operators.PresetSwitch | operators.ConfigApply,
    ) -> policy_rules.Problems:
        if isinstance(body, operators.PresetSwitch):
            return []
        document = presets.Configuration(presets=body.presets)
        problems = policy_rules.check_configuration(
            document,
            self.routing_names,
        )
        if len(msgspec.json.encode(document)) > policy_rules.MAX_DOCUMENT_BYTES:
            reason = f'more than {policy_rules.MAX_DOCUMENT_BYTES} bytes'
            problems.append(operators.Problem('presets', reason))
        return problems

    def _advance(self, change: _Change, now_ms: int) -> _Messages:
        if change not in self.changes:
            return []
        if change.accepted_ms is not None:
            return self._await_confirmations(change, change.accepted_ms, now_ms)
        expired_request = change.pending.request
        if expired_request is not None and change.pending.expire(now_ms):
            self._on_failure(change, expired_request, now_ms)
        if now_ms - change.started_ms > _WRITE_TIMEOUT_MS:
            return self._report_timeout(change, now_ms)
        if change.pending.request is None and now_ms >= change.backoff.retry_ms:
            if change.write_sent or self.live.has_majority(now_ms):
                return self._call_store(change, now_ms)
        return []

    def _call_store(self, change: _Change, now_ms: int) -> _Messages:
        read = change.next_read()
        if read is not None:
            return [change.pending.start(read, now_ms)]
        if change.write_sent and change.is_written():
            revision = change.documents.revisions[change.key]
            return self._accept(change, revision, now_ms)
        current = change.documents.revision
        if current != change.request.body.expected_revision:
            # It cannot be determined whether a write without an answer took
            # effect before the change that is read now.
            kind = (
                failures.UNCONFIRMED if change.reply_lost else failures.CONFLICT
            )
            failure = kind.because(f'the current revision is {current}')
            return self._finish(change, change.answer(failure))
        texts = change.updated_texts()
        problem = _find_problem(texts)
        if problem is not None:
            failure = failures.BAD_REQUEST.because(problem.reason)
            return self._finish(change, change.answer(failure, [problem]))
        change.write_sent = True
        return [change.pending.start(change.swap(texts), now_ms)]

    def _on_reply(
        self,
        change: _Change,
        request: store.Request,
        reply: store.Reply | failures.Failure,
        now_ms: int,
    ) -> _Messages:
        if isinstance(request, store.ReadRequest):
            if isinstance(reply, store.ReadReply):
                change.record_read(request.prefix, reply)
                return []
        elif isinstance(reply, store.SwapReply):
            if reply.succeeded:
                return self._accept(change, reply.revision, now_ms)
            # An earlier copy of this write may have succeeded, so the
            # documents are read again.
            change.documents = operator_changes.Documents()
            change.backoff.fail(now_ms)
            return []
        self._on_failure(change, request, now_ms)
        return [messages.Count('operator_store_failures')]

    def _on_failure(
        self,
        change: _Change,
        request: store.Request,
        now_ms: int,
    ) -> None:
        if isinstance(request, store.SwapRequest):
            change.reply_lost = True
        change.backoff.fail(now_ms)
        change.documents = operator_changes.Documents()

    def _accept(
        self,
        change: _Change,
        revision: int,
        now_ms: int,
    ) -> _Messages:
        change.accepted_ms = now_ms
        change.revision = revision
        line = {
            'change_id': change.request.body.change_id,
            'key': change.key,
            'revision': revision,
        }
        return [messages.DecisionLine('change_accepted', line)]

    def _await_confirmations(
        self,
        change: _Change,
        accepted_ms: int,
        now_ms: int,
    ) -> _Messages:
        names = self.live.unconfirmed(change.revision)
        members = len(self.configuration.directory.member_names)
        expired_ms = (
            accepted_ms + self.live.freshness_ms + _CLOCK_RATE_MARGIN_MS
        )
        # Without a chosen preset, members have no policy to confirm.
        timed_out = now_ms - accepted_ms > _CONFIRMATION_TIMEOUT_MS
        if timed_out or not change.has_policy:
            return self._report_accepted(
                change, in_force=False, unconfirmed=len(names)
            )
        if now_ms >= expired_ms:
            # A silent member is not in contact with the majority that has
            # confirmed, and its last proof has expired.
            majority = (members - len(names)) * 2 > members
            if majority and self._all_silent(change, names, now_ms):
                return self._report_accepted(
                    change, in_force=True, unconfirmed=len(names)
                )
        if (
            now_ms < change.next_probe_ms
            or now_ms < expired_ms - _PROBE_INTERVAL_MS
        ):
            return []
        change.next_probe_ms = now_ms + _PROBE_INTERVAL_MS
        return self._probe(change, names, now_ms >= expired_ms, now_ms)

    def _probe(
        self,
        change: _Change,
        names: list[str],
        expired: bool,
        now_ms: int,
    ) -> _Messages:
        """Probe some of the members that have not confirmed.

        Args:
          change: The change.
          names: Members that have not confirmed.
          expired: Whether all earlier proofs have expired, so that silence
            counts from now on.
          now_ms: Current time.
        """
        sent: _Messages = []
        unasked = [name for name in names if name not in change.probed]
        for name in (unasked or names)[:_MAX_PROBES_PER_ROUND]:
            if expired:
                change.probed.setdefault(name, now_ms)
            sent += self.gossip.probe(name, now_ms)
        return sent

    def _all_silent(
        self,
        change: _Change,
        names: list[str],
        now_ms: int,
    ) -> bool:
        for name in names:
            probed_ms = change.probed.get(name, now_ms)
            if now_ms - probed_ms < _PROBE_INTERVAL_MS:
                return False
            if (
                self.live.direct_contact_ms.get(name, probed_ms - 1)
                >= probed_ms
            ):
                return False
        return True

    def _report_timeout(self, change: _Change, now_ms: int) -> _Messages:
        if change.write_sent:
            failure = failures.UNCONFIRMED.because('the store does not answer')
        elif self.live.has_majority(now_ms):
            failure = failures.STORE_UNAVAILABLE.because('no answer in time')
        else:
            failure = failures.ISOLATED.because(
                'not in contact with a majority of the members',
            )
        return self._finish(change, change.answer(failure))

    def _report_accepted(
        self,
        change: _Change,
        in_force: bool,
        unconfirmed: int,
    ) -> _Messages:
        result = operators.ChangeResult(
            outcome=failures.Outcome.DONE.value,
            change_id=change.request.body.change_id,
            revision=change.revision,
            in_force=in_force,
            unconfirmed=unconfirmed,
        )
        answer = operator_changes.ChangeAnswer(change.request.number, result)
        return self._finish(change, answer)

    def _finish(
        self,
        change: _Change,
        answer: operator_changes.ChangeAnswer,
    ) -> _Messages:
        self.changes.remove(change)
        line = {
            'change_id': answer.result.change_id,
            'outcome': answer.result.outcome,
            'revision': answer.result.revision,
            'in_force': answer.result.in_force,
            'error': answer.result.error,
        }
        return [answer, messages.DecisionLine('change_answered', line)]


def _find_problem(texts: dict[str, str]) -> operators.Problem | None:
    choice = texts[directories.PRESET]
    # The first configuration is written before any preset is chosen.
    if not choice:
        return None
    result = configurations.build_policy(texts[directories.CONFIG], choice, 0)
    return result if isinstance(result, operators.Problem) else None
