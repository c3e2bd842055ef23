"""Entry: the part of a proxy that accepts requests and forwards them.

The entry validates requests and tokens, chooses the owner that executes a
request, retries it at another owner when that is safe, and matches answers
by request number and attempt, so that a late answer is never returned for
another request.
"""

import heapq
import itertools
import typing

import msgspec

from jacinthhaven.decide import (
    messages,
    owner_watch,
    pending_request,
    requests,
    tokens,
    transactions,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import callers, peers, presets

# Failures after which another owner may be able to execute the request.
_RETRIABLE_ELSEWHERE = frozenset(
    (
        failures.NO_OWNER.code,
        failures.NO_PRIMARY.code,
        failures.DRAINING.code,
        failures.ISOLATED.code,
        failures.STALE_EPOCH.code,
    ),
)
_MAX_ATTEMPTS = 6
# Retry interval of requests for which no owner is usable.
_RETRY_MS = 50
# Kinds that change data or the state of a transaction; without an answer it
# is unknown whether they ran.
_MUTATING = work.LOGGED | {work.STATEMENT, work.ROLLBACK}
_ANSWER_DECODER = msgspec.json.Decoder(callers.Answer)


class OwnerFinder(typing.Protocol):
    """Look-up of the owners of databases; the node implements it."""

    def owners(self, database: str) -> list[str] | None:
        """Return the live owners of a database, preferred ones first.

        Returns:
          Member names; None if the database is not known.
        """

    def alive(self, member: str) -> bool:
        """Return whether a member is considered reachable."""

    def same_zone(self, member: str) -> bool:
        """Return whether a member is in this node's availability zone."""


class Entry:
    """Accepts the requests of one process's callers and answers them."""

    def __init__(
        self,
        member: str,
        signer: tokens.Signer,
        finder: OwnerFinder,
    ) -> None:
        """Create an entry without requests.

        Args:
          member: Name of this node.
          signer: Checks and creates tokens.
          finder: Finds the owners of databases.
        """
        self.member = member
        self.signer = signer
        self.finder = finder
        self.policy = presets.Policy()
        # Why new requests are refused, or None; steps of open transactions
        # are still accepted.
        self.refusal: failures.Failure | None = failures.ISOLATED.because(
            'no configuration is known yet',
        )
        self.pending: dict[int, pending_request.PendingRequest] = {}
        self.waiting: dict[int, pending_request.PendingRequest] = {}
        self.deadlines: list[tuple[int, int]] = []
        self.watch = owner_watch.OwnerWatch(member)
        self.request_ids = itertools.count(1)
        self.outbox: list[typing.Any] = []

    def take(self) -> list[typing.Any]:
        """Return and clear the collected messages."""
        out = self.outbox
        self.outbox = []
        return out

    def on_request(
        self,
        message: messages.CallerRequest,
        now_ms: int,
    ) -> list[typing.Any]:
        """Accept a statement request."""
        body = message.body
        refusal = None if body.kind in work.TRANSACTION_STEPS else self.refusal
        token = self._checked_token(
            body, requests.validation_error(body), refusal
        )
        if isinstance(token, failures.Failure):
            return _refusal(message.number, body, token)
        strict = not token.covers(message.database)
        body.session = token.session
        if body.kind in {work.WRITE, work.COMMIT} and not body.request_id:
            body.request_id = f'{message.number:x}-{next(self.request_ids)}'
        pending = pending_request.PendingRequest(
            message.number,
            message.database,
            body.kind,
            body,
            token,
            now_ms + (body.deadline_ms or self.policy.preset.deadline_ms),
            strict=strict and body.kind in work.READ_YOUR_WRITES,
        )
        return self._accept(pending, now_ms)

    def on_outcome(
        self,
        message: messages.CallerOutcome,
        now_ms: int,
    ) -> list[typing.Any]:
        """Accept a request for the outcome of a write."""
        body = message.body
        token = self._checked_token(
            body, requests.outcome_validation_error(body)
        )
        if isinstance(token, failures.Failure):
            return _refusal(message.number, body, token)
        pending = pending_request.PendingRequest(
            message.number,
            message.database,
            work.RESOLVE,
            body,
            token,
            now_ms + (body.deadline_ms or self.policy.preset.deadline_ms),
            # The write may have run; a refusal of this request does not
            # prove otherwise.
            maybe_run=True,
        )
        return self._accept(pending, now_ms)

    def on_disconnected(self, number: int) -> list[typing.Any]:
        """Drop a request whose caller closed its connection."""
        pending = self.pending.get(number)
        if pending is not None:
            if pending.owner:
                cancel = peers.ForwardCancel(number)
                self.outbox.append(messages.PeerSend(pending.owner, cancel))
            self._finish(number)
        return self.take()

    def on_answer(
        self,
        member: str,
        forwarded: peers.ForwardAnswer,
        now_ms: int,
    ) -> list[typing.Any]:
        """Accept an owner's answer."""
        pending = self.pending.get(forwarded.number)
        if pending is None or (
            (pending.owner, pending.attempt) != (member, forwarded.attempt)
        ):
            self.outbox.append(messages.Count('late_answers'))
            return self.take()
        try:
            answer = _ANSWER_DECODER.decode(forwarded.answer)
        except msgspec.MsgspecError:
            self.outbox.append(messages.Count('bad_answers'))
            answer = callers.Answer(
                failures.Outcome.UNKNOWN.value,
                error=failures.PROTOCOL_ERROR.code,
                detail='the owner sent a malformed answer',
            )
            forwarded.failure = failures.PROTOCOL_ERROR.code
        if self._may_retry_elsewhere(pending, forwarded, now_ms):
            self._release(pending)
            pending.tried.add(member)
            self._dispatch(pending, now_ms)
        else:
            self._complete(pending, answer, forwarded)
        return self.take()

    def on_peer_lost(self, member: str, now_ms: int) -> list[typing.Any]:
        """Recover the requests of a member whose connection is lost."""
        lost = [
            pending
            for pending in self.pending.values()
            if pending.owner == member
        ]
        for pending in lost:
            self._reassign(pending, now_ms)
        self.watch.lost(member)
        return self.take()

    def on_heard(self, member: str, now_ms: int) -> None:
        """Record that a payload has arrived from a member."""
        self.watch.heard(member, now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Expire requests, retry waiting ones and check quiet owners."""
        while self.deadlines and self.deadlines[0][0] <= now_ms:
            number = heapq.heappop(self.deadlines)[1]
            pending = self.pending.get(number)
            if pending is not None:
                self._expire(pending)
        for pending in tuple(self.waiting.values()):
            if now_ms >= pending.retry_ms:
                pending.tried.clear()
                self._dispatch(pending, now_ms)
        self._watch_owners(now_ms)
        return self.take()

    # Acceptance.

    def _checked_token(
        self,
        body: callers.StatementRequest | callers.OutcomeRequest,
        error: str,
        refusal: failures.Failure | None = None,
    ) -> tokens.Token | failures.Failure:
        """Return the session's token, or why the request is refused.

        Args:
          body: The request.
          error: Why its fields are invalid; empty if they are valid.
          refusal: Why new requests are refused, or None.
        """
        if error:
            return failures.BAD_REQUEST.because(error)
        return refusal or self._session_token(body)

    def _session_token(
        self,
        body: callers.StatementRequest | callers.OutcomeRequest,
    ) -> tokens.Token | failures.Failure:
        if not body.session and not body.token:
            return tokens.Token(self.signer.new_session(), complete=True)
        if not self.signer.valid_session(body.session):
            return failures.BAD_TOKEN.because('session id is not authentic')
        if not body.token:
            return tokens.Token(body.session)
        token = self.signer.parse(body.token)
        if isinstance(token, tokens.Token) and token.session != body.session:
            return failures.BAD_TOKEN.because('token is for another session')
        return token

    def _accept(
        self, pending: pending_request.PendingRequest, now_ms: int
    ) -> list[typing.Any]:
        self.pending[pending.number] = pending
        heapq.heappush(
            self.deadlines,
            (pending.deadline_ms, pending.number),
        )
        self._dispatch(pending, now_ms)
        return self.take()

    # Dispatch.

    def _dispatch(
        self, pending: pending_request.PendingRequest, now_ms: int
    ) -> None:
        self.waiting.pop(pending.number, None)
        owner = self._choose(pending)
        if isinstance(owner, failures.Failure):
            if pending.kind == work.COMMIT:
                self._resolve_commit(pending, now_ms)
            else:
                self._fail(pending, owner)
        elif owner:
            self._send(pending, owner, now_ms)
        else:
            pending.retry_ms = now_ms + _RETRY_MS
            self.waiting[pending.number] = pending

    def _choose(
        self, pending: pending_request.PendingRequest
    ) -> str | failures.Failure:
        """Return the owner, empty to retry later, or a final failure."""
        if pending.kind in work.TRANSACTION_STEPS:
            return self._transaction_owner(pending)
        owners = self.finder.owners(pending.database)
        if owners is None:
            return failures.UNKNOWN_DATABASE.because(pending.database)
        excluded = pending.tried | self.watch.silent
        usable = [name for name in owners if name not in excluded]
        return min(usable, key=self._cost, default='')

    def _cost(self, member: str) -> tuple[bool, bool, int]:
        """Return a sort key: this node, its availability zone, least load."""
        return (
            member != self.member,
            not self.finder.same_zone(member),
            self.watch.in_flight.get(member, 0),
        )

    def _transaction_owner(
        self, pending: pending_request.PendingRequest
    ) -> str | failures.Failure:
        owner = transactions.owner_of(pending.body.transaction)
        if owner in pending.tried or not self.finder.alive(owner):
            return failures.UNKNOWN_TRANSACTION.because(
                'the owner of the transaction is not reachable',
            )
        return owner

    def _send(
        self, pending: pending_request.PendingRequest, owner: str, now_ms: int
    ) -> None:
        pending.owner = owner
        pending.attempt += 1
        self.watch.sent(owner, now_ms)
        payload: peers.StatementForward | peers.OutcomeForward
        if pending.kind == work.RESOLVE:
            payload = pending_request.outcome_forward(pending, now_ms)
        else:
            payload = pending_request.statement_forward(pending, now_ms)
        self.outbox.append(messages.PeerSend(owner, payload))

    # Answers.

    def _may_retry_elsewhere(
        self,
        pending: pending_request.PendingRequest,
        forwarded: peers.ForwardAnswer,
        now_ms: int,
    ) -> bool:
        if pending.attempt >= _MAX_ATTEMPTS:
            return False
        unconfirmed = forwarded.failure == failures.UNCONFIRMED.code
        if pending.kind == work.COMMIT and unconfirmed:
            # The transaction has ended; the request key shows its outcome.
            pending.kind = work.RESOLVE
        if pending.kind in work.TRANSACTION_STEPS:
            return False
        if unconfirmed:
            # A write can be repeated safely under its request key.
            pending.maybe_run = True
            return pending_request.has_time(pending, now_ms)
        return forwarded.failure in _RETRIABLE_ELSEWHERE

    def _watch_owners(self, now_ms: int) -> None:
        """Probe quiet owners and reassign the requests of silent ones."""
        due = self.watch.tick(now_ms)
        for member in due.probes:
            probe = peers.Probe(now_ms)
            self.outbox.append(messages.PeerSend(member, probe))
        for silent in due.silent:
            self.outbox.append(messages.Count('silent_owners'))
            for pending in tuple(self.pending.values()):
                # Unlike commits, whose outcome any owner can look up, these
                # steps can only be executed by the transaction's owner.
                pinned = pending.kind in {work.STATEMENT, work.ROLLBACK}
                if pending.owner == silent and not pinned:
                    self._reassign(pending, now_ms)

    def _reassign(
        self, pending: pending_request.PendingRequest, now_ms: int
    ) -> None:
        """Move a request away from an owner that will not answer it."""
        pending.tried.add(pending.owner)
        pending.maybe_run = True
        self._release(pending)
        if pending.kind in work.TRANSACTION_STEPS:
            self._recover_step(pending, now_ms)
        else:
            self._dispatch(pending, now_ms)

    def _recover_step(
        self, pending: pending_request.PendingRequest, now_ms: int
    ) -> None:
        """Handle the loss of the owner that held a transaction."""
        if pending.kind == work.COMMIT:
            self._resolve_commit(pending, now_ms)
        else:
            failure = failures.UNKNOWN_TRANSACTION.because(
                'the connection to the owner of the transaction is lost',
            )
            self._fail(pending, failure)

    def _resolve_commit(
        self, pending: pending_request.PendingRequest, now_ms: int
    ) -> None:
        """Ask any owner for the outcome of a commit.

        The commit, or an earlier one with the same request key, may have
        run before the owner of the transaction was lost.
        """
        pending.kind = work.RESOLVE
        pending.maybe_run = True
        self._dispatch(pending, now_ms)

    def _complete(
        self,
        pending: pending_request.PendingRequest,
        answer: callers.Answer,
        forwarded: peers.ForwardAnswer,
    ) -> None:
        failure = None
        if forwarded.failure:
            kind = failures.BY_CODE.get(
                forwarded.failure,
                failures.PROTOCOL_ERROR,
            )
            failure = kind.because(forwarded.reason)
            if _lacks_proof(pending, failure):
                self._fail(pending, failure)
                return
        elif pending.kind in work.LOGGED or (
            pending.strict and pending.kind == work.READ
        ):
            self._extend_token(pending, answer)
        self._answer(pending, answer, failure)

    def _fail(
        self, pending: pending_request.PendingRequest, failure: failures.Failure
    ) -> None:
        if _lacks_proof(pending, failure):
            failure = failures.UNCONFIRMED.because(failure.reason)
        answer = callers.Answer(
            failure.outcome.value,
            error=failure.kind.code,
            detail=failure.reason,
        )
        self._answer(pending, answer, failure)

    def _expire(self, pending: pending_request.PendingRequest) -> None:
        if pending.owner and pending.kind in _MUTATING:
            pending.maybe_run = True
        failure = failures.DEADLINE.because('deadline has passed')
        self._fail(pending, failure)

    def _extend_token(
        self, pending: pending_request.PendingRequest, answer: callers.Answer
    ) -> None:
        pending.token = tokens.advance(
            pending.token,
            pending.database,
            tokens.Position(answer.term, answer.position),
        )

    def _answer(
        self,
        pending: pending_request.PendingRequest,
        answer: callers.Answer,
        failure: failures.Failure | None,
    ) -> None:
        self._finish(pending.number)
        answer.session = pending.token.session
        answer.request_id = pending.body.request_id
        answer.token = pending.body.token
        if pending.token is not pending.sent_token or not answer.token:
            answer.token = self.signer.sign(pending.token)
        self.outbox.append(
            messages.CallerAnswer(pending.number, answer, failure),
        )

    def _finish(self, number: int) -> pending_request.PendingRequest | None:
        pending = self.pending.pop(number, None)
        self.waiting.pop(number, None)
        if pending is not None:
            self._release(pending)
        return pending

    def _release(self, pending: pending_request.PendingRequest) -> None:
        if pending.owner:
            self.watch.released(pending.owner)
            pending.owner = ''


def _refusal(
    number: int,
    body: callers.StatementRequest | callers.OutcomeRequest,
    failure: failures.Failure,
) -> list[typing.Any]:
    outcome = failure.outcome
    if isinstance(body, callers.OutcomeRequest):
        # Refusing the outcome request does not tell whether the write ran.
        outcome = failures.Outcome.UNKNOWN
    answer = callers.Answer(
        outcome.value,
        request_id=body.request_id,
        error=failure.kind.code,
        detail=failure.reason,
    )
    return [messages.CallerAnswer(number, answer, failure)]


def _lacks_proof(
    pending: pending_request.PendingRequest,
    failure: failures.Failure,
) -> bool:
    """Return whether a failure reports "not run" without proof.

    After a lost attempt, a copy of the write may still be in flight from
    the lost owner. Only the cancellation of the request key rules that
    out. A statement may have run in a transaction that is still open and
    can be committed.
    """
    return (
        pending.maybe_run
        and pending.kind in _MUTATING
        and failure.outcome is failures.Outcome.NOT_RUN
        and failure.kind is not failures.CANCELLED
    )
