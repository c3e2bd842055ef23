"""State of one database at an owner."""

from jacinthhaven.decide import (
    admission,
    ages,
    confirmations,
    positions,
    retries,
    routing,
    views,
    work,
)

# A leaving primary may serve this long while its handover is under way.
LEAVING_GRACE_MS = 3000


class Database:
    """Queues, waiting writes and derived knowledge of one database."""

    __slots__ = (
        'name',
        'instances',
        'admission',
        'parked',
        'strict',
        'confirmations',
        'history',
        'budget',
        'view',
        'primary',
        'term',
        'proved_ms',
        'held',
        'refused',
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
        self.strict: list[work.Work] = []
        self.confirmations = confirmations.Confirmations()
        self.history = ages.PrimaryHistory()
        self.budget = retries.RetryBudget()
        self.view = routing.DatabaseView(name, instances, {})
        self.primary = ''
        self.term = 0
        self.proved_ms = views.NEVER_MS
        self.held = False
        self.refused = (0, views.NEVER_MS)

    @property
    def idle(self) -> bool:
        """Return whether nothing waits in this database's queues."""
        return not (
            self.admission.size
            or self.parked
            or self.strict
            or self.confirmations
        )

    def refresh(self) -> bool:
        """Derive the primary and the proofs from the instance views.

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
        """Forget the waiting requests that were answered.

        Without this, writes that wait for a lost majority would be kept
        for as long as the primary accepts more of them.
        """
        self.admission.remove_if(_is_finished)
        self.confirmations.drop_finished()
        self.strict = [job for job in self.strict if not job.finished]
        self.parked = [job for job in self.parked if not job.finished]

    def confirmed(self) -> list[work.Work]:
        """Remove and return the writes that a majority has."""
        if not self.confirmations:
            return []
        reached = positions.confirmed_position(
            self.instances,
            self.name,
            self.confirmations.term,
        )
        return self.confirmations.confirmed(reached)

    @property
    def confirmed_position(self) -> int:
        """Return the position that a majority has in the current term."""
        return positions.confirmed_position(
            self.instances,
            self.name,
            self.term,
        )

    def refuse_term(self, term: int, now_ms: int) -> None:
        """Remember that the primary refused this term."""
        self.refused = (term, now_ms)

    def is_behind(self, job: work.Work) -> bool:
        """Return whether the session has seen a later term than this owner.

        The primary known here may be replaced, so data that is read from it
        may lack the session's writes.
        """
        needed = job.needed
        if needed is None or job.kind not in work.READ_YOUR_WRITES:
            return False
        return needed.term > self.term

    def has_lost(self, job: work.Work) -> bool:
        """Return whether the primary's log lacks the session's writes."""
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
        """Return why the primary cannot take a request now; empty if it can.

        Args:
          job: Request that waits in the primary lane.
          confirm_ms: Largest age of the proof of the term for reads.
          now_ms: Current time.
        """
        if not self.primary:
            return 'no_primary'
        view = self.instances[self.primary]
        refused_term, refused_ms = self.refused
        if refused_term == self.term and view.asked_ms <= refused_ms:
            return 'term_refused'
        if job.kind == work.READ:
            return self._read_block(view, confirm_ms, now_ms)
        if self.held:
            return 'handover'
        return _leaving_block(view, now_ms)

    def _read_block(
        self,
        view: views.InstanceView,
        confirm_ms: int,
        now_ms: int,
    ) -> str:
        if now_ms - self.proved_ms > confirm_ms:
            return 'term_not_proved'
        return _leaving_block(view, now_ms)

    def _usable_primary(self) -> views.InstanceView | None:
        """Return the newest primary unless a majority has left its term."""
        primary = views.primary_of(self.instances, self.name)
        if primary is None:
            return None
        term = primary.copies[self.name].term
        if term < self.term:
            return None
        moved_on = sum(
            self.name in view.copies and view.copies[self.name].term > term
            for view in self.instances.values()
        )
        if moved_on >= views.majority(self.instances):
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


def _leaving_block(view: views.InstanceView, now_ms: int) -> str:
    if view.leaving and now_ms - view.leaving_since_ms > LEAVING_GRACE_MS:
        return 'leaving'
    return ''
