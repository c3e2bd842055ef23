"""Recovery of requests whose results were not received.

Reads are retried within the retry budget. Requests with a request key are
retried under that key, which the database applies at most once.
"""

import typing

from jacinthhaven.decide import database, dispatch, transactions, work
from jacinthhaven.kernel import failures

if typing.TYPE_CHECKING:
    from jacinthhaven.decide import group_state


class Recovery:
    """Retries or refuses requests after lost connections and new terms."""

    def __init__(
        self,
        state: 'group_state.GroupState',
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        """Work on the state of one group."""
        self.state = state
        self.dispatcher = dispatcher

    def recover(self, job: work.Work) -> None:
        """Retry or refuse a request whose result was not received."""
        if job.finished:
            return
        db = self.state.databases[job.database]
        if job.kind in {work.STATEMENT, work.ROLLBACK}:
            failure = failures.UNKNOWN_TRANSACTION.because(
                'the transaction was rolled back with its connection',
            )
            self.state.refuse(job, failure)
        elif job.logged:
            self.repeat(job)
        elif db.budget.withdraw():
            self.dispatcher.use_primary(db, job, 'lost')
        else:
            failure = failures.UNAVAILABLE.because('retry budget is exhausted')
            self.state.refuse(job, failure)

    def repeat(self, job: work.Work) -> None:
        """Send a logged request again under its request key.

        The key makes the retry safe: the database returns the recorded
        result if the earlier copy ran. A commit cannot be sent again, since its
        transaction has ended; its key is resolved instead, which cancels the
        key if it is absent.
        """
        if job.finished:
            return
        job.maybe_run = True
        job.position = 0
        if job.kind == work.COMMIT:
            job.kind = work.RESOLVE
            job.transaction = ''
        self.state.count('repeats')
        self._requeue(job)

    def resolve_commit(
        self,
        job: work.Work,
        refusal: failures.Failure | None,
    ) -> None:
        """Turn a commit into a request that resolves its request key.

        Args:
          job: Commit that may have run under the same key before.
          refusal: Failure to report if the key proves to be unused.
        """
        job.kind = work.RESOLVE
        job.transaction = ''
        job.refusal = refusal
        job.maybe_run = True

    def refuse_safely(self, job: work.Work, failure: failures.Failure) -> None:
        """Refuse a request; cancel its key first if a copy may have run.

        An earlier copy could still arrive after this refusal, so the request
        is refused only after its key is cancelled. If the key was cancelled
        by another request, the refusal waits until a majority has the
        cancellation, since a later primary may lack it.
        """
        unproved = job.maybe_run or failure.kind is failures.CANCELLED
        if unproved and job.kind == work.WRITE and not job.finished:
            job.maybe_run = True
            job.kind = work.RESOLVE
            job.refusal = failure
            self._requeue(job)
        else:
            self.state.refuse(job, failure)

    def on_lost(self, connection: int) -> None:
        """Recover the request that was in flight on a lost connection."""
        transaction = self.state.transactions.on_connection(connection)
        if transaction is not None:
            self.state.transactions.end(transaction.transaction_id)
        call = self.state.calls.remove_on_connection(connection)
        if call is not None and call.job is not None:
            self.recover(call.job)

    def on_new_term(self, db: database.Database) -> None:
        """Retry or abort what depends on a primary of an earlier term."""
        for call in self.state.calls.older_than(db.name, db.term):
            job = call.job
            call.job = None
            if job is not None:
                self.recover(job)
        table = self.state.transactions
        for transaction in table.older_than(db.name, db.term):
            self.abort(transaction)
        for stale in db.confirmations.start_term(db.term):
            self.repeat(stale)

    def on_suspected(self, instance: str) -> None:
        """Retry the reads that a suspected instance has not answered.

        Writes stay in flight until a new primary is known, because only its
        higher term prevents the old copies from taking effect.
        """
        for call in self.state.calls.reads_at(instance):
            job = call.job
            call.job = None
            if job is not None:
                self.recover(job)

    def abort(self, transaction: transactions.Transaction) -> None:
        """Close the connection of a transaction, which rolls it back.

        A rollback call could be lost as the caller was, so the connection
        is not reused.
        """
        self.state.transactions.end(transaction.transaction_id)
        self.state.count('transactions_aborted')
        call = self.state.calls.by_connection.get(transaction.connection)
        job = None if call is None else call.job
        self.state.close(transaction.instance, transaction.connection)
        if job is not None:
            self.recover(job)

    def close_stalled(self, now_ms: int) -> None:
        """Close the connections whose calls will not be answered.

        Their requests have expired, and a connection that waits for ever
        would permanently take up a part of the slot's share.
        """
        for call in self.state.calls.stalled(now_ms):
            transaction = self.state.transactions.on_connection(call.connection)
            if transaction is not None:
                self.state.transactions.end(transaction.transaction_id)
            self.state.count('stalled_calls')
            self.state.close(call.instance, call.connection)
        for connections in self.state.pools.values():
            self.state.outbox.extend(connections.expire_opening(now_ms))

    def expire(self, job: work.Work) -> None:
        """Refuse a request whose deadline has passed."""
        call = self.state.calls.by_connection.get(job.connection)
        running = call is not None and call.job is job
        if job.logged and (job.position or running):
            job.maybe_run = True
        self.state.count('deadlines')
        self.state.refuse(
            job,
            failures.DEADLINE.because('deadline has passed'),
        )

    def _requeue(self, job: work.Work) -> None:
        db = self.state.databases[job.database]
        db.admission.push_front(job)
