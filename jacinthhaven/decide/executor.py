"""Execution of the requests of one group at an owner.

The executor is a facade for the parts that queue, send, answer and
recover requests: dispatch, replies and recovery.
"""

import heapq
import itertools
import typing

from jacinthhaven.decide import (
    database,
    dispatch,
    recovery,
    replies,
    work,
)
from jacinthhaven.kernel import failures

if typing.TYPE_CHECKING:
    from jacinthhaven.decide import group_state, messages


class Executor:
    """Accepts requests and events and enforces deadlines."""

    def __init__(self, state: 'group_state.GroupState') -> None:
        """Work on the state of one group."""
        self.state = state
        self.dispatcher = dispatch.Dispatcher(state)
        self.recovery = recovery.Recovery(state, self.dispatcher)
        self.replies = replies.Replies(state, self.dispatcher, self.recovery)
        self.deadlines: list[tuple[int, int, work.Work]] = []
        self.sequence = itertools.count()

    @property
    def idle(self) -> bool:
        """Return whether no request or transaction is in progress."""
        return (
            not self.state.transactions.by_id
            and all(db.idle for db in self.state.databases.values())
            and not self.state.calls.by_number
        )

    def submit(self, job: work.Work, now_ms: int) -> None:
        """Accept a request; its answer is put into the outbox later."""
        db = self.state.databases[job.database]
        job.arrived_ms = now_ms
        entry = (job.deadline_ms, next(self.sequence), job)
        heapq.heappush(self.deadlines, entry)
        db.budget.deposit(self.state.preset.retry_ratio)
        if job.kind in work.TRANSACTION_STEPS:
            self.replies.start_step(job, now_ms)
        if job.kind not in work.TRANSACTION_STEPS:
            self._enqueue(db, job)
            self.dispatcher.send_queued(db, now_ms)

    def on_opened(self, now_ms: int) -> None:
        """Use a newly opened connection."""
        self.dispatcher.send_all_queued(now_ms)

    def on_reply(self, message: 'messages.BackendReply', now_ms: int) -> None:
        """Accept the reply to a call."""
        self.replies.on_reply(message, now_ms)
        self.dispatcher.send_all_queued(now_ms)

    def on_lost(self, connection: int, now_ms: int) -> None:
        """Recover the request that was in flight on a lost connection."""
        self.recovery.on_lost(connection)
        self.dispatcher.send_all_queued(now_ms)

    def on_status(self, now_ms: int) -> None:
        """Apply the changed status of the instances."""
        for db in self.state.databases.values():
            if db.refresh():
                self.recovery.on_new_term(db)
            self.replies.on_status(db)
            self.dispatcher.retry_parked(db, now_ms)
        self.dispatcher.send_all_queued(now_ms)

    def tick(self, now_ms: int) -> None:
        """Expire requests, parked reads and idle transactions."""
        self._expire(now_ms)
        self.recovery.close_stalled(now_ms)
        limit_ms = now_ms - self.state.preset.transaction_idle_ms
        for transaction in self.state.transactions.idle_since(limit_ms):
            self.recovery.abort(transaction)
        for db in self.state.databases.values():
            self.dispatcher.retry_parked(db, now_ms)
            self.dispatcher.send_queued(db, now_ms)

    def writes_drained(self, name: str) -> bool:
        """Return whether no write of a database is running or unconfirmed."""
        return not (
            self.state.databases[name].confirmations
            or self.state.transactions.count_open(name)
            or self.state.calls.logged_in_flight(name)
        )

    def cancel(self, member: str, number: int) -> None:
        """Drop a request whose caller has disconnected, unless it runs.

        A running `begin` is abandoned too, so that its transaction does not
        hold a connection until the idle timeout.

        Args:
          member: Member whose entry forwarded the request.
          number: Request number at that entry.
        """

        def matches(job: work.Work) -> bool:  # noqa: WPS430
            origin = job.origin
            return (origin.member, origin.number) == (member, number)

        for db in self.state.databases.values():
            for job in (*db.admission.remove_if(matches), *db.parked):
                job.finished = job.finished or matches(job)
        for call in self.state.calls.by_number.values():
            if (
                call.opens_transaction
                and call.job is not None
                and matches(call.job)
            ):
                call.job.finished = True

    def refuse_all(self, kind: failures.Kind, reason: str) -> None:
        """Refuse all waiting requests, when the owner stops."""
        for db in self.state.databases.values():
            self.refuse_waiting(db, kind, reason)
            for read in db.strict:
                self.state.refuse(read, kind.because(reason))
            db.strict = []
            for job in db.confirmations.clear():
                job.maybe_run = True
                self.state.refuse(job, kind.because(reason))

    def refuse_queued(self, failure: failures.Failure) -> None:
        """Refuse the requests of all databases that wait in the queue."""
        for db in self.state.databases.values():
            self.refuse_waiting(db, failure.kind, failure.reason)

    def refuse_waiting(
        self,
        db: database.Database,
        kind: failures.Kind,
        reason: str,
    ) -> None:
        """Refuse the requests of a database that wait in the queue."""
        waiting = db.admission.remove_if(_always)
        waiting.extend(db.parked)
        db.parked = []
        for job in waiting:
            self.state.refuse(job, kind.because(reason))

    def _enqueue(self, db: database.Database, job: work.Work) -> None:
        limit = self.state.preset.queue_limit - len(db.parked)
        for shed in db.admission.push(job, max(limit, 0)):
            self.state.count('shed')
            failure = failures.OVERLOADED.because('queue is full')
            self.state.refuse(shed, failure)

    def _expire(self, now_ms: int) -> None:
        expired = False
        while self.deadlines and self.deadlines[0][0] <= now_ms:
            job = heapq.heappop(self.deadlines)[2]
            if not job.finished:
                expired = True
                self.recovery.expire(job)
        if expired:
            for db in self.state.databases.values():
                db.drop_finished()


def _always(_job: work.Work) -> bool:
    return True
