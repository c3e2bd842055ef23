"""Client sessions of one process and the statements answered locally.

SET, PREPARE and BEGIN need no database instance. They are answered at once,
and the session state is replayed on a link when a statement needs one.
"""

import typing

from jacinthhaven.limits import kept_texts
from jacinthhaven.sql import (
    access,
    execution,
    expiry,
    group,
    ports,
    quota_gate,
    records,
    service_groups,
    sessions,
    statement_flow,
    statements,
)

# Pipelined statements that may wait in one session.
_MAX_PIPELINED = 64


class Gateway:
    """Client sessions and service groups of one process.

    Attributes:
      sessions: Open sessions by connection number.
      groups: Service groups by service name.
      configuration: Active configuration.
      shares: How the connection limits are divided.
      entries: Latest registry entries.
      pending_starts: Connection number, database and key digest of sessions
        that were opened before the first configuration arrived.
      access: Decision which callers may use which databases.
      draining: Whether inactive sessions are closed.
      close_after_answer: Whether a session is closed once its statement is
        answered, because the process is about to exit.
      kept: Limit of the settings and prepared statements of sessions.
      refused_verbs: Statements that are refused for the same reason.
      quota_gate: Operations that wait for the limit of their customer.
    """

    def __init__(
        self,
        zone: str,
        databases: ports.Databases,
        clients: ports.Clients,
        journal: ports.Journal,
    ) -> None:
        """Create a gateway without sessions or configuration."""
        self.zone = zone
        self.executor = execution.Executor(databases, clients, journal)
        self.executor.on_done = self._on_done
        self.sessions: dict[int, sessions.Session] = {}
        self.groups: dict[str, group.Group] = {}
        self.configuration = records.EMPTY
        self.shares = service_groups.LinkShares(1)
        self.entries: typing.Sequence[records.Instance] = ()
        self.pending_starts: list[tuple[int, str, str]] = []
        self.access = access.Access()
        self.kept = kept_texts.KeptTexts()
        self.draining = False
        self.close_after_answer = False
        self.refused_verbs: frozenset[statements.Verb] = frozenset()
        self.quota_gate = quota_gate.QuotaGate(
            self.executor, journal, self._submit
        )
        self.now_ms = 0

    @property
    def clients(self) -> ports.Clients:
        """Return the connections of the clients."""
        return self.executor.clients

    @property
    def journal(self) -> ports.Journal:
        """Return the log and the metrics."""
        return self.executor.journal

    @property
    def configured(self) -> bool:
        """Return whether a configuration has been loaded."""
        return self.configuration.version >= 0

    def configure(
        self,
        configuration: records.Configuration,
        now_ms: int,
    ) -> None:
        """Apply a configuration if it is newer than the active one."""
        if configuration.version <= self.configuration.version:
            return
        self.journal.write(
            'configuration',
            {
                'version': configuration.version,
                'previous': self.configuration.version,
                'routes': len(configuration.routes),
            },
        )
        self.configuration = configuration
        self.access.configuration = configuration
        service_groups.configure(self, now_ms)
        self.set_link_shares(*self.shares)
        self.register(self.entries, now_ms)
        for start in self.pending_starts:
            self.on_start(*start)
        self.pending_starts = []
        if self.access.needs_keys:
            expiry.end_revoked(self, now_ms)

    def set_link_shares(
        self,
        owner_count: int,
        owned: typing.Container[str] | None = None,
    ) -> None:
        """Divide the connection limit of each instance among the owners.

        Args:
          owner_count: Number of owners of each service.
          owned: Names of the services that this node owns; None for all.
        """
        self.shares = service_groups.LinkShares(owner_count, owned)
        service_groups.share_links(self)

    def register(
        self,
        entries: typing.Sequence[records.Instance],
        now_ms: int,
        proved_ms: int | None = None,
    ) -> None:
        """Apply the instance entries of the registry.

        Args:
          entries: All entries.
          now_ms: Current time.
          proved_ms: When their read was sent, or None if it may be old.
        """
        self.entries = entries
        for name, service_group in self.groups.items():
            own = [entry for entry in entries if entry.service == name]
            service_group.pool.update(own, now_ms, proved_ms)

    def on_start(
        self, number: int, database: str, key_digest: str = ''
    ) -> None:
        """Open a session, or refuse it if it may use no route."""
        if not self.configured:
            self.pending_starts.append((number, database, key_digest))
            return
        code = self.access.refusal_code(database, key_digest)
        if code is not None:
            self.journal.count('access_refused', code.value)
            self.journal.write(
                'session_refused',
                {
                    'database': database,
                    'version': self.configuration.version,
                    'code': code.value,
                },
            )
            self.clients.refuse(number, code)
            return
        session = sessions.Session(number, database, self.now_ms, key_digest)
        self.sessions[number] = session
        self.clients.accept(number)

    def on_relayed(
        self, number: int, database: str, version: int, key_digest: str = ''
    ) -> None:
        """Open a session that another node relays, or refuse it at once.

        Args:
          number: Number of the connection.
          database: Database that the client asked for.
          version: Configuration version of the relaying node. This node
            refuses the session if its own version is older.
          key_digest: Digest of the client's key, or ''.
        """
        outdated = self.configuration.version < version
        if self.draining or outdated or not self.configured:
            self.journal.count('relays', 'refused')
            self.clients.refuse(number, statements.Code.BUSY)
            return
        self.on_start(number, database, key_digest)

    def on_statement(
        self,
        number: int,
        statement: statements.Statement,
        now_ms: int,
    ) -> None:
        """Execute a statement after the earlier ones of its session."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.active_ms = now_ms
        if session.work is None and not session.waiting:
            statement_flow.handle(self, session, statement, now_ms)
            if session.work is None:
                self._close_if_answered(session, now_ms)
        elif len(session.waiting) < _MAX_PIPELINED:
            session.waiting.append(statement)
        else:
            self.journal.count('clients_closed', 'pipelined')
            self.clients.close(number)
            self.on_closed(number, now_ms)

    def on_closed(self, number: int, now_ms: int) -> None:
        """Remove a closed session and roll back its open transaction."""
        session = self.sessions.pop(number, None)
        if session is None:
            self.pending_starts = [
                start for start in self.pending_starts if start[0] != number
            ]
            return
        session.waiting.clear()
        work = session.work
        if work is not None:
            work.done = True
            service_group = self.groups[work.route.service]
            service_group.cancel(work)
            # The cycle would keep the statement until a collection.
            session.work = None
        self.end_transaction(session, now_ms)

    def tick(self, now_ms: int) -> None:
        """Run the timers of all services, transactions and sessions."""
        self.now_ms = now_ms
        if self.draining:
            expiry.close_inactive(self, now_ms)
        if self.access.needs_keys:
            expiry.end_revoked(self, now_ms)
        self.quota_gate.tick(now_ms)
        for service_group in tuple(self.groups.values()):
            service_group.tick(now_ms)
            if service_group.removed and service_groups.end_if_unused(
                service_group
            ):
                self.groups.pop(service_group.name)
        expiry.end_idle(self, now_ms)

    def drain(self, now_ms: int) -> None:
        """Close inactive sessions now and at every later tick."""
        self.draining = True
        expiry.close_inactive(self, now_ms)

    def adopt_aborted(
        self, number: int, database: str, now_ms: int, key_digest: str = ''
    ) -> None:
        """Take over a session whose transaction another node has rolled back.

        Args:
          number: Number of the client connection.
          database: Database of the session, which has a route.
          now_ms: Current time.
          key_digest: Digest of the client's key, or ''.
        """
        session = sessions.Session(number, database, now_ms, key_digest)
        routing = sessions.find_routing(session, self.configuration)
        session.transaction = sessions.Transaction(routing, False, now_ms)
        session.transaction.fail_unreported()
        self.sessions[number] = session

    def end_sessions(self, now_ms: int) -> None:
        """Answer all statements and close all sessions."""
        for start in self.pending_starts:
            self.clients.refuse(start[0], statements.Code.BUSY)
        self.pending_starts = []
        for session in tuple(self.sessions.values()):
            work = session.work
            if work is not None:
                self.groups[work.route.service].give_up(work, now_ms)
            # The answer may have closed the session.
            if session.number in self.sessions:
                self.clients.close(session.number)
                self.on_closed(session.number, now_ms)

    def execute(
        self,
        session: sessions.Session,
        statement: statements.Statement,
        now_ms: int,
    ) -> None:
        if statement.verb is statements.Verb.EXECUTE:
            if statement.name not in session.prepared:
                self.answer_error(
                    session,
                    statements.Code.UNKNOWN_STATEMENT,
                    statement.name,
                )
                return
        routing = sessions.find_routing(session, self.configuration)
        if routing is None or routing.route.service not in self.groups:
            code = self.refusal_code(session)
            self.journal.count('access_refused', code.value)
            self.journal.write(
                'no_route',
                {
                    'request': statement.request_id,
                    'database': session.database,
                    'version': self.configuration.version,
                    'code': code.value,
                },
            )
            self.answer_error(session, code, '')
            return
        work = sessions.Work(session, statement, routing, now_ms)
        session.work = work
        self.quota_gate.enter(work, now_ms)

    def refusal_code(self, session: sessions.Session) -> statements.Code:
        """Return the error for a session that may use no route now."""
        code = self.access.refusal_code(session.database, session.key_digest)
        return code or statements.Code.BUSY

    def answer_success(self, session: sessions.Session) -> None:
        answer = statements.Answer(state=session.state)
        self.clients.answer(session.number, answer)

    def answer_error(
        self,
        session: sessions.Session,
        code: statements.Code,
        detail: str,
    ) -> None:
        if code is statements.Code.ABORTED and session.transaction is not None:
            session.transaction.failed = True
        self.journal.count('local_errors', code.value)
        answer = statements.Answer(
            code=code,
            detail=detail,
            state=session.state,
        )
        self.clients.answer(session.number, answer)

    def end_transaction(
        self,
        session: sessions.Session,
        now_ms: int,
    ) -> None:
        transaction = session.transaction
        session.transaction = None
        if transaction is None or transaction.link is None:
            return
        service_group = self.groups[transaction.route.service]
        self.executor.release(service_group, transaction.link, now_ms)
        service_group.dispatch(now_ms)

    def _submit(self, work: sessions.Work, now_ms: int) -> None:
        """Execute a statement that its customer's limit has admitted."""
        self.groups[work.route.service].submit(work, now_ms)

    def _on_done(self, session: sessions.Session, now_ms: int) -> None:
        session.active_ms = now_ms
        transaction = session.transaction
        if transaction is not None:
            transaction.active_ms = now_ms
        while session.waiting and session.work is None:
            statement_flow.handle(
                self, session, session.waiting.popleft(), now_ms
            )
        self._close_if_answered(session, now_ms)

    def _close_if_answered(
        self, session: sessions.Session, now_ms: int
    ) -> None:
        """Close a session without open work if the process is about to exit."""
        if not self.close_after_answer or not session.idle:
            return
        if session.number not in self.sessions:
            return
        if not self.clients.has_more(session.number):
            self.clients.close(session.number)
            self.on_closed(session.number, now_ms)
