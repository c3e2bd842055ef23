"""Queue of one owner for one service, from arrival to placement."""

import collections
import typing

from jacinthhaven.scheduling import admission, backlog, permits, placement
from jacinthhaven.sql import peer_messages, sessions

# Time that a statement waits for the window of an instance before the owner
# asks for permits. Most statements in flight end sooner under light load.
_ASK_AFTER_MS = 15
# Waiting statements in a report that need the primary, and as many others: the
# first in the queue. They are several times what an owner's share of the slots can
# take before the next report; more of them would cost the owner and the dispatcher
# time with each statement.
MAX_REPORTED = 32
_QUEUE_TOO_LONG = 'queue too long'
_MISSES_TIMEOUT = 'timeout would be missed'


# Numbers of free links by instance and customer that no report counts on yet.
FreeLinks = typing.Mapping[str, collections.Counter[str]]


class Service(typing.Protocol):
    """The part of a service that the scheduler uses."""

    name: str
    pool: typing.Any
    executor: typing.Any

    def view(self, now_ms: int) -> placement.View:
        """Return the inputs of a placement decision."""

    def place(
        self,
        work: sessions.Work,
        choice: placement.Choice,
        now_ms: int,
    ) -> None:
        """Execute a statement on the link that was chosen."""

    def can_serve(self, work: sessions.Work, now_ms: int) -> bool:
        """Return whether a queued statement lacks nothing but a free link."""

    def primary_expected_ms(self, now_ms: int) -> int | None:
        """Return when a missing primary is expected to serve again."""


class Scheduler:
    """Waiting statements of one service at one owner.

    Attributes:
      service: Service whose instances execute the statements.
      backlog: Waiting statements.
      permits: Permits to send them while slots are short.
    """

    def __init__(self, service: Service) -> None:
        """Start without statements."""
        self.service = service
        self.backlog = backlog.Backlog()
        self.permits = permits.Permits(service.name)

    def add(self, work: sessions.Work) -> None:
        """Queue a statement."""
        work.permit_number = next(self.permits.numbers)
        self.backlog.add(work)

    def dispatch(self, now_ms: int) -> None:
        """Send the statements that may be sent, and report the others."""
        if self.permits.required(now_ms):
            self._follow_permits(now_ms)
        else:
            self._fill_windows(now_ms)
        self.permits.report(self._load(now_ms), now_ms)

    def refuse_expired(self, now_ms: int) -> None:
        """Refuse the statements that cannot be executed in time."""
        service = self.service
        self.backlog.defer_late(
            now_ms, lambda work: service.can_serve(work, now_ms)
        )
        expired = self.backlog.expired(
            now_ms,
            service.primary_expected_ms(now_ms),
            lambda work: service.can_serve(work, now_ms),
        )
        for work in expired:
            self.backlog.remove(work)
            reason = _MISSES_TIMEOUT
            if not service.can_serve(work, now_ms):
                reason = 'no instance in time'
            service.executor.refuse(work, reason, now_ms)

    def _fill_windows(self, now_ms: int) -> None:
        """Send statements without permits."""
        states = self.service.pool.states.values()
        if not any(state.has_room() for state in states):
            return
        for work in tuple(self.backlog.waiting):
            choice = placement.choose(work, self.service.view(now_ms))
            if choice is not None:
                self._place(work, choice, now_ms)

    def _follow_permits(self, now_ms: int) -> None:
        """Send the statements that have permits and refuse rejected ones."""
        for work in tuple(self.backlog.waiting):
            number = work.permit_number
            instance = self.permits.granted.get(number)
            if number in self.permits.refused:
                self._refuse_rejected(work, now_ms)
            elif instance is not None:
                view = self.service.view(now_ms)
                if instance in placement.candidates(work, view):
                    choice = placement.choose_at(work, view, instance)
                    self._place(work, choice, now_ms)

    def _refuse_rejected(self, work: sessions.Work, now_ms: int) -> None:
        """Refuse a statement that the dispatcher has rejected."""
        self.backlog.remove(work)
        self.backlog.overloaded_ms = now_ms
        route = work.route
        reason = _QUEUE_TOO_LONG
        if admission.may_wait(route.target_ms, route.timeout_ms):
            reason = _MISSES_TIMEOUT
        self.service.executor.refuse(work, reason, now_ms)

    def _place(
        self,
        work: sessions.Work,
        choice: placement.Choice,
        now_ms: int,
    ) -> None:
        self.backlog.place(work)
        self.service.place(work, choice, now_ms)

    def _load(self, now_ms: int) -> peer_messages.Load:
        """Return what this owner executes and what waits for a slot."""
        states = self.service.pool.states
        running = {name: state.in_flight() for name, state in states.items()}
        waiting = []
        if self.backlog.waiting:
            view = self.service.view(now_ms)
            free = {
                name: collections.Counter(
                    link.customer for link in state.free_links
                )
                for name, state in states.items()
            }
            waiting = self._reports(view, free)
        return peer_messages.Load(
            {name: count for name, count in running.items() if count},
            tuple(waiting),
        )

    def _reports(
        self, view: placement.View, free: FreeLinks
    ) -> list[peer_messages.Waiting]:
        """Return the reports on the first statements that wait for a slot."""
        reports = []
        count: collections.Counter[bool] = collections.Counter()
        for work in self.backlog.waiting:
            if count[work.needs_primary] >= MAX_REPORTED:
                continue
            report = self._waiting(work, view, free)
            if report is not None:
                count[work.needs_primary] += 1
                reports.append(report)
        return reports

    def _waiting(
        self,
        work: sessions.Work,
        view: placement.View,
        free: FreeLinks,
    ) -> peer_messages.Waiting | None:
        """Return the report on a statement, or None if it needs no slot.

        A statement that no instance could execute waits for the primary. One
        that waits for a link is reported: it has a place in the queue, too.
        """
        names = placement.suitable(work, view)
        waited_ms = view.now_ms - work.arrived_ms
        if not names:
            return None
        if not self.permits.required(view.now_ms):
            if waited_ms < _ASK_AFTER_MS or any(
                view.states[name].has_room() for name in names
            ):
                return None
        return peer_messages.Waiting(
            work.permit_number,
            work.route.priority,
            tuple(names),
            round(work.turn.service_ms),
            waited_ms,
            work.customer,
            max(work.deadline_ms - view.now_ms, 0),
            work.route.target_ms - waited_ms,
            _take_link(free, names, work.customer),
        )


def _take_link(
    free: FreeLinks, names: list[str], customer: str
) -> tuple[str, ...] | None:
    """Return the instances with a link for a statement, and count the first.

    Returns:
      The names, or None if all have one.
    """
    linked = [name for name in names if free[name][customer] > 0]
    if linked:
        free[linked[0]][customer] -= 1
    return None if len(linked) == len(names) else tuple(linked)
