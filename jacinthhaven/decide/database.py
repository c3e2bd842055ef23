"""State of one database at an owner."""

from jacinthhaven.decide import (
    admission,
    ages,
    positions,
    retries,
    routing,
    unconfirmed_writes,
    views,
    work,
)

# Longest time for which a leaving primary still serves while it is handed
# over.
LEAVING_GRACE_MS = 3000


class Database:
    """Queues, unconfirmed writes and current primary of one database.

    Attributes:
      name: Name of the database.
      instances: Views of the group's instances.
      admission: Requests that wait to be sent.
      parked: Reads that wait for a replica to catch up.
      strict_reads: Executed reads that wait until the term of their data is
        proved current.
      unconfirmed_writes: Executed writes that wait for a majority.
      history: Positions of the primary over time.
      budget: Budget for retries.
      view: Inputs of the eligibility rules for reads.
      primary: Name of the primary; empty if none is usable.
      term: Highest term of a primary that was seen.
      proved_ms: Latest time at which the term is proved current.
      held: Whether new writes and transactions must wait for a handover.
      term_refusal: Newest term that the primary refused, and when it did.
    """

    __slots__ = (
        'name',
        'instances',
        'admission',
        'parked',
        'strict_reads',
        'unconfirmed_writes',
        'history',
        'budget',
        'view',
        'primary',
        'term',
        'proved_ms',
        'held',
        'term_refusal',
    )

    def __init__(self, name: str, instances: views.Instances) -> None:
        """Start without a known primary.

        Args:
          name: Name of the database.
          instances: Views of the group's instances, shared with the owner.
        """
        self.name = name
        self.instances = instances
        self.admission = admission.AdmissionQueue()
        self.parked: list[work.Work] = []
        self.strict_reads: list[work.Work] = []
        self.unconfirmed_writes = unconfirmed_writes.UnconfirmedWrites()
        self.history = ages.PrimaryHistory()
        self.budget = retries.RetryBudget()
        self.view = routing.DatabaseView(name, instances, {})
        self.primary = ''
        self.term = 0
        self.proved_ms = views.NEVER_MS
        self.held = False
        self.term_refusal = (0, views.NEVER_MS)

    @property
    def idle(self) -> bool:
        """Return whether no request of this database waits."""
        return not (
            self.admission.size
            or self.parked
            or self.strict_reads
            or self.unconfirmed_writes
        )

    def refresh(self) -> bool:
        """Update the primary and the proofs from the instance views.

        Returns:
          Whether a primary of a higher term was found.
        """
        primary = self._usable_primary()
        previous = self.term
        self.primary = ''
        if primary is not None:
            copy = primary.copies[self.name]
            self.primary = primary.name
            self.term = max(copy.term, self.term)
            self.history.add(copy, primary.asked_ms)
        self.proved_ms = positions.term_proved_ms(
            self.instances,
            self.name,
            self.term,
        )
        self._refresh_ages()
        return self.term > previous

    def drop_finished(self) -> None:
        """Remove the waiting requests that were already answered.

        Otherwise the writes that wait for a lost majority would accumulate
        for as long as the primary accepts more of them.
        """
        self.admission.remove_if(_is_finished)
        self.unconfirmed_writes.drop_finished()
        self.strict_reads = [
            job for job in self.strict_reads if not job.finished
        ]
        self.parked = [job for job in self.parked if not job.finished]

    def pop_confirmed(self) -> list[work.Work]:
        """Remove and return the writes that a majority has confirmed."""
        if not self.unconfirmed_writes:
            return []
        reached = positions.confirmed_position(
            self.instances,
            self.name,
            self.unconfirmed_writes.term,
        )
        return self.unconfirmed_writes.pop_confirmed(reached)

    @property
    def confirmed_position(self) -> int:
        """Return the position that a majority has in the current term."""
        return positions.confirmed_position(
            self.instances,
            self.name,
            self.term,
        )

    def record_term_refusal(self, term: int, now_ms: int) -> None:
        """Record that the primary refused a request of this term."""
        self.term_refusal = (term, now_ms)

    def is_behind(self, job: work.Work) -> bool:
        """Return whether the session has seen a later term than this owner.

        The primary that this owner knows may have been replaced, so data
        that is read from it may lack the session's writes.
        """
        needed = job.needed
        if needed is None or job.kind not in work.READ_YOUR_WRITES:
            return False
        return needed.term > self.term

    def has_lost_position(self, job: work.Work) -> bool:
        """Return whether the primary's log has lost the session's writes."""
        view = self.instances.get(self.primary)
        needed = job.needed
        if (
            view is None
            or needed is None
            or job.kind not in work.READ_YOUR_WRITES
        ):
            return False
        return positions.is_lost(view.copies[self.name].starts, needed)

    def block_reason(self, job: work.Work, confirm_ms: int, now_ms: int) -> str:
        """Return why a request cannot be sent to the primary now.

        Args:
          job: Request that waits in the primary lane.
          confirm_ms: Largest allowed age of the proof of the term, for reads.
          now_ms: Current time.

        Returns:
          Reason for the block; empty if the request can be sent.
        """
        if not self.primary:
            return 'no_primary'
        view = self.instances[self.primary]
        refused_term, refused_ms = self.term_refusal
        if refused_term == self.term and view.asked_ms <= refused_ms:
            return 'term_refused'
        if job.kind == work.READ:
            return self._read_block_reason(view, confirm_ms, now_ms)
        if self.held:
            return 'handover'
        return _leaving_block_reason(view, now_ms)

    def _read_block_reason(
        self,
        view: views.InstanceView,
        confirm_ms: int,
        now_ms: int,
    ) -> str:
        if now_ms - self.proved_ms > confirm_ms:
            return 'term_not_proved'
        return _leaving_block_reason(view, now_ms)

    def _usable_primary(self) -> views.InstanceView | None:
        """Return the newest primary unless a majority is in a higher term."""
        primary = views.primary_of(self.instances, self.name)
        if primary is None:
            return None
        term = primary.copies[self.name].term
        if term < self.term:
            return None
        in_higher_term = sum(
            self.name in view.copies and view.copies[self.name].term > term
            for view in self.instances.values()
        )
        if in_higher_term >= views.majority(self.instances):
            return None
        return primary

    def _refresh_ages(self) -> None:
        complete_ms = self.view.complete_ms
        for view in self.instances.values():
            copy = view.copies.get(self.name)
            if copy is not None:
                complete_ms[view.name] = self.history.complete_until_ms(
                    copy,
                    self.proved_ms,
                )


def _is_finished(job: work.Work) -> bool:
    return job.finished


def _leaving_block_reason(view: views.InstanceView, now_ms: int) -> str:
    if view.leaving and now_ms - view.leaving_since_ms > LEAVING_GRACE_MS:
        return 'leaving'
    return ''
