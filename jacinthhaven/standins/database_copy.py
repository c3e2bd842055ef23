"""One instance's copy of one database: its term, role and replication.

The copy enforces the rules that the proxy's safety rests on: it accepts
each term once, refuses commands of other terms and replicates only from
the primary of the newest term that it knows.
"""

import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import replicated_log

Command = (
    backend.ResolveRequest
    | backend.FenceRequest
    | backend.PromoteRequest
    | backend.FollowRequest
)


class PullRequest(msgspec.Struct):
    """Request of a replica for the log entries that it does not have.

    Attributes:
      instance: Name of the replica.
      database: Name of the database.
      term: Term of the replica's copy.
      log_term: Term of the last received entry.
      position: Position of the last received entry.
      starts: Start of every term in the received log.
    """

    instance: str
    database: str
    term: int
    log_term: int
    position: int
    starts: list[backend.TermStart]


class PullReply(msgspec.Struct):
    """Log entries of a primary.

    Attributes:
      primary: Name of the primary.
      term: Term of the primary.
      prefix: Position up to which both logs are the same.
      prefix_term: Term of the entry at that position; 0 at position 0.
      entries: Entries that follow the common prefix.
    """

    primary: str
    term: int
    prefix: int
    prefix_term: int
    entries: list[replicated_log.Entry]


class RefusedError(Exception):
    """The copy refuses a request; nothing was executed."""

    def __init__(
        self,
        kind: failures.Kind,
        detail: str,
        term: int = 0,
    ) -> None:
        """Prepare the reply that reports the refusal."""
        super().__init__(detail)
        self.reply = backend.ErrorReply(kind.code, detail, term)


