"""Execution of statements on links, and the answers to clients.

An answer that says that a statement had no effect is given only if the
statement was not sent, if the instance refused it, or if its transaction
can no longer be committed.
"""

import typing

from jacinthhaven.scheduling import placement
from jacinthhaven.sql import (
    commands,
    links,
    outcomes,
    ports,
    read_failures,
    records,
    sessions,
    statements,
)

# Answer to a statement outside a transaction that was not sent.
_NOT_SENT = statements.Code.BUSY

# Time for which a replica that lagged gets no reads.
_LAG_BACKOFF_MS = 200

# Refusals after which another instance is preferred for the statement. The
# other refusals update the state of the instance, which placement considers.
_TRY_ELSEWHERE = frozenset(
    (
        statements.Code.BUSY,
        statements.Code.WRONG_INSTANCE,
        statements.Code.CONNECTION_LIMIT,
    ),
)

# Reasons given to the client: a statement was not sent, or its reply was not
# passed on.
_REPLACED = 'the primary is being replaced'
_MAYBE_REPLACED = 'the primary may have been replaced'

OnDone = typing.Callable[[sessions.Session, int], None]


class ServiceGroup(typing.Protocol):
    """The part of a service that the executor uses."""

    name: str
    pool: typing.Any
    backlog: typing.Any
    leadership: typing.Any
    proofs: typing.Any
    right: typing.Any

    def requeue(self, work: sessions.Work, now_ms: int) -> None:
        """Queue a statement again that certainly had no effect."""


def runs_as_primary(link: links.Link, command: commands.Command) -> bool:
    """Return whether the success of a command proves that a primary ran it."""
    match command:
        case commands.Begin(read_only=read_only):
            return not read_only
        case commands.Run(statement=statement):
            if statement.verb is statements.Verb.COMMIT:
                # A transaction without changes commits on any instance.
                return False
            work = link.work
            if not isinstance(work, sessions.Work) or work.done:
                return False
            return work.uses_primary
    return False


