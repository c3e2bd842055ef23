"""Client sessions that are relayed to an owner.

The node that accepted the client only forwards lines and records which
statements are unanswered. If the owner is lost, it can thus report the right
error: a read or an unfinished transaction is aborted, while the outcome of a
commit or of a single write is unknown.
"""

import random
import typing

from jacinthhaven.sql import (
    expiry,
    gateway,
    owner_choice,
    ownership,
    ports,
    relayed_sessions,
    session_returns,
    statements,
)

# Owners that a session tries before this node executes it.
_MAX_TRIES = 3
# Time after the first configuration in which an empty member list delays new
# sessions; after it, this node executes them.
_MEMBERS_WAIT_MS = 1000
# How long a session of an unknown database waits for a proof that the
# configuration is the one in force.
_PROOF_WAIT_MS = 1000


class Relay:
    """Relayed sessions of one node.

    Attributes:
      local: Gateway for the sessions that this node executes itself.
      peers: Listed nodes by name.
      sessions: Relayed sessions by number of the client connection.
      by_relay: Relayed sessions by number of the connection to the owner.
      choice: Choice of the owners that a session tries.
      pending_starts: Sessions that were opened before `routing_ready`, or whose
        database may have been added since the configuration was read.
      configured_ms: When the first configuration was seen, or None.
      returns: Return of sessions that this node executes to the owners.
      on_unreachable: Called when no owner of a session could be reached.
    """

    def __init__(
        self,
        node: str,
        local: gateway.Gateway,
        relays: ports.Relays,
        rng: random.Random,
    ) -> None:
        """Create the relay of a node that knows no owners yet."""
        self.node = node
        self.local = local
        self.relays = relays
        self.journal = local.journal
        self.peers: dict[str, ownership.Peer] = {}
        self.sessions: dict[int, relayed_sessions.RelayedSession] = {}
        self.by_relay: dict[int, relayed_sessions.RelayedSession] = {}
        self.choice = owner_choice.OwnerChoice(local.zone, rng, self.journal)
        self.pending_starts: list[relayed_sessions.PendingStart] = []
        self.configured_ms: int | None = None
        self.returns = session_returns.SessionReturns(node, local, self.choice)
        self.on_unreachable: typing.Callable[[], None] = _ignore
        self.now_ms = 0

    @property
    def routing_ready(self) -> bool:
        """Return whether it can be decided which node executes a session."""
        if not self.local.configured:
            return False
        if self.peers or self.configured_ms is None:
            return bool(self.peers)
        return self.now_ms - self.configured_ms >= _MEMBERS_WAIT_MS

    def set_members(self, peers: dict[str, ownership.Peer]) -> None:
        """Set the listed nodes of the fleet."""
        self.peers = peers
        self.choice.update_peers(peers)

    def on_start(
        self, number: int, database: str, now_ms: int, key_digest: str = ''
    ) -> None:
        """Relay a new session to an owner, or open it on this node."""
        start = relayed_sessions.PendingStart(
            number, database, now_ms, key_digest
        )
        self._start(start, now_ms)

    def on_statement(
        self,
        number: int,
        statement: statements.Statement,
        now_ms: int,
    ) -> None:
        """Forward a statement to the owner or to the local gateway."""
        session = self.sessions.get(number)
        if session is None:
            self.local.on_statement(number, statement, now_ms)
            return
        refusal = self.local.access.refusal_code(
            session.database, session.key_digest
        )
        if session.idle and refusal is not None:
            self.journal.count('access_refused', refusal.value)
            answer = statements.Answer(code=refusal)
            self.local.clients.answer(number, answer)
            return
        if session.refused or statement.verb in self.local.refused_verbs:
            self._refuse(session)
            return
        if session.unanswered:
            session.sent_ms = 0
        else:
            session.active_ms = now_ms
            session.sent_ms = now_ms
        session.unanswered.append(statement)
        self.relays.send(session.relay, statement)

    def on_closed(self, number: int, now_ms: int) -> None:
        """Remove a session whose client has disconnected."""
        session = self.sessions.pop(number, None)
        if session is not None:
            self._drop(session)
            return
        self.pending_starts = [
            start for start in self.pending_starts if start.number != number
        ]
        self.local.on_closed(number, now_ms)

    def on_line(
        self,
        relay: int,
        line: str,
        state: statements.State | None,
        now_ms: int,
    ) -> None:
        """Handle a line from an owner."""
        session = self.by_relay.get(relay)
        if session is None:
            return
        session.pinged = False
        session.active_ms = now_ms
        if not session.accepted:
            self._on_session_reply(session, state, now_ms)
            return
        if state is not None and session.unanswered:
            answered = session.unanswered.pop(0)
            session.state = state
            if answered.verb in relayed_sessions.ANSWERED_BY_OWNER:
                self.choice.on_answer(session, now_ms)
        self.local.clients.send_line(session.number, line)
        answered = state is not None and session.idle
        if session.refused and not session.unanswered:
            self._answer_refused(session)
            return
        if self.local.close_after_answer and answered:
            self._close_if_read(session)

    def on_alive(self, relay: int) -> None:
        """Handle the reply of an owner to a ping."""
        session = self.by_relay.get(relay)
        if session is not None:
            session.pinged = False

    def on_lost(self, relay: int, now_ms: int) -> None:
        """Handle the loss of a connection to an owner."""
        session = self.by_relay.pop(relay, None)
        if session is None:
            return
        if session.accepted:
            self._on_owner_lost(session)
        else:
            self.choice.back_off(session.owner, now_ms)
            self._try_next(session, now_ms)

    def tick(self, now_ms: int) -> None:
        """Check unresponsive owners, start and close sessions."""
        self.now_ms = now_ms
        if self.configured_ms is None and self.local.configured:
            self.configured_ms = now_ms
        pending = self.pending_starts if self.routing_ready else []
        if pending:
            self.pending_starts = []
        for start in pending:
            self._start(start, now_ms)
        self.returns.tick(now_ms)
        if self.local.draining:
            self.close_inactive(now_ms)
        elif self.local.access.needs_keys:
            self._close_revoked(now_ms)
        for session in tuple(self.sessions.values()):
            timeout_ms = relayed_sessions.timeout_ms(session)
            if now_ms - session.active_ms >= timeout_ms:
                self._check_owner(session, now_ms)

    def close_inactive(self, now_ms: int) -> None:
        """Close all inactive sessions."""
        for session in tuple(self.sessions.values()):
            self._close_if_inactive(session, now_ms)

    def abort_transactions(self, now_ms: int) -> None:
        """Roll back the transactions that have no running statement.

        The owner does so when its connection closes. This node answers the
        next statement itself.
        """
        for session in tuple(self.sessions.values()):
            open_transaction = session.state is not statements.State.IDLE
            if open_transaction and not session.unanswered:
                self.sessions.pop(session.number)
                self._drop(session)
                self.local.adopt_aborted(
                    session.number,
                    session.database,
                    now_ms,
                    session.key_digest,
                )

    def end_sessions(self) -> None:
        """Answer all statements and close all sessions."""
        for start in self.pending_starts:
            self.local.clients.refuse(start.number, statements.Code.BUSY)
        self.pending_starts = []
        for session in tuple(self.sessions.values()):
            if session.accepted:
                self._on_owner_lost(session)
            else:
                self.sessions.pop(session.number, None)
                self._drop(session)
                self.local.clients.refuse(session.number, statements.Code.BUSY)

    def _close_revoked(self, now_ms: int) -> None:
        """Close the inactive sessions whose keys were removed."""
        allows = self.local.access.allows
        for session in tuple(self.sessions.values()):
            if not allows(session.database, session.key_digest):
                self._close_if_inactive(session, now_ms)

    def _refuse(self, session: relayed_sessions.RelayedSession) -> None:
        """Refuse a statement, since the process is about to exit.

        The session is closed with the answer if nothing else runs on it, and
        with the next answer of the owner otherwise.
        """
        session.refused += 1
        if not session.unanswered:
            self._answer_refused(session)

    def _answer_refused(self, session: relayed_sessions.RelayedSession) -> None:
        """Answer the refused statements after those that the owner answers."""
        code = statements.Code.BUSY
        if session.state is not statements.State.IDLE:
            code = statements.Code.ABORTED
        answer = statements.Answer(
            code=code, detail='stopping', state=session.state
        )
        while session.refused:
            session.refused -= 1
            self.local.clients.answer(session.number, answer)
        self._close_if_read(session)

    def _start(self, start: relayed_sessions.PendingStart, now_ms: int) -> None:
        number, database, arrived_ms, key_digest = start
        if not self.routing_ready:
            self.pending_starts.append(start)
            return
        in_doubt = self.local.access.is_in_doubt(database, key_digest)
        if in_doubt and now_ms - arrived_ms < _PROOF_WAIT_MS:
            self.pending_starts.append(start)
            return
        route = self.local.configuration.routes.get(database)
        owners = []
        if self.local.access.allows(database, key_digest):
            customer = self.local.access.customer_of(database, key_digest)
            owners = self.choice.order(route.service, now_ms, customer)
            if customer and self.node in owners:
                # The owners before this one serve the customer rather.
                owners = owners[: owners.index(self.node)]
        if not owners or self.node in owners:
            self.local.on_start(number, database, key_digest)
            return
        session = relayed_sessions.RelayedSession(start, owners[:_MAX_TRIES])
        self.sessions[number] = session
        self._try_next(session, now_ms)

    def _try_next(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        listed = [name for name in session.candidates if name in self.peers]
        if not listed:
            self.sessions.pop(session.number, None)
            self.journal.count('relays', 'local')
            self.on_unreachable()
            self.local.on_start(
                session.number, session.database, session.key_digest
            )
            return
        session.owner = listed[0]
        session.candidates = listed[1:]
        session.active_ms = now_ms
        session.tried_ms = now_ms
        session.relay = self.relays.open(
            self.peers[session.owner].address,
            session.database,
            self.local.configuration.version,
            session.key_digest,
        )
        self.by_relay[session.relay] = session

    def _check_owner(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        if session.pinged or not session.accepted:
            self._on_owner_silent(session, now_ms)
        elif session.unanswered:
            session.pinged = True
            session.active_ms = now_ms
            self.relays.ping(session.relay)

    def _on_session_reply(
        self,
        session: relayed_sessions.RelayedSession,
        state: statements.State | None,
        now_ms: int,
    ) -> None:
        if state is None:
            # The owner is stopping or has an older configuration.
            self._drop(session)
            self._try_next(session, now_ms)
            return
        session.accepted = True
        self.choice.on_accepted(session, now_ms)
        self.journal.count('relays', 'accepted')
        self.local.clients.accept(session.number)

    def _on_owner_silent(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        self.journal.write(
            'owner_silent',
            {'owner': session.owner, 'database': session.database},
        )
        self.relays.close(session.relay)
        self.on_lost(session.relay, now_ms)
        if session.accepted:
            self.choice.back_off(session.owner, now_ms)

    def _on_owner_lost(self, session: relayed_sessions.RelayedSession) -> None:
        """Answer unanswered statements with an error and close the session."""
        if session.unanswered:
            code = relayed_sessions.loss_code(session)
            self.journal.write(
                'owner_lost',
                {
                    'request': session.unanswered[0].request_id,
                    'owner': session.owner,
                    'outcome': code.value,
                },
            )
            answer = statements.Answer(code=code, detail='owner lost')
            for _ in session.unanswered:
                self.local.clients.answer(session.number, answer)
        self._close(session)

    def _close_if_inactive(
        self, session: relayed_sessions.RelayedSession, now_ms: int
    ) -> None:
        if session.inactive_for(now_ms) >= expiry.INACTIVITY_MS:
            self._close_if_read(session)

    def _close_if_read(self, session: relayed_sessions.RelayedSession) -> None:
        """Close a session unless a statement waits in the receive buffer."""
        if not self.local.clients.has_more(session.number):
            self._close(session)

    def _close(self, session: relayed_sessions.RelayedSession) -> None:
        self.sessions.pop(session.number, None)
        self._drop(session)
        self.local.clients.close(session.number)

    def _drop(self, session: relayed_sessions.RelayedSession) -> None:
        self.by_relay.pop(session.relay, None)
        self.relays.close(session.relay)


def _ignore() -> None:
    """Do nothing; the default callback."""
