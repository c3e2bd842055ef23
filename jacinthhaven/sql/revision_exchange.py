"""Questions between nodes about the newest revision of the configuration.

A node asks another one at intervals. The node that is asked polls the store
on behalf of all that ask it, so that the number of calls to the store does not
grow with the number of nodes. A node that gets no recent answer asks the next
one, and polls the store itself before its configuration becomes too old. So
neither a silent watch nor a silent node can hide a new configuration for long.
"""

import collections
import typing

from jacinthhaven.kernel import ranking
from jacinthhaven.records import history
from jacinthhaven.sql import (
    freshness,
    ownership,
    peer_messages,
    peering,
    ports,
    records,
)

# Nodes that ask the same one. At the target size this keeps the messages of a
# node below 4 KB a second.
_NODES_PER_POLLER = 40
# Intervals as divisors of the longest time until a change is in force. In the
# worst usual case a node learns of a change after a poll and a question; then
# there is time for two more attempts of either.
_POLL_DIVISOR = 4
_ASK_DIVISOR = 6
_OWN_POLL_DIVISOR = 2
# A node polls on behalf of others for this many of their questions after the
# last one.
_WANTED_QUESTIONS = 3
# Time for the reply of another node, longer than a poll takes if the store is
# slow.
_REPLY_TIMEOUT_MS = 300
# How long a question waits at a node for the result of its poll.
_MAX_DEFERRAL_MS = 200

Addresses = typing.Mapping[str, records.Address]
Deferred = tuple[int, peer_messages.RevisionRequest]


class Intervals:
    """Intervals of one node, in milliseconds.

    Attributes:
      ask_ms: Between two questions to another node.
      poll_ms: Age of the configuration at which a node polls the store on
        behalf of others.
      own_poll_ms: Age at which any node does.
    """

    __slots__ = ('ask_ms', 'poll_ms', 'own_poll_ms')

    def __init__(self, apply_within_ms: int) -> None:
        """Divide the longest time until a change is in force."""
        self.ask_ms = apply_within_ms // _ASK_DIVISOR
        self.poll_ms = apply_within_ms // _POLL_DIVISOR
        self.own_poll_ms = apply_within_ms // _OWN_POLL_DIVISOR


class OwnerRecords:
    """What a node knows of the keys that owners write.

    Attributes:
      revision: Newest known revision; `history.NONE` if the node does not
        watch them.
      missed: Whether another node knows a newer one.
    """

    __slots__ = ('revision', 'missed')

    def __init__(self) -> None:
        """Start as a node that does not watch them."""
        self.revision = history.NONE
        self.missed = False