class Executor:
    """Executes statements and answers the clients.

    Attributes:
      journal: Log and metrics.
      on_done: Called after each answer, so that the session continues with
        its next statement.
    """

    def __init__(
        self,
        databases: ports.Databases,
        clients: ports.Clients,
        journal: ports.Journal,
    ) -> None:
        """Create an executor for all services of the process."""
        self.databases = databases
        self.clients = clients
        self.journal = journal
        self.on_done: OnDone = _ignore

    def place(
        self,
        group: ServiceGroup,
        work: sessions.Work,
        choice: placement.Choice,
        now_ms: int,
    ) -> None:
        """Execute a statement on the link that the placement chose."""
        self.journal.write(
            'place',
            {
                'request': work.statement.request_id,
                'version': work.routing.version,
                'service': group.name,
                'instance': choice.link.instance,
                'reason': choice.reason,
                'after': str(choice.after),
                'proof_age_ms': choice.age_ms,
                'term': group.leadership.term,
                'waited_ms': now_ms - work.arrived_ms,
            },
        )
        self.journal.observe(
            'wait_ms',
            work.route.mode.value,
            now_ms - work.arrived_ms,
        )
        if not work.needs_primary:
            read_failures.note_sent(group, choice.link, now_ms)
        transaction = work.session.transaction
        if transaction is not None:
            choice.link.pinned = work.session
            transaction.link = choice.link
            transaction.lead = group.leadership.lead
        work.verifies_primary = choice.verifies_primary
        self.start(group, work, choice.link, choice.after, now_ms)

    def start(
        self,
        group: ServiceGroup,
        work: sessions.Work,
        link: links.Link,
        after: records.Position | None,
        now_ms: int,
    ) -> None:
        """Queue the commands of a statement on a link and send the first."""
        session = work.session
        transaction = session.transaction
        work.link = link
        work.lead = group.leadership.lead
        begins = transaction is not None and not transaction.begun
        link.work = work
        setup = links.setup_steps(link, session, work.statement)
        if begins or work.verifies_primary:
            # Only a primary executes a read-write transaction, so that a
            # read inside one needs no other proof that the instance leads.
            read_only = not (work.needs_primary or work.verifies_primary)
            setup.append(commands.Begin(read_only, after))
            after = None
        if setup:
            # The statement waits for the replies: it may change data.
            link.steps.append(commands.Setup(tuple(setup)))
        link.steps.append(links.run_command(session, work.statement, after))
        if work.verifies_primary and transaction is None:
            link.steps.append(commands.Rollback())
        self.send_next(group, link, now_ms)

    def send_next(
        self,
        group: ServiceGroup,
        link: links.Link,
        now_ms: int,
    ) -> None:
        """Send the next command of a link, or free the link if none is left."""
        if not link.steps:
            self._mark_idle(link, now_ms)
            return
        command = link.steps.popleft()
        link.in_flight = command
        link.mark_sent(now_ms, group.leadership.lead)
        work = link.work
        if isinstance(command, commands.Run):
            work.sent = True
            work.started_ms = now_ms
        self.databases.send(link.number, command)

    def handle_reply(
        self,
        group: ServiceGroup,
        link: links.Link,
        command: commands.Command,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Process the reply to a command and continue with the next."""
        work = link.work
        match command:
            case commands.Run() if work is None or work.done:
                self._discard_reply(group, link, reply, now_ms)
            case commands.Run():
                self._finish_run(group, link, reply, now_ms)
            case commands.Rollback():
                self._finish_rollback(group, link, reply, now_ms)
            case _ if isinstance(command, commands.STATUS_COMMANDS):
                link.work = None
                self.send_next(group, link, now_ms)
                if work is not None:
                    work.on_reply(reply)
            case _:
                self._finish_setup(group, link, command, reply, now_ms)

    def handle_loss(
        self, group: ServiceGroup, link: links.Link, now_ms: int
    ) -> None:
        """Retry or answer the statement on a link that was lost."""
        work = link.work
        _fail_pinned_transaction(link)
        if isinstance(work, sessions.Work):
            if not work.done:
                self._retry_or_fail(group, link, work, now_ms)
        elif work is not None:
            work.on_reply(None)

    def refuse(
        self,
        work: sessions.Work,
        reason: str,
        now_ms: int,
    ) -> None:
        """Answer BUSY: the statement was not executed."""
        transaction = work.session.transaction
        if transaction is not None:
            transaction.failed = True
        self.journal.count('refused', reason.replace(' ', '_'))
        self.fail(work, statements.Code.BUSY, reason, now_ms)

    def fail(
        self,
        work: sessions.Work,
        code: statements.Code,
        reason: str,
        now_ms: int,
    ) -> None:
        """Answer a statement with an error."""
        if work.statement.verb is statements.Verb.COMMIT:
            work.session.transaction = None
        answer = statements.Answer(code=code, detail=reason)
        self._answer(work, answer, now_ms)

    def release(
        self,
        group: ServiceGroup,
        link: links.Link,
        now_ms: int,
    ) -> None:
        """Roll back the transaction of a link and free the link."""
        link.pinned = None
        link.steps.clear()
        if link.in_flight is not None:
            # A command of the transaction is still in flight; only closing
            # the connection aborts it.
            group.pool.drop(link)
            return
        link.work = None
        link.steps.append(commands.Rollback())
        self.send_next(group, link, now_ms)

    def abort(
        self,
        group: ServiceGroup,
        work: sessions.Work,
        reason: str,
        now_ms: int,
    ) -> None:
        """Abort the transaction of a statement that was not sent."""
        link = work.session.transaction.link
        _fail_pinned_transaction(link)
        work.session.transaction.failure_unreported = False
        self.release(group, link, now_ms)
        self.fail(work, statements.Code.ABORTED, reason, now_ms)

    def end_replaced(
        self, group: ServiceGroup, link: links.Link, now_ms: int
    ) -> None:
        """Roll back the idle transaction of a link to a replaced primary.

        Its session is told with the answer to its next statement.
        """
        session = link.pinned
        if link.in_flight is not None or not isinstance(
            session, sessions.Session
        ):
            return
        transaction = session.transaction
        if transaction is None or transaction.read_only:
            return
        if not group.leadership.has_replaced(transaction.lead):
            return
        self.journal.write(
            'transaction_ended',
            {
                'service': group.name,
                'session': session.number,
                'instance': link.instance,
                'term': transaction.lead.term,
                'newest': group.leadership.term,
            },
        )
        link.work = None
        _fail_pinned_transaction(link)
        self.release(group, link, now_ms)

    def expire(
        self, group: ServiceGroup, work: sessions.Work, now_ms: int
    ) -> None:
        """Answer a statement on a link that has passed its deadline."""
        link = work.link
        code = outcomes.after_deadline(work)
        if work.session.transaction is not None or not work.sent:
            # Only closing the connection aborts what runs on it.
            _fail_pinned_transaction(link)
            group.pool.drop(link)
        self.fail(work, code, 'deadline', now_ms)

    def give_up(
        self, group: ServiceGroup, work: sessions.Work, now_ms: int
    ) -> None:
        """Answer a statement on a link at once, since the process exits."""
        code = outcomes.after_loss(work)
        if code is None:
            code = statements.Code.ABORTED if work.sent else _NOT_SENT
        _fail_pinned_transaction(work.link)
        group.pool.drop(work.link)
        self.fail(work, code, 'stopping', now_ms)

    def retry_elsewhere(
        self, group: ServiceGroup, work: sessions.Work, now_ms: int
    ) -> None:
        """Retry a read at another instance, since its own does not answer."""
        link = work.link
        link.work = None
        link.steps.clear()
        work.tried.add(link.instance)
        self.journal.write(
            'move_read',
            {
                'request': work.statement.request_id,
                'service': group.name,
                'instance': link.instance,
                'waited_ms': now_ms - work.started_ms,
            },
        )
        group.requeue(work, now_ms)

    def _retry_or_fail(
        self,
        group: ServiceGroup,
        link: links.Link,
        work: sessions.Work,
        now_ms: int,
    ) -> None:
        code = outcomes.after_loss(work)
        if code is None:
            work.tried.add(link.instance)
            group.requeue(work, now_ms)
        else:
            self.fail(work, code, 'link lost', now_ms)

    def _finish_run(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        work = link.work
        state = group.pool.states[link.instance]
        if reply.code is None and not _is_confirmed(group, work, now_ms):
            self._withhold(group, link, reply, now_ms)
            return
        if reply.code is None:
            spent_ms = now_ms - link.sent_ms
            if not work.needs_primary:
                # Statements that need the primary are shorter than reads, so
                # they would make it look faster than its replicas.
                state.latency.sample(spent_ms, now_ms)
                read_failures.note_success(self.journal, group, link)
            group.backlog.sample(work.route.database, spent_ms)
            self._succeed(group, link, reply, now_ms)
            return
        self._run_failed(group, link, reply, now_ms)

    def _succeed(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        work = link.work
        session = work.session
        if work.commits:
            session.record_commit(reply.position)
        if work.statement.verb is statements.Verb.COMMIT:
            session.transaction = None
            link.pinned = None
        link.work = None
        answer = statements.Answer(
            reply.rows,
            reply.signature,
            position=reply.position,
        )
        self.send_next(group, link, now_ms)
        self._answer(work, answer, now_ms)

    def _withhold(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Withhold a reply of a primary that may have been replaced."""
        work = link.work
        self.journal.write(
            'reply_unconfirmed',
            {
                'request': work.statement.request_id,
                'service': group.name,
                'instance': link.instance,
                'term': group.leadership.term,
                'stopped': group.right.stopped_term,
                'position': str(reply.position),
            },
        )
        code = outcomes.after_loss(work)
        if work.session.transaction is None:
            self._free_after_statement(group, link, reply, now_ms)
        else:
            _fail_pinned_transaction(link)
            self.release(group, link, now_ms)
        if code is None:
            group.requeue(work, now_ms)
        else:
            self.fail(work, code, _MAYBE_REPLACED, now_ms)

    def _free_after_statement(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Free a link after a statement outside client transactions."""
        link.work = None
        link.steps.clear()
        if reply.state is not statements.State.IDLE:
            link.steps.append(commands.Rollback())
        self.send_next(group, link, now_ms)

    def _run_failed(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        work = link.work
        if reply.code is statements.Code.UNKNOWN_STATEMENT:
            link.prepared.clear()
        if reply.code is statements.Code.FAILED and not work.needs_primary:
            read_failures.note_failure(self.journal, group, link, now_ms)
        if work.session.transaction is not None:
            self._transaction_failed(group, link, reply, now_ms)
            return
        self._free_after_statement(group, link, reply, now_ms)
        if reply.code in statements.NOT_RUN or (
            reply.code is statements.Code.UNKNOWN_STATEMENT
        ):
            self._retry(group, link, work, reply, now_ms)
            return
        self.fail(work, reply.code, reply.detail, now_ms)

    def _retry(
        self,
        group: ServiceGroup,
        link: links.Link,
        work: sessions.Work,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        self.journal.count('refused_by_instance', reply.code.value)
        state = group.pool.states[link.instance]
        if reply.code is statements.Code.BEHIND:
            state.behind_until_ms = now_ms + _LAG_BACKOFF_MS
        elif reply.code in _TRY_ELSEWHERE:
            work.tried.add(link.instance)
        self.journal.write(
            'not_run',
            {
                'request': work.statement.request_id,
                'service': group.name,
                'instance': link.instance,
                'code': reply.code.value,
                'position': str(reply.position),
            },
        )
        group.requeue(work, now_ms)

    def _transaction_failed(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        work = link.work
        _fail_pinned_transaction(link)
        self.release(group, link, now_ms)
        reason = f'instance said {reply.code}: {reply.detail}'
        self.fail(work, outcomes.in_transaction(reply.code), reason, now_ms)

    def _finish_setup(
        self,
        group: ServiceGroup,
        link: links.Link,
        command: commands.Command,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        work = link.work
        if reply.code is not None:
            self._setup_failed(group, link, command, reply, now_ms)
            return
        for step in commands.steps_of(command):
            links.record_setup(link, step)
        if work is None or work.done:
            self._discard_reply(group, link, reply, now_ms)
        elif _may_run(group, link, command, now_ms):
            self.send_next(group, link, now_ms)
        else:
            self._drop_unsent(group, link, now_ms)

    def _drop_unsent(
        self, group: ServiceGroup, link: links.Link, now_ms: int
    ) -> None:
        """Give a statement back whose primary was replaced during its setup."""
        work = link.work
        transaction = work.session.transaction
        if transaction is not None:
            self.abort(group, work, _REPLACED, now_ms)
            return
        link.work = None
        group.pool.drop(link)
        group.requeue(work, now_ms)

    def _setup_failed(
        self,
        group: ServiceGroup,
        link: links.Link,
        command: commands.Command,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Retry the statement, unless its transaction has begun already."""
        work = link.work
        link.steps.clear()
        link.work = None
        steps = commands.steps_of(command)
        for step in steps[: reply.succeeded]:
            links.record_setup(link, step)
        at_begin = isinstance(steps[reply.succeeded], commands.Begin)
        if at_begin and reply.state is statements.State.IDLE:
            link.pinned = None
            self.send_next(group, link, now_ms)
        else:
            # The state of the link is unknown.
            group.pool.drop(link)
        if work is None or work.done:
            return
        transaction = work.session.transaction
        if transaction is not None and transaction.begun:
            transaction.fail()
            self.fail(work, statements.Code.ABORTED, reply.detail, now_ms)
            return
        if transaction is not None:
            transaction.link = None
        self._retry(group, link, work, reply, now_ms)

    def _finish_rollback(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        if reply.state is statements.State.IDLE:
            self.send_next(group, link, now_ms)
        else:
            group.pool.drop(link)

    def _discard_reply(
        self,
        group: ServiceGroup,
        link: links.Link,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Free a link after the reply to a statement without a client."""
        link.work = None
        link.steps.clear()
        if reply.state is statements.State.IDLE:
            link.pinned = None
            self._mark_idle(link, now_ms)
        elif link.pinned is None:
            link.steps.append(commands.Rollback())
            self.send_next(group, link, now_ms)
        else:
            group.pool.drop(link)

    def _mark_idle(self, link: links.Link, now_ms: int) -> None:
        if link.pinned is None:
            link.work = None
        link.idle_since_ms = now_ms

    def _answer(
        self,
        work: sessions.Work,
        answer: statements.Answer,
        now_ms: int,
    ) -> None:
        if work.done:
            return
        work.done = True
        session = work.session
        session.work = None
        answer.state = session.state
        outcome = answer.code.value if answer.code else 'done'
        spent_ms = now_ms - work.arrived_ms
        mode = work.route.mode.value
        self.journal.count('answers', f'{mode}_{outcome}')
        self.journal.observe('answer_ms', mode, spent_ms)
        self.journal.write(
            'answer',
            {
                'request': work.statement.request_id,
                'version': work.routing.version,
                'service': work.route.service,
                'instance': _last_instance(work),
                'outcome': outcome,
                'reason': answer.detail,
                'spent_ms': spent_ms,
                'sent': work.sent,
            },
        )
        self.clients.answer(session.number, answer)
        self.on_done(session, now_ms)


def _is_confirmed(
    group: ServiceGroup, work: sessions.Work, now_ms: int
) -> bool:
    """Return whether a successful reply may be passed on to the client."""
    return not work.uses_primary or group.right.covers(work.lead, now_ms)


def _may_run(
    group: ServiceGroup,
    link: links.Link,
    setup: commands.Command,
    now_ms: int,
) -> bool:
    """Return whether a statement may be sent after its setup."""
    work = link.work
    if not work.uses_primary:
        return True
    begins = any(
        isinstance(step, commands.Begin) for step in commands.steps_of(setup)
    )
    if begins or work.session.transaction is None:
        # The time in which a leaving primary gets new work may have ended.
        if not group.pool.states[link.instance].reachable_at(now_ms):
            return False
    return group.right.may_continue(work.lead, now_ms)


def _fail_pinned_transaction(link: links.Link) -> None:
    """Mark the transaction of a link as failed and detach it from the link."""
    session = link.pinned
    if isinstance(session, sessions.Session) and session.transaction:
        session.transaction.fail()
        # Without a pending statement, the answer to the next one reports it.
        session.transaction.failure_unreported = link.work is None


def _last_instance(work: sessions.Work) -> str:
    """Return the last instance that got a statement, or ''."""
    return '' if work.link is None else work.link.instance


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default callback."""
