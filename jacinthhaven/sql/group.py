"""Group of the database instances that provide one service.

A group queues statements, assigns them to links, the connections to the
instances, and keeps track of the primary. All methods take the current time.
Replies of instances arrive through `on_open`, `on_reply` and `on_lost`; the
executor answers the clients.
"""

from jacinthhaven.balancing import zone_outflow
from jacinthhaven.scheduling import backlog, placement, scheduler
from jacinthhaven.sql import (
    availability,
    commands,
    execution,
    instances,
    leadership,
    links,
    pool,
    ports,
    primary_check,
    proofs,
    reply_tracker,
    sessions,
    statements,
)

# Timeout of a control command: once for a link and again for the reply.
_CONTROL_TIMEOUT_MS = 400


class Group:
    """Statements, links and primary of one service.

    Attributes:
      name: Name of the service.
      owned: Whether this node owns the service, which means that it executes
        the statements of all nodes.
      removed: Whether the service was removed from the configuration.
      owners: Nodes that own the service, sorted by name.
      primary_check: Check that the primary is alive.
      right: Right of this node to use the primary.
      availability: Time for which the primary cannot be used.
      leaving_cost_ms: Price of leaving the availability zone.
      limits_ms: Shortest target of the routes of each priority.
      scheduler: Queue of the statements.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        databases: ports.Databases,
        executor: 'execution.Executor',
        now_ms: int = 0,
    ) -> None:
        """Create a group without instances.

        Args:
          name: Name of the service.
          zone: Availability zone of this node.
          databases: Connections to instances.
          executor: Executes statements and answers clients.
          now_ms: Current time.
        """
        self.name = name
        self.zone = zone
        self.pool = pool.Pool(databases)
        self.executor = executor
        self.scheduler = scheduler.Scheduler(self)
        self.journal = executor.journal
        self.tracker = reply_tracker.ReplyTracker(
            name,
            self.pool,
            self.journal,
            now_ms,
        )
        self.right = self.tracker.right
        self.primary_check = primary_check.PrimaryCheck(
            self.pool.states, self.tracker.leadership, self.ask
        )
        self.availability = availability.Availability(name, executor.journal)
        self.owned = True
        self.removed = False
        self.owners: tuple[str, ...] = ()
        self.leaving_cost_ms = zone_outflow.DEFAULT_LEAVING_COST_MS
        self.limits_ms: dict[int, int] = {}

    @property
    def backlog(self) -> backlog.Backlog:
        """Return the waiting statements."""
        return self.scheduler.backlog

    @property
    def active(self) -> bool:
        """Return whether this node executes statements of the service."""
        return self.owned or bool(self.backlog.waiting or self.pool.by_number)

    @property
    def leadership(self) -> leadership.Leadership:
        """Return what is known about the primary and its term."""
        return self.tracker.leadership

    @property
    def proofs(self) -> proofs.ProofHistory:
        """Return the proofs of the primary's position."""
        return self.tracker.proofs

    @property
    def leader_state(self) -> instances.InstanceState | None:
        """Return the state of the primary, or None if it is unknown."""
        return self.pool.states.get(self.leadership.leader or '')

    def view(self, now_ms: int) -> placement.View:
        """Return the inputs of a placement decision."""
        return placement.View(
            self.pool.states,
            self.leadership.leader,
            self.proofs,
            self.zone,
            now_ms,
            renew_proof=self.proofs.renewal_due(self.leadership.term, now_ms),
            may_use_primary=self.right.may_send(now_ms),
            leaving_cost_ms=self.leaving_cost_ms,
        )

    def update_owners(self, owners: tuple[str, ...], node: str) -> None:
        """Set the owners of the service.

        Args:
          owners: Names of the owners, sorted.
          node: Name of this node.
        """
        self.owners = owners
        self.primary_check.update_owners(self.name, owners, node)

    def submit(self, work: sessions.Work, now_ms: int) -> None:
        """Execute a statement, queue it or refuse it."""
        transaction = work.session.transaction
        if transaction is not None and transaction.link is not None:
            if work.needs_primary and not self.right.may_continue(
                transaction.lead, now_ms
            ):
                self.executor.abort(self, work, 'primary is replaced', now_ms)
                return
            self.executor.start(self, work, transaction.link, None, now_ms)
            return
        if work.needs_primary and self.right.lacks_quorum(now_ms):
            self.executor.refuse(work, 'cut off from the owners', now_ms)
            return
        self.scheduler.add(work)
        self.dispatch(now_ms)

    def requeue(self, work: sessions.Work, now_ms: int) -> None:
        """Queue a statement again that is known to have had no effect."""
        if work.done:
            return
        work.link = None
        work.sent = False
        work.verifies_primary = False
        if work.tried.issuperset(self.pool.states):
            work.tried.clear()
        self.scheduler.add(work)

    def cancel(self, work: sessions.Work) -> None:
        """Remove a queued statement whose client has disconnected."""
        self.backlog.remove(work)

    def give_up(self, work: sessions.Work, now_ms: int) -> None:
        """Answer a statement at once, since the process exits."""
        self.cancel(work)
        if work.link is None:
            self.executor.refuse(work, 'stopping', now_ms)
        else:
            self.executor.give_up(self, work, now_ms)

    def dispatch(self, now_ms: int) -> None:
        """Assign free links to control commands and queued statements."""
        self._send_control_commands(now_ms)
        self.scheduler.dispatch(now_ms)
        self._update_wanted(now_ms)

    def tick(self, now_ms: int) -> None:
        """Enforce timeouts, maintain the links and check the primary."""
        self._end_overdue(now_ms)
        self._maintain_links(now_ms)
        if self.active:
            self.primary_check.tick(now_ms)
            self.availability.update(
                availability.find_obstacle(
                    self.leader_state, self.right, now_ms
                ),
                now_ms,
            )
        self.dispatch(now_ms)
        self.scheduler.refuse_expired(now_ms)

    def place(
        self,
        work: sessions.Work,
        choice: placement.Choice,
        now_ms: int,
    ) -> None:
        """Execute a statement on the link that was chosen."""
        if choice.verifies_primary:
            self.proofs.renewal_sent_ms = now_ms
        self.executor.place(self, work, choice, now_ms)

    def primary_expected_ms(self, now_ms: int) -> int | None:
        """Return when a missing primary is expected to serve again.

        Returns:
          The time, or None if it is not known.
        """
        expected_ms = self.leadership.expected_ms
        if expected_ms is None and now_ms < self.right.expected_ms:
            return self.right.expected_ms
        return expected_ms

    def can_serve(self, work: sessions.Work, now_ms: int) -> bool:
        """Return whether a queued statement lacks nothing but a free link."""
        state = self.leader_state
        if state is not None and state.reachable_at(now_ms):
            if self.right.may_send(now_ms):
                return True
        if work.needs_primary:
            return False
        proof = self.proofs.required(
            work.route.max_age_ms,
            now_ms,
            work.session.position,
        )
        return proof is not None

    def ask(
        self,
        instance: str,
        command: commands.Command,
        on_reply: pool.OnReply,
        now_ms: int,
    ) -> None:
        """Send a control command on the next free link to an instance."""
        until_ms = now_ms + _CONTROL_TIMEOUT_MS
        self.pool.ask(
            instance, pool.ControlRequest(command, on_reply, until_ms)
        )
        self.pool.open_missing(now_ms)
        self.dispatch(now_ms)

    def on_open(
        self,
        number: int,
        reply: statements.Reply | None,
        now_ms: int,
    ) -> None:
        """Handle an opened link, or the failure to open it."""
        link = self.pool.by_number.get(number)
        if link is None:
            return
        if reply is None or reply.code is not None:
            code = None if reply is None else reply.code
            self.journal.write(
                'link_refused',
                {
                    'service': self.name,
                    'instance': link.instance,
                    'code': code.value if code else 'unreachable',
                },
            )
            self.pool.refused(link, code, now_ms)
            return
        self.pool.opened(link, now_ms)
        self.dispatch(now_ms)

    def on_reply(
        self,
        number: int,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Handle the reply to the current command of a link."""
        link = self.pool.by_number.get(number)
        if link is None or link.in_flight is None:
            return
        command = link.in_flight
        link.in_flight = None
        state = self.pool.states[link.instance]
        state.mark_heard(now_ms)
        if isinstance(command, commands.IN_SLOTS):
            state.mark_overtaken(link, now_ms)
        self.tracker.on_reply(link, command, reply, now_ms)
        self.executor.handle_reply(self, link, command, reply, now_ms)
        self.dispatch(now_ms)

    def on_lost(self, number: int, now_ms: int) -> None:
        """Handle the loss of a link."""
        link = self.pool.by_number.get(number)
        if link is None:
            return
        if not link.ready:
            self.on_open(number, None, now_ms)
            return
        self.journal.write(
            'link_lost',
            {'service': self.name, 'instance': link.instance},
        )
        self.pool.drop(link)
        self.executor.handle_loss(self, link, now_ms)
        self.dispatch(now_ms)

    def _maintain_links(self, now_ms: int) -> None:
        """Drop unresponsive links, close unused ones and open missing ones."""
        for link in self.pool.overdue(now_ms):
            if link.ready:
                self.pool.states[link.instance].mark_unanswered(link.sent_ms)
            self.on_lost(link.number, now_ms)
        self._update_suspects(now_ms)
        self.pool.expire_control_requests(now_ms)
        self.pool.close_unused(now_ms)
        self.pool.open_missing(now_ms)

    def _end_overdue(self, now_ms: int) -> None:
        """Time out overdue statements and retry reads on other links."""
        for state in self.pool.states.values():
            state.mark_lost_replies(now_ms)
        for link in tuple(self.pool.by_number.values()):
            if isinstance(link.work, sessions.Work) and not link.work.done:
                self._end_if_overdue(link, link.work, now_ms)
            if link.pinned is not None:
                self.executor.end_replaced(self, link, now_ms)

    def _end_if_overdue(
        self,
        link: links.Link,
        work: sessions.Work,
        now_ms: int,
    ) -> None:
        if now_ms >= work.deadline_ms and link.in_flight is not None:
            self.executor.expire(self, work, now_ms)
        elif work.repeatable and link.reply_lost:
            self.executor.retry_elsewhere(self, work, now_ms)

    def _update_suspects(self, now_ms: int) -> None:
        """Update which instances are suspect, and close own links to them.

        The pool borrows links to suspect instances from other nodes.
        """
        for name, state in self.pool.states.items():
            silent_ms = state.silent_for(now_ms)
            silent = silent_ms >= instances.SUSPECT_MS
            if silent and state.links and now_ms >= state.next_open_ms:
                self.pool.close_own_links(state, now_ms)
            if silent != state.suspect:
                state.suspect = silent
                self.journal.write(
                    'instance_silent' if silent else 'instance_answers',
                    {
                        'service': self.name,
                        'instance': name,
                        'silent_ms': silent_ms,
                    },
                )

    def _update_wanted(self, now_ms: int) -> None:
        """Record the instances where a queued statement lacks a free link."""
        view = self.view(now_ms)
        wanted = [
            (placement.wanted_instance(work, view), work.customer)
            for work in self.backlog.waiting
        ]
        if self.pool.update_wanted(wanted):
            self.pool.open_missing(now_ms)

    def _send_control_commands(self, now_ms: int) -> None:
        for state in self.pool.states.values():
            for link in state.free_links:
                question = self.pool.next_control_request(link)
                if question is not None:
                    self._send_control_command(link, question, now_ms)

    def _send_control_command(
        self,
        link: links.Link,
        question: pool.ControlRequest,
        now_ms: int,
    ) -> None:
        question.until_ms = now_ms + _CONTROL_TIMEOUT_MS
        link.work = question
        link.steps.append(question.command)
        self.executor.send_next(self, link, now_ms)
