"""Right of a node to use the primary of a service, and its withdrawal.

Where the platform checks no fencing tokens, a primary that was replaced
keeps serving every node that reaches it. The right prevents that in the way
of a quorum lease: a node sends writes and reads of current data to the
primary, and returns their results, only while a majority of the owners has
confirmed the primary's term within `CONFIRMATION_VALID_MS`. Before a
promotion, a majority promises not to confirm that term any more, and the node
that orders the promotion waits until the confirmations given to all nodes
without such a promise have expired. Any two majorities share an owner, so no
node uses the old primary afterwards, whether it reaches the store or not.

The right for a term says nothing about work that was sent in an earlier one. So
each statement carries the lead under which it was sent, and counts only while
that is the present lead.

The validity of a confirmation is counted from the time of the question, on
the clock of the node that asked; that clock also runs during suspension.
"""

import typing

from jacinthhaven.records import history
from jacinthhaven.sql import leadership

# Validity of a confirmation: four question intervals, so three questions or
# answers in a row may be lost or late.
CONFIRMATION_VALID_MS = 1200
# Intervals of questions to the same owner, while the right is held and while
# it is not.
ASK_INTERVAL_MS = 300
ASK_RETRY_MS = 60
# Time that running statements get for their replies after a stop request.
DRAIN_MS = 200


class Confirmation(typing.NamedTuple):
    """Last answer of an owner about one service.

    Attributes:
      asked_ms: When the question was sent, on this node's clock.
      term: Newest term that the owner knows.
      stopped: Newest term that the owner does not confirm any more.
    """

    asked_ms: int
    term: int
    stopped: int

    def confirms(self, term: int) -> bool:
        """Return whether the owner confirms a term."""
        return self.stopped < term and self.term <= term


class Right:
    """Right of this node to use the primary of one service.

    Attributes:
      leadership: Leader and term of the service as this node knows them.
      required: Whether the primary may only be used with the right.
      knows_promotions: Whether this process knows of all promotions under
        way. It confirms no term before that.
      voters: Owners of which a majority has to confirm.
      confirmations: Last answer of each owner.
      confirmed_ms: When this node last confirmed a term to each other node.
      draining_term: Newest term whose primary is sent no more statements.
      stopped_term: Newest term whose results are not returned any more.
      draining_since_ms: When `draining_term` changed.
      fence: Fencing token of the promotion that requested the stop.
      ended_fence: Fencing token of the newest promotion that is finished or
        abandoned.
      stop_requester: Node that waits for this one to stop, or ''.
      expected_ms: Time until which a starting node is expected to obtain
        the right for the first time.
    """

    __slots__ = (
        'node',
        'leadership',
        'required',
        'knows_promotions',
        'voters',
        'confirmations',
        'confirmed_ms',
        'draining_term',
        'stopped_term',
        'draining_since_ms',
        'fence',
        'ended_fence',
        'stop_requester',
        'expected_ms',
    )

    def __init__(self, leads: leadership.Leadership) -> None:
        """Require no right until `require` is called."""
        self.node = ''
        self.leadership = leads
        self.required = False
        self.knows_promotions = False
        self.voters: tuple[str, ...] = ()
        self.confirmations: dict[str, Confirmation] = {}
        self.confirmed_ms: dict[str, int] = {}
        self.draining_term = 0
        self.stopped_term = 0
        self.draining_since_ms = 0
        self.fence = history.NONE
        self.ended_fence = history.NONE
        self.stop_requester = ''
        self.expected_ms = 0

    def require(self, node: str, now_ms: int) -> None:
        """Allow the use of the primary with the right only.

        Args:
          node: Name of this node.
          now_ms: Current time.
        """
        self.node = node
        self.required = True
        self.expected_ms = now_ms + CONFIRMATION_VALID_MS

    def covers(self, lead: leadership.Lead | None, now_ms: int) -> bool:
        """Return whether results of a lead may be returned to clients.

        Args:
          lead: Lead under which the statement was sent.
          now_ms: Current time.
        """
        if not self.required:
            return True
        return lead == self.leadership.lead and self.held(now_ms)

    def may_continue(self, lead: leadership.Lead | None, now_ms: int) -> bool:
        """Return whether more statements of a transaction may be sent.

        Args:
          lead: Lead under which the transaction was begun.
          now_ms: Current time.
        """
        if self.leadership.has_replaced(lead):
            return False
        return self.covers(lead, now_ms) and self.may_send(now_ms)

    def held(self, now_ms: int) -> bool:
        """Return whether a majority confirms the newest term."""
        if not self.required:
            return True
        if self.stopped_term >= self.leadership.term:
            return False
        return self.is_majority(self._confirming(now_ms))

    def may_send(self, now_ms: int) -> bool:
        """Return whether statements may be sent to the primary."""
        if not self.required:
            return True
        return self.draining_term < self.leadership.term and self.held(now_ms)

    def lacks_quorum(self, now_ms: int) -> bool:
        """Return whether too few owners answer for the right to be held."""
        if not self.required or now_ms < self.expected_ms:
            return False
        answering = [
            name
            for name, confirmation in self.confirmations.items()
            if confirmation.asked_ms > now_ms - CONFIRMATION_VALID_MS
        ]
        return not self.is_majority([*answering, self.node])

    def is_majority(self, names: typing.Collection[str]) -> bool:
        """Return whether the named nodes include a majority of the voters."""
        agreeing = set(self.voters).intersection(names)
        return 2 * len(agreeing) > len(self.voters)

    @property
    def confirms(self) -> bool:
        """Return whether this node confirms the newest term that it knows."""
        return (
            self.knows_promotions and self.draining_term < self.leadership.term
        )

    def on_question(self, sender: str, now_ms: int) -> None:
        """Record that a question of another node is answered now.

        The sender may take the answer as a confirmation of a term that this
        node does not know yet, so every answer counts as one.
        """
        self.confirmed_ms[sender] = now_ms

    def on_confirmation(self, owner: str, answer: Confirmation) -> None:
        """Store the answer of an owner unless a later one is known."""
        known = self.confirmations.get(owner)
        if known is None or known.asked_ms < answer.asked_ms:
            self.confirmations[owner] = answer

    def on_stop(
        self,
        sender: str,
        term: int,
        fence: history.EraNumber,
        now_ms: int,
    ) -> bool:
        """Accept a request to stop using the primary of a term.

        Args:
          sender: Node that orders a promotion.
          term: Term to stop.
          fence: Fencing token of the promotion.
          now_ms: Current time.

        Returns:
          Whether the request is accepted; a request of an earlier or
          finished promotion is not.
        """
        if fence <= self.ended_fence or fence < self.fence:
            return False
        self.fence = fence
        self.stop_requester = sender
        if term > self.draining_term:
            self.draining_term = term
            self.draining_since_ms = now_ms
        return True

    def on_ended(self, fence: history.EraNumber) -> None:
        """Accept that the promotions up to a fencing token are over."""
        if fence <= self.ended_fence:
            return
        self.ended_fence = fence
        if self.fence <= fence:
            self.draining_term = 0
            self.stopped_term = 0
            self.stop_requester = ''

    def stop_when_drained(self, busy: bool, now_ms: int) -> str:
        """Stop returning results of the draining term once it is drained.

        The term is drained when no statement runs any more, or after
        `DRAIN_MS`.

        Args:
          busy: Whether statements run at the primary.
          now_ms: Current time.

        Returns:
          The node that waits for this one to stop, or ''.
        """
        over = not busy or now_ms - self.draining_since_ms >= DRAIN_MS
        if over:
            self.stopped_term = self.draining_term
            requester = self.stop_requester
            self.stop_requester = ''
            return requester
        return ''

    def confirmation_ages(self, now_ms: int) -> dict[str, int]:
        """Return the age of each valid confirmation that this node has given.

        Returns:
          Milliseconds since this node confirmed a term, by node.
        """
        ages = {
            name: now_ms - at_ms for name, at_ms in self.confirmed_ms.items()
        }
        return {
            name: age
            for name, age in ages.items()
            if age < CONFIRMATION_VALID_MS
        }

    def _confirming(self, now_ms: int) -> list[str]:
        term = self.leadership.term
        since_ms = now_ms - CONFIRMATION_VALID_MS
        names = [
            name
            for name, answer in self.confirmations.items()
            if answer.asked_ms > since_ms and answer.confirms(term)
        ]
        if self.confirms:
            names.append(self.node)
        return names


