"""Leader, proved positions and delays, as learned from instance replies."""

from jacinthhaven.sql import (
    commands,
    execution,
    instances,
    leadership,
    links,
    pool,
    ports,
    proofs,
    records,
    rights,
    statements,
)

# Commands that may require a position.
_POSITIONED = (commands.Run, commands.Begin)


class ReplyTracker:
    """State of one service that is learned from replies.

    Attributes:
      leadership: Leader and term of the service.
      proofs: Proved positions of the primary.
      right: Right to use the primary; its replies prove nothing without it.
    """

    def __init__(
        self,
        name: str,
        members: pool.Pool,
        journal: ports.Journal,
        now_ms: int,
    ) -> None:
        """Start without knowledge of a service.

        Args:
          name: Name of the service.
          members: Links to its instances.
          journal: Log and metrics.
          now_ms: Current time.
        """
        self.name = name
        self.pool = members
        self.journal = journal
        self.leadership = leadership.Leadership(now_ms)
        self.proofs = proofs.ProofHistory()
        self.right = rights.Right(self.leadership)

    def on_reply(
        self,
        link: links.Link,
        command: commands.Command,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Update leader, positions and delays from a reply."""
        command = commands.steps_of(command)[-1]
        state = self.pool.states[link.instance]
        if reply.position is not None:
            state.applied = reply.position
            self._update_delay(state, reply.position, now_ms)
        if reply.status is not None:
            self._update_leader(link, reply.status)
        _update_window(state, reply, now_ms)
        required = command.after if isinstance(command, _POSITIONED) else None
        if required is not None:
            self._update_lag(state, required, reply, now_ms)
        if reply.code is statements.Code.READ_ONLY:
            self.clear_leader(link.instance, 0, 'refused a write')
        elif reply.code is None and self.right.covers(
            _lead_of(link, reply), now_ms
        ):
            if self._is_proof(link, command, reply):
                self._add_proof(link, reply)

    def set_leader(
        self, instance: str, term: int, source: leadership.Source
    ) -> None:
        """Accept that an instance leads a term."""
        fields = {
            'service': self.name,
            'instance': instance,
            'term': term,
            'source': source.value,
        }
        if self.leadership.contradicts(instance, term):
            known = {'known': self.leadership.named}
            self.journal.write('leader_contradicted', fields | known)
        if self.leadership.observe(instance, term, source):
            self.journal.write('leader_changed', fields)

    def clear_leader(self, instance: str, term: int, source: str) -> None:
        """Accept that an instance does not lead."""
        if self.leadership.observe_not_leading(instance, term):
            self.journal.write(
                'leader_lost',
                {
                    'service': self.name,
                    'instance': instance,
                    'term': term,
                    'source': source,
                },
            )

    def _update_leader(
        self,
        link: links.Link,
        status: records.InstanceStatus,
    ) -> None:
        if status.is_primary:
            self.set_leader(
                link.instance, status.term, leadership.Source.STATUS
            )
        else:
            self.clear_leader(link.instance, status.term, 'status')

    def _update_lag(
        self,
        state: instances.InstanceState,
        required: records.Position,
        reply: statements.Reply,
        now_ms: int,
    ) -> None:
        """Record whether an instance has applied the required position.

        The position was rolled back if the leader lacks it, or an instance
        that has applied a later one. All proofs are invalid then.
        """
        if reply.code is None:
            state.behind_ms = None
        if reply.code is not statements.Code.BEHIND:
            return
        passed = reply.position is not None and reply.position >= required
        if passed or state.entry.name == self.leadership.leader:
            self.proofs.clear()
        elif state.behind_ms is None:
            state.behind_ms = now_ms

    def _update_delay(
        self,
        state: instances.InstanceState,
        position: records.Position,
        now_ms: int,
    ) -> None:
        if state.entry.name == self.leadership.leader:
            return
        if self.proofs.newest is not None:
            passed_ms = self.proofs.time_passed(position) or now_ms
            state.replication.sample(now_ms - passed_ms, now_ms)

    def _is_proof(
        self,
        link: links.Link,
        command: commands.Command,
        reply: statements.Reply,
    ) -> bool:
        if link.instance != self.leadership.leader:
            return False
        if reply.status is not None:
            return reply.status.is_primary
        return execution.runs_as_primary(link, command)

    def _add_proof(self, link: links.Link, reply: statements.Reply) -> None:
        position = reply.position
        if reply.status is not None and reply.status.received is not None:
            position = reply.status.received
        if position is None:
            return
        self.proofs.add(
            proofs.Proof(link.sent_ms, self.leadership.term, position),
        )


def _lead_of(
    link: links.Link, reply: statements.Reply
) -> leadership.Lead | None:
    """Return the lead under which an instance made a reply."""
    if reply.status is not None:
        return leadership.Lead(link.instance, reply.status.term)
    return link.lead


def _update_window(
    state: instances.InstanceState,
    reply: statements.Reply,
    now_ms: int,
) -> None:
    """Tell the window of an instance whether its queue was full."""
    if reply.code is statements.Code.BUSY:
        state.window.shrink(now_ms)
    elif reply.code is None:
        state.window.grow()
