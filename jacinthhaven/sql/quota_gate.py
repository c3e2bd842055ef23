"""Operations that wait until their customer's limit lets them start.

An operation is a statement outside a transaction, or a whole transaction, which
counts with the first of its statements that needs an instance.
"""

import collections
import typing

from jacinthhaven.quotas import quotas
from jacinthhaven.sql import execution, ports, sessions

Submit = typing.Callable[[sessions.Work, int], None]
# Shortest interval between two log lines about the refusals of one customer.
_LOG_INTERVAL_MS = 1000


class QuotaGate:
    """Lets the operations of limited customers start.

    Attributes:
      quotas: Limits of the customers, or None before the node has set them.
      waiting: Statements that wait for tokens, by customer, oldest first.
      refused: Refusals that were not logged yet, by customer.
      logged_ms: When the refusals of each customer were logged last.
    """

    def __init__(
        self,
        executor: execution.Executor,
        journal: ports.Journal,
        submit: Submit,
    ) -> None:
        """Create a gate that admits everything.

        Args:
          executor: Answers the clients of refused operations.
          journal: Counts what was admitted and refused.
          submit: Executes a statement.
        """
        self.executor = executor
        self.journal = journal
        self.submit = submit
        self.quotas: quotas.Quotas | None = None
        self.waiting: dict[str, list[sessions.Work]] = {}
        self.refused: collections.Counter[str] = collections.Counter()
        self.logged_ms: dict[str, int] = {}

    def connect(self, known: quotas.Quotas) -> None:
        """Let the limits of the customers decide from now on."""
        self.quotas = known
        known.on_granted = self.resume

    def enter(self, work: sessions.Work, now_ms: int) -> None:
        """Execute a statement, let it wait for its customer's limit or refuse.

        Args:
          work: Statement that the client has sent.
          now_ms: Current time.
        """
        if not work.customer or self.quotas is None or _has_counted(work):
            self.submit(work, now_ms)
            return
        self._decide(work, None, now_ms)

    def resume(self, customer: str, now_ms: int) -> None:
        """Decide again about the waiting statements of a customer."""
        for work in self.waiting.pop(customer, ()):
            # The client may have left, or the process may be about to exit.
            if not work.done:
                self._decide(work, work.arrived_ms, now_ms)

    def tick(self, now_ms: int) -> None:
        """Decide about the statements that have waited long enough."""
        for customer in tuple(self.waiting):
            self.resume(customer, now_ms)

    def _decide(
        self, work: sessions.Work, asked_ms: int | None, now_ms: int
    ) -> None:
        admission = self.quotas.admit(work.customer, now_ms, asked_ms)
        if admission.admitted:
            if work.session.transaction is not None:
                work.session.transaction.counted = True
            self.journal.count('quota', 'admitted')
            self.submit(work, now_ms)
        elif admission.retry_ms is None:
            self.waiting.setdefault(work.customer, []).append(work)
        else:
            self._note_refusal(work.customer, admission.retry_ms, now_ms)
            reason = f'quota, retry in {admission.retry_ms} ms'
            self.executor.refuse(work, reason, now_ms)

    def _note_refusal(self, customer: str, retry_ms: int, now_ms: int) -> None:
        """Count a refusal, and log those of a customer once a second."""
        self.journal.count('quota', 'refused')
        self.refused[customer] += 1
        logged_ms = self.logged_ms.get(customer)
        if logged_ms is not None and now_ms - logged_ms < _LOG_INTERVAL_MS:
            return
        self.logged_ms[customer] = now_ms
        self.journal.write(
            'quota_refused',
            {
                'customer': customer,
                'refused': self.refused.pop(customer),
                'retry_ms': retry_ms,
            },
        )


def _has_counted(work: sessions.Work) -> bool:
    """Return whether a statement belongs to a transaction that was admitted."""
    transaction = work.session.transaction
    return transaction is not None and transaction.counted