class Withdrawal:
    """Progress of one request to all nodes to stop using a term.

    Attributes:
      right: Right of this node, which also gives the voters.
      term: Term to stop.
      fence: Fencing token of the promotion.
      stopped_nodes: Nodes that have stopped.
      expiry_ms: When the last confirmation expires that a node may have, by
        node.
      newest_term: Newest term that a node has reported.
    """

    __slots__ = (
        'right',
        'term',
        'fence',
        'stopped_nodes',
        'expiry_ms',
        'newest_term',
    )

    def __init__(
        self,
        right: Right,
        term: int,
        fence: history.EraNumber,
    ) -> None:
        """Start with no node stopped."""
        self.right = right
        self.term = term
        self.fence = fence
        self.stopped_nodes: set[str] = set()
        self.expiry_ms: dict[str, int] = {}
        self.newest_term = term

    def on_stopped(
        self,
        name: str,
        term: int,
        ages_ms: typing.Mapping[str, int],
        now_ms: int,
    ) -> None:
        """Accept that a node has stopped.

        Args:
          name: Node that has stopped.
          term: Newest term that it knows.
          ages_ms: Ages of the confirmations that it has given, by the node
            that received them.
          now_ms: Current time.
        """
        self.newest_term = max(self.newest_term, term)
        self.stopped_nodes.add(name)
        for receiver, age_ms in ages_ms.items():
            until_ms = now_ms + CONFIRMATION_VALID_MS - age_ms
            self.expiry_ms[receiver] = max(
                self.expiry_ms.get(receiver, 0), until_ms
            )

    def missing(self) -> list[str]:
        """Return the nodes that have not stopped yet.

        These are voters and nodes that were given confirmations.
        """
        names = {*self.right.voters, *self.expiry_ms}
        return sorted(names - self.stopped_nodes)

    @property
    def all_stopped(self) -> bool:
        """Return whether every owner has stopped."""
        return self.stopped_nodes.issuperset(self.right.voters)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether no node uses the term any more.

        That is so once a majority has stopped and the confirmations of all
        other nodes have expired.
        """
        if not self.right.is_majority(self.stopped_nodes):
            return False
        return all(
            until_ms <= now_ms
            for name, until_ms in self.expiry_ms.items()
            if name not in self.stopped_nodes
        )