class DatabaseCopy:
    """Term, role and log of one database on one instance.

    Attributes:
      contact_ms: When the followed primary was heard last.
      on_term: Called with each newly accepted term.
    """

    def __init__(self, name: str) -> None:
        """Start with an empty log in term 0 and no primary to follow."""
        self.name = name
        self.term = 0
        self.primary = False
        self.upstream = ''
        self.log = replicated_log.Log()
        self.contact_ms = 0
        self.role_changes = 0
        self.on_term: typing.Callable[[int], None] = _ignore

    @property
    def changes(self) -> int:
        """Return a counter of all changes of the log, term and role."""
        return self.role_changes + self.log.changes

    def status(self, now_ms: int) -> backend.DatabaseStatus:
        """Return the state that the instance reports."""
        return backend.DatabaseStatus(
            database=self.name,
            primary=self.primary,
            term=self.term,
            log_term=self.log.term,
            position=self.log.position,
            applied=self.log.position,
            starts=self.log.visible_starts(),
            upstream_silent_ms=0 if self.primary else now_ms - self.contact_ms,
        )

    def require_primary(self, term: int) -> None:
        """Check that the copy is primary of exactly this term.

        Raises:
          RefusedError: If it is not, with the current term.
        """
        if not self.primary or self.term != term:
            raise RefusedError(
                failures.STALE_TERM,
                f'{self.name} is not primary of term {term}',
                self.term,
            )

    def command(
        self,
        request: Command,
        now_ms: int,
    ) -> backend.ResolveReply | backend.FenceReply:
        """Run a request that is not a statement.

        Returns:
          The outcome of a request key, or the end of the log after a
          change of role.

        Raises:
          RefusedError: If the request does not fit the copy's term or role.
        """
        match request:
            case backend.ResolveRequest():
                return self.resolve(request)
            case backend.FenceRequest():
                return self.fence(request.term)
            case backend.PromoteRequest():
                return self.promote(request.term)
        return self.follow(request, now_ms)

    def resolve(self, request: backend.ResolveRequest) -> backend.ResolveReply:
        """Return the outcome of a request key; cancel it if it is absent.

        Raises:
          RefusedError: If the copy is not primary of the request's term.
        """
        self.require_primary(request.term)
        known = self.log.recorded.get(request.request_key)
        if known is None:
            known = self.log.write(
                replicated_log.Entry(
                    self.term,
                    replicated_log.CANCEL,
                    request_key=request.request_key,
                ),
            )
        return backend.ResolveReply(
            done=not known.cancelled,
            log_term=self.log.term,
            position=known.position,
            result=known.result,
        )

    def fence(self, term: int) -> backend.FenceReply:
        """Accept a higher term and stop writes and replication of lower ones.

        Raises:
          RefusedError: If the term is not higher than the current one.
        """
        if term <= self.term:
            raise RefusedError(
                failures.STALE_TERM,
                'the copy has accepted this term or a higher one',
                self.term,
            )
        self._enter(term)
        return self._log_end()

    def promote(self, term: int) -> backend.FenceReply:
        """Become primary and start the term with an empty entry.

        A repeated command finds the copy primary already and changes
        nothing.

        Raises:
          RefusedError: If the copy's term differs.
        """
        if term != self.term:
            raise RefusedError(
                failures.STALE_TERM,
                'the copy was not fenced for this term',
                self.term,
            )
        if not self.primary:
            self._enter(term)
            self.primary = True
            self.log.write(
                replicated_log.Entry(term, replicated_log.START),
            )
        return self._log_end()

    def follow(
        self,
        request: backend.FollowRequest,
        now_ms: int,
    ) -> backend.FenceReply:
        """Replicate from a primary.

        Raises:
          RefusedError: If the term is lower than the copy's term, or the
            copy itself is primary of this term.
        """
        if request.term < self.term or (
            self.primary and request.term == self.term
        ):
            raise RefusedError(
                failures.STALE_TERM,
                'the copy has a higher term or is primary of this term',
                self.term,
            )
        if (self.upstream, self.term) != (request.primary, request.term):
            self._enter(request.term)
            self.upstream = request.primary
            self.contact_ms = now_ms
        return self._log_end()

    def pull_request(self, instance: str) -> PullRequest:
        """Return the next replication request to the followed primary."""
        received = len(self.log.entries)
        return PullRequest(
            instance=instance,
            database=self.name,
            term=self.term,
            log_term=self.log.term_at(received),
            position=received,
            starts=list(self.log.starts),
        )

    def serve_pull(self, request: PullRequest, instance: str) -> PullReply:
        """Return the entries that a replica does not have.

        Raises:
          RefusedError: If the copy is not a primary, or the replica has
            accepted a higher term.
        """
        if not self.primary or request.term > self.term:
            raise RefusedError(
                failures.STALE_TERM,
                'the copy is not primary of the term of the replica',
                self.term,
            )
        prefix = self.log.common_prefix(request.starts, request.position)
        return PullReply(
            primary=instance,
            term=self.term,
            prefix=prefix,
            prefix_term=self.log.term_at(prefix),
            entries=self.log.entries_after(prefix),
        )

    def accept_pull(self, reply: PullReply, now_ms: int, lag_ms: int) -> bool:
        """Take over the entries of the followed primary.

        Args:
          reply: Reply of a primary.
          now_ms: Time of arrival.
          lag_ms: Delay until the entries become visible.

        Returns:
          Whether the reply was accepted; it is refused if it is from
          another instance or a lower term, or does not continue the log.
        """
        if reply.primary != self.upstream or reply.term < self.term:
            return False
        if reply.prefix > len(self.log.entries):
            return False
        if self.log.term_at(reply.prefix) != reply.prefix_term:
            return False
        if reply.term > self.term:
            self.term = reply.term
            self.role_changes += 1
            self.on_term(reply.term)
        self.contact_ms = now_ms
        self.log.receive(reply.prefix, reply.entries, now_ms + lag_ms)
        self.log.show_due(now_ms)
        return True

    def restart(self, now_ms: int) -> None:
        """Keep the visible log and the term; lose the role."""
        self._enter(self.term)
        self.contact_ms = now_ms

    def _enter(self, term: int) -> None:
        self.term = term
        self.primary = False
        self.upstream = ''
        self.log.drop_received()
        self.role_changes += 1
        self.on_term(term)

    def _log_end(self) -> backend.FenceReply:
        return backend.FenceReply(self.term, self.log.term, self.log.position)


def _ignore(_term: int) -> None:
    """Do nothing; default of an unset callback."""
