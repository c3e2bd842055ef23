"""Conversion of backend servers' replies to answers for callers."""

import typing

from jacinthhaven.decide import (
    admission,
    calls,
    database,
    dispatch,
    positions,
    recovery,
    routing,
    transactions,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend, callers

if typing.TYPE_CHECKING:
    from jacinthhaven.decide import group_state, messages


class Replies:
    """Turns replies into answers, confirmations and retries."""

    def __init__(
        self,
        state: 'group_state.GroupState',
        dispatcher: dispatch.Dispatcher,
        request_recovery: recovery.Recovery,
    ) -> None:
        """Work on the state of one group."""
        self.state = state
        self.dispatcher = dispatcher
        self.recovery = request_recovery

    def on_reply(
        self,
        message: 'messages.BackendReply',
        now_ms: int,
    ) -> None:
        """Accept the reply to a call on a data connection."""
        call = self.state.calls.finish(message.number)
        if call is None:
            self.state.count('late_replies')
            return
        job = call.job
        if job is None or job.finished:
            self._release_abandoned(call)
        elif isinstance(message.reply, failures.Failure):
            self._on_refusal(call, job, message.reply, now_ms)
        else:
            self._on_result(call, job, message.reply, now_ms)

    def on_status(self, db: database.Database) -> None:
        """Release the answers that the new status of a database permits."""
        for job in db.confirmed():
            self._on_confirmed(job)
        waiting = db.strict
        db.strict = []
        for strict_job in waiting:
            if strict_job.answer is not None and not strict_job.finished:
                self._answer_read(strict_job, strict_job.answer)

    def start_step(self, job: work.Work, now_ms: int) -> None:
        """Send a step of a transaction on the connection that it holds.

        A commit without an open transaction may be the retry of one that
        was executed. It becomes a request to resolve its request key, which
        is queued like any other request.
        """
        transaction = self.state.transactions.find(
            job.transaction,
            job.session,
        )
        if transaction is None or transaction.database != job.database:
            failure = failures.UNKNOWN_TRANSACTION.because(
                'no such open transaction in this session',
            )
            if job.kind == work.COMMIT:
                self.recovery.resolve_commit(job, failure)
            else:
                self.state.refuse(job, failure)
        elif transaction.busy:
            self._refuse_second_step(job, transaction)
        else:
            transaction.busy = True
            transaction.used_ms = now_ms
            job.term = transaction.term
            self.dispatcher.call(
                job,
                transaction.connection,
                transaction.instance,
            )

    def _refuse_second_step(
        self,
        job: work.Work,
        transaction: transactions.Transaction,
    ) -> None:
        failure = failures.BAD_REQUEST.because(
            'a step of the transaction is still running',
        )
        call = self.state.calls.by_connection.get(transaction.connection)
        running = None if call is None else call.job
        key = job.request_key
        if key and running is not None and running.request_key == key:
            self.recovery.resolve_commit(job, None)
        else:
            self.state.refuse(job, failure)

    def _release_abandoned(self, call: calls.Call) -> None:
        """Release the connection of an abandoned call."""
        self.state.count('late_replies')
        transaction = self.state.transactions.on_connection(call.connection)
        if call.opens_transaction or transaction is not None:
            if transaction is not None:
                self.state.transactions.end(transaction.transaction_id)
            self.state.close(call.instance, call.connection)
        else:
            self.state.pools[call.instance].give_back(call.connection)

    # Results.

    def _on_result(
        self,
        call: calls.Call,
        job: work.Work,
        reply: backend.Reply,
        now_ms: int,
    ) -> None:
        if job.kind == work.BEGIN:
            self._on_begun(call, job, reply, now_ms)
            return
        if job.kind == work.STATEMENT:
            self._finish_step(job, now_ms)
        else:
            self.state.transactions.end(job.transaction)
            self.state.pools[call.instance].give_back(call.connection)
        if isinstance(reply, backend.ResolveReply):
            self._on_resolved(job, reply)
        elif isinstance(reply, backend.ExecuteReply):
            self._on_executed(job, reply)

    def _on_begun(
        self,
        call: calls.Call,
        job: work.Work,
        reply: backend.ExecuteReply,
        now_ms: int,
    ) -> None:
        transaction_id = self.state.transactions.new_id()
        self.state.transactions.add(
            transactions.Transaction(
                transaction_id,
                job.session,
                job.database,
                call.instance,
                call.connection,
                job.term,
                now_ms,
            ),
        )
        answer = self._new_answer(job)
        answer.transaction = transaction_id
        answer.term = reply.log_term
        answer.position = reply.position
        job.answer = answer
        self._answer_read(job, answer)

    def _finish_step(self, job: work.Work, now_ms: int) -> None:
        transaction = self.state.transactions.find(
            job.transaction,
            job.session,
        )
        if transaction is not None:
            transaction.busy = False
            transaction.used_ms = now_ms

    def _on_executed(
        self,
        job: work.Work,
        reply: backend.ExecuteReply,
    ) -> None:
        answer = self._new_answer(job)
        answer.result = reply.result
        answer.term = reply.log_term
        answer.position = reply.position
        answer.duplicate = reply.duplicate
        job.answer = answer
        if job.logged:
            self._confirm(job, reply.position)
        elif job.kind == work.READ:
            self._on_read(job, answer, positions.covers(reply, job.needed))
        else:
            self.state.answer(job, answer)

    def _on_read(
        self,
        job: work.Work,
        answer: callers.Answer,
        covered: bool,
    ) -> None:
        if covered:
            self._answer_read(job, answer)
            return
        self.state.count('uncovered_reads')
        db = self.state.databases[job.database]
        if job.lane == admission.PRIMARY_LANE:
            # Parked until the next status shows whether the write was lost.
            db.parked.append(job)
        else:
            self.dispatcher.use_primary(db, job, 'uncovered')

    def _on_resolved(
        self,
        job: work.Work,
        reply: backend.ResolveReply,
    ) -> None:
        answer = self._new_answer(job)
        answer.position = reply.position
        job.answer = answer
        if reply.done:
            job.refusal = None
            answer.result = reply.result
            answer.duplicate = True
        else:
            job.refusal = job.refusal or failures.CANCELLED.because(
                'the request has not run and can no longer run',
            )
        self._confirm(job, reply.position)

    def _confirm(self, job: work.Work, position: int) -> None:
        """Hold back the answer until a majority has the position."""
        db = self.state.databases[job.database]
        job.position = position
        if job.answer:
            job.answer.term = job.term
        if job.term < db.term:
            self.recovery.repeat(job)
            return
        for stale in db.confirmations.add(job):
            self.recovery.repeat(stale)
        for confirmed in db.confirmed():
            self._on_confirmed(confirmed)

    def _on_confirmed(self, job: work.Work) -> None:
        if job.refusal:
            job.maybe_run = False
            self.state.refuse(job, job.refusal)
        elif job.answer:
            self.state.answer(job, job.answer)

    def _answer_read(self, job: work.Work, answer: callers.Answer) -> None:
        db = self.state.databases[job.database]
        on_primary = job.lane == admission.PRIMARY_LANE
        if on_primary and job.term < db.term:
            # The primary that executed the read has been replaced, and a
            # proof would apply to its successor.
            self.dispatcher.use_primary(db, job, 'replaced')
        elif job.strict and not (
            db.proved_ms > job.arrived_ms
            and db.confirmed_position >= answer.position
        ):
            # The position becomes part of the session's token, so it must
            # also survive a change of primary.
            db.strict.append(job)
        else:
            self.state.answer(job, answer)

    def _new_answer(self, job: work.Work) -> callers.Answer:
        on_replica = job.lane == admission.REPLICA_LANE
        return callers.Answer(
            failures.Outcome.DONE.value,
            served_by=job.instance,
            role=routing.REPLICA if on_replica else routing.PRIMARY,
            preset_revision=self.state.policy.revision,
        )

    # Refusals.

    def _on_refusal(
        self,
        call: calls.Call,
        job: work.Work,
        failure: failures.Failure,
        now_ms: int,
    ) -> None:
        if job.kind in work.TRANSACTION_STEPS:
            self._on_step_refused(call, job, failure, now_ms)
            return
        db = self.state.databases[job.database]
        if (
            call.opens_transaction
            and failure.outcome is failures.Outcome.UNKNOWN
        ):
            # The connection may have an open transaction.
            self.state.close(call.instance, call.connection)
        else:
            self.state.pools[call.instance].give_back(call.connection)
        if failure.kind is failures.STALE_TERM:
            db.refuse_term(job.term, now_ms)
            db.admission.push_front(job)
        elif failure.outcome is failures.Outcome.UNKNOWN:
            self._retry_unknown_outcome(db, job, failure)
        else:
            self.recovery.refuse_safely(job, failure)

    def _retry_unknown_outcome(
        self,
        db: database.Database,
        job: work.Work,
        failure: failures.Failure,
    ) -> None:
        """Retry a request after a failure with an unknown outcome.

        These retries use the retry budget, because an instance that always
        fails in this way would otherwise be called again without pause.
        """
        if db.budget.withdraw():
            self.recovery.recover(job)
        else:
            job.maybe_run = True
            self.state.refuse(job, failure)

    def _on_step_refused(
        self,
        call: calls.Call,
        job: work.Work,
        failure: failures.Failure,
        now_ms: int,
    ) -> None:
        if job.kind == work.STATEMENT:
            self._finish_step(job, now_ms)
            self.state.refuse(job, failure)
            return
        # The state of a transaction is unknown after its commit or rollback
        # was refused.
        self.state.transactions.end(job.transaction)
        self.state.close(call.instance, call.connection)
        if failure.outcome is failures.Outcome.UNKNOWN:
            self.recovery.recover(job)
        else:
            self.state.refuse(job, failure)