class RevisionExchange:
    """Questions and answers of one node.

    Attributes:
      freshness: What this node knows about its configuration.
      intervals: Intervals of questions and polls.
      addresses: Message addresses of the other listed nodes.
      candidates: Names of these nodes; the first one is asked.
      asked_ms: When the unanswered question was sent, or None.
      next_ask_ms: When the next question is due.
      heard_ms: When another node last replied, or None.
      wanted_until_ms: Until when this node polls on behalf of others.
      deferred: Arrival and content of the questions that wait for the result
        of a poll, by node.
      next_poll_ms: Earliest time of the next poll.
      records: Knowledge of the keys that owners write.
      on_newer: Called with the address of a node that reports a newer
        configuration.
    """

    def __init__(
        self,
        node: str,
        address: records.Address,
        messenger: peering.Messenger,
        journal: ports.Journal,
        apply_within_ms: int,
    ) -> None:
        """Create the exchange of a node that knows no other nodes.

        Args:
          node: Name of this node.
          address: Address at which it receives messages.
          messenger: Sends messages to other nodes.
          journal: Log and metrics.
          apply_within_ms: Longest time until a change is in force.
        """
        self.node = node
        self.address = address
        self.messenger = messenger
        self.journal = journal
        self.freshness = freshness.Freshness(apply_within_ms)
        self.intervals = Intervals(apply_within_ms)
        self.addresses: Addresses = {}
        self.candidates: collections.deque[str] = collections.deque()
        self.asked_ms: int | None = None
        self.next_ask_ms = 0
        self.heard_ms: int | None = None
        self.wanted_until_ms = 0
        self.deferred: dict[str, Deferred] = {}
        self.next_poll_ms = 0
        self.records = OwnerRecords()
        self.on_newer: typing.Callable[[records.Address], None] = _ignore

    def set_members(self, peers: ownership.Peers) -> None:
        """Set the other listed nodes."""
        if peers.keys() != self.addresses.keys():
            self.candidates = _candidates(self.node, peers)
        self.addresses = {name: peer.address for name, peer in peers.items()}

    def is_wanted(self, now_ms: int) -> bool:
        """Return whether this node polls the store on behalf of others."""
        return now_ms < self.wanted_until_ms or not self.candidates

    def is_alone(self, now_ms: int) -> bool:
        """Return whether no other node has replied lately."""
        heard_ms = self.heard_ms
        return (
            heard_ms is None or now_ms - heard_ms >= self.intervals.own_poll_ms
        )

    def poll_due(self, now_ms: int) -> bool:
        """Return whether the store must be polled, and note that it is."""
        limit_ms = self.intervals.own_poll_ms
        if self.is_wanted(now_ms):
            limit_ms = self.intervals.poll_ms
        missed = self.freshness.outdated or self.records.missed
        young = self.freshness.is_younger(limit_ms, now_ms)
        if now_ms < self.next_poll_ms or (young and not missed):
            return False
        self.records.missed = False
        self.next_poll_ms = now_ms + self.intervals.poll_ms // 2
        return True

    def tick(self, now_ms: int) -> None:
        """Send the messages that are due."""
        self._log_certainty(now_ms)
        for name, (since_ms, request) in tuple(self.deferred.items()):
            polled = self.freshness.is_younger(self.intervals.poll_ms, now_ms)
            if polled or now_ms - since_ms >= _MAX_DEFERRAL_MS:
                self.deferred.pop(name)
                self._reply(request, now_ms)
        if self.asked_ms is not None:
            if now_ms - self.asked_ms >= _REPLY_TIMEOUT_MS:
                self._ask_next(now_ms)
        elif now_ms >= self.next_ask_ms and self._needs_answers(now_ms):
            self._ask(now_ms)

    def on_message(
        self, message: peer_messages.RevisionMessage, now_ms: int
    ) -> None:
        """Handle a message from another node."""
        if isinstance(message, peer_messages.RevisionReply):
            self._on_reply(message, now_ms)
        else:
            self._on_request(message, now_ms)

    def on_proof(self, at_ms: int) -> None:
        """Handle a reply of the store that contains all changes up to a time.

        The changes in it must have been applied before.
        """
        self.freshness.on_store_proof(at_ms)

    def _needs_answers(self, now_ms: int) -> bool:
        if not self.candidates:
            return False
        own = self.is_wanted(now_ms) and self.freshness.is_younger(
            self.intervals.own_poll_ms, now_ms
        )
        return not own

    def _ask(self, now_ms: int) -> None:
        name = self.candidates[0]
        self.asked_ms = now_ms
        self.next_ask_ms = now_ms + self.intervals.ask_ms
        self.journal.count('revision_messages', 'asked')
        request = peer_messages.RevisionRequest(
            self.node,
            self.address,
            now_ms,
            self.freshness.edition.revision,
            self.freshness.edition.version,
        )
        self.messenger.send(self.addresses[name], request)

    def _ask_next(self, now_ms: int) -> None:
        self.asked_ms = None
        self.candidates.rotate(-1)
        self.journal.count('revision_messages', 'unanswered')
        if self._needs_answers(now_ms):
            self._ask(now_ms)

    def _on_request(
        self, request: peer_messages.RevisionRequest, now_ms: int
    ) -> None:
        until_ms = now_ms + _WANTED_QUESTIONS * self.intervals.ask_ms
        self.wanted_until_ms = until_ms
        edition = freshness.Edition(request.version, request.revision)
        self._note(edition, request.sender, request.address, now_ms)
        if self.freshness.is_younger(self.intervals.poll_ms, now_ms):
            self._reply(request, now_ms)
        else:
            self.deferred[request.sender] = (now_ms, request)

    def _reply(
        self, request: peer_messages.RevisionRequest, now_ms: int
    ) -> None:
        age_ms = self.freshness.age_ms(now_ms)
        reply = peer_messages.RevisionReply(
            self.node,
            request.at_ms,
            self.freshness.edition.revision,
            -1 if age_ms is None else age_ms,
            self.records.revision,
            self.freshness.edition.version,
        )
        self.messenger.send(request.address, reply)

    def _on_reply(
        self, reply: peer_messages.RevisionReply, now_ms: int
    ) -> None:
        self.heard_ms = now_ms
        if reply.at_ms == self.asked_ms:
            self.asked_ms = None
            if not 0 <= reply.age_ms < self.intervals.own_poll_ms:
                # The store does not answer that node either.
                self.candidates.rotate(-1)
        if 0 < self.records.revision < reply.records_revision:
            self.records.missed = True
        edition = freshness.Edition(reply.version, reply.revision)
        address = self.addresses.get(reply.sender)
        self._note(edition, reply.sender, address, now_ms)
        if reply.age_ms >= 0:
            # The reply was sent after the question.
            at_ms = reply.at_ms - reply.age_ms
            self.freshness.on_proof(edition, at_ms)

    def _note(
        self,
        edition: freshness.Edition,
        sender: str,
        address: records.Address | None,
        now_ms: int,
    ) -> None:
        """Handle the edition that another node has."""
        if self.freshness.on_report(edition, now_ms):
            self.journal.write(
                'configuration_outdated',
                {
                    'version': self.freshness.edition.version,
                    'revision': self.freshness.edition.revision,
                    'newest_version': edition.version,
                    'newest': edition.revision,
                    'source': sender,
                },
            )
        if self.freshness.edition.covers(edition):
            return
        if address is not None:
            self.on_newer(address)

    def _log_certainty(self, now_ms: int) -> None:
        """Log whether the configuration is certain to be the one in force."""
        certain = self.freshness.is_certain(now_ms)
        if certain == self.freshness.certain:
            return
        self.freshness.certain = certain
        self.journal.write(
            'configuration_certain' if certain else 'configuration_uncertain',
            {
                'revision': self.freshness.edition.revision,
                'age_ms': self.freshness.age_ms(now_ms),
            },
        )


def _candidates(node: str, peers: ownership.Peers) -> collections.deque[str]:
    """Return the other nodes in the order in which a node asks them.

    All nodes rank the nodes alike, and each begins with one of the first, so
    that few nodes poll the store. Large VMs come first: they own services, so
    that they watch the records of the owners too.
    """
    ranked = ranking.ranked('configuration', peers)
    # The sort is stable: nodes of equal capacity stay in ranking order.
    ranked.sort(key=lambda name: -peers[name].capacity)
    pollers = 1 + len(ranked) // _NODES_PER_POLLER
    first = ranking.weight('configuration', node) % pollers
    candidates = collections.deque(ranked)
    candidates.rotate(-first)
    return candidates


def _ignore(_address: records.Address) -> None:
    """Do nothing; default of an unset callback."""
