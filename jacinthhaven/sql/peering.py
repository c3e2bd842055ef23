"""Messages between nodes that grant and withdraw the right to use a primary.

The voters are the nodes that the store lists, and those that were listed or
sent a message within `HEARD_MS`. Nodes that are cut off from the store thus
remain voters, so that after a network partition not both sides believe that
they are the majority.
"""

import abc
import collections
import typing

from jacinthhaven.sql import (
    group,
    instances,
    ownership,
    peer_messages,
    ports,
    records,
    rights,
    sessions,
)

# How long a node remains a voter after it was last listed or sent a message:
# longer than network partitions usually last.
HEARD_MS = 20_000

# How long too few owners must answer before a node counts as isolated and
# sends its clients to other nodes. Killed processes have restarted by then.
ISOLATED_MS = 1500

Groups = typing.Mapping[str, group.Group]
Peers = dict[str, ownership.Peer]


class Messenger(abc.ABC):
    """Sends messages to other nodes; any message may be lost."""

    @abc.abstractmethod
    def send(
        self,
        address: records.Address,
        message: peer_messages.Message,
    ) -> None:
        """Send one message to the node at an address."""


class Peering:
    """Rights of one node to use the primaries of all services.

    Attributes:
      required: Whether a primary may only be used with the right.
      listed: Nodes that the store lists, by name.
      voters: Nodes that are listed, or were listed or heard recently.
      heard_ms: When each node was last listed or sent a message.
      held: Whether this node held the right at the last check, by service.
      addresses: Message address of each node.
      ask_ms: When the next confirmations are requested.
      cut_off_ms: Since when too few owners of every service have answered, or
        None.
      isolated: Whether that has lasted for `ISOLATED_MS`, so that other nodes
        serve the clients better.
      withdrawals: Running requests of this node to stop the use of a term, by
        service.
    """

    def __init__(
        self,
        node: str,
        address: records.Address,
        groups: Groups,
        messenger: Messenger,
        journal: ports.Journal,
    ) -> None:
        """Create the peering of a node that knows no other nodes.

        Args:
          node: Name of this node.
          address: Address at which it receives messages.
          groups: Service groups by service name. The mapping is updated when
            the configuration changes.
          messenger: Sends messages to other nodes.
          journal: Log and metrics.
        """
        self.node = node
        self.address = address
        self.addresses: dict[str, records.Address] = {}
        self.groups = groups
        self.messenger = messenger
        self.journal = journal
        self.required = False
        self.listed: Peers = {}
        self.voters: Peers = {}
        self.heard_ms: dict[str, int] = {}
        self.held: dict[str, bool] = {}
        self.withdrawals: dict[str, rights.Withdrawal] = {}
        self.ask_ms = 0
        self.cut_off_ms: int | None = None
        self.isolated = False

    def isolated_at(self, now_ms: int) -> bool:
        """Return whether this node has been cut off for `ISOLATED_MS`."""
        cut_off_ms = self.cut_off_ms
        return cut_off_ms is not None and now_ms - cut_off_ms >= ISOLATED_MS

    def know(self, peers: Peers, now_ms: int) -> None:
        """Set the nodes that the store lists."""
        self.listed = peers
        for name, peer in peers.items():
            self.addresses[name] = peer.address
            self.heard_ms[name] = now_ms
        self._count_voters(now_ms)

    def adopt(self, known: group.Group, now_ms: int) -> None:
        """Require the right for a new service."""
        if self.required and not known.right.required:
            known.right.require(self.node, now_ms)
            self._choose_voters(known)

    def tick(self, now_ms: int) -> None:
        """Request confirmations and complete requested stops."""
        if not self.required:
            return
        for known in self.groups.values():
            self._stop_if_drained(known, now_ms)
            self._note_change(known, now_ms)
        self._note_isolation(now_ms)
        if now_ms >= self.ask_ms:
            self._count_voters(now_ms)
            self._ask(now_ms)

    def withdraw(
        self,
        service: str,
        term: int,
        fence: int,
        now_ms: int,
    ) -> rights.Withdrawal:
        """Ask all nodes to stop using the primary of a term.

        Args:
          service: Name of the service.
          term: Term to stop.
          fence: Fencing number of the promotion.
          now_ms: Current time.

        Returns:
          Progress of the request.
        """
        right = self.groups[service].right
        withdrawal = self.withdrawals.get(service)
        if withdrawal is None or withdrawal.fence != fence:
            withdrawal = rights.Withdrawal(right, term, fence)
            self.withdrawals[service] = withdrawal
            right.on_stop(self.node, term, fence, now_ms)
            self._stop_if_drained(self.groups[service], now_ms)
        message = peer_messages.Stop(
            self.node,
            self.address,
            service,
            term,
            fence,
        )
        for name in withdrawal.missing():
            self._send(name, message)
        return withdrawal

    def on_message(self, message: peer_messages.Message, now_ms: int) -> None:
        """Handle a message from another node."""
        self.heard_ms[message.sender] = now_ms
        if isinstance(message, (peer_messages.Question, peer_messages.Stop)):
            self.addresses[message.sender] = message.address
        match message:
            case peer_messages.Question():
                self._on_question(message, now_ms)
            case peer_messages.Confirmed():
                self._on_confirmed(message)
            case peer_messages.Stop():
                self._on_stop(message, now_ms)
            case peer_messages.Stopped():
                self._on_stopped(message, now_ms)

    def _on_question(
        self,
        message: peer_messages.Question,
        now_ms: int,
    ) -> None:
        held = []
        for name in message.services:
            known = self.groups.get(name)
            if known is None or not known.right.informed:
                continue
            right = known.right
            right.on_question(message.sender, now_ms)
            held.append(
                peer_messages.Held(
                    name,
                    known.leadership.term,
                    right.closing,
                    right.resumed,
                ),
            )
        reply = peer_messages.Confirmed(
            self.node,
            message.at_ms,
            tuple(held),
        )
        self._send(message.sender, reply)

    def _on_confirmed(self, message: peer_messages.Confirmed) -> None:
        for held in message.held:
            known = self.groups.get(held.service)
            if known is None:
                continue
            known.right.on_confirmation(
                message.sender,
                rights.Confirmation(message.at_ms, held.term, held.stopped),
            )
            known.right.on_resumed(held.resumed)
            if held.term > known.leadership.term:
                known.evidence.deny(
                    known.leadership.leader or '',
                    held.term,
                    'node',
                )

    def _on_stop(self, message: peer_messages.Stop, now_ms: int) -> None:
        known = self.groups.get(message.service)
        if known is None:
            return
        right = known.right
        counts = right.on_stop(
            message.sender,
            message.term,
            message.fence,
            now_ms,
        )
        if counts:
            known.leadership.expect(now_ms)
            self._stop_if_drained(known, now_ms)

    def _on_stopped(self, message: peer_messages.Stopped, now_ms: int) -> None:
        withdrawal = self.withdrawals.get(message.service)
        if withdrawal is not None and withdrawal.fence == message.fence:
            withdrawal.on_stopped(
                message.sender,
                message.term,
                message.users,
                now_ms,
            )

    def _stop_if_drained(self, known: group.Group, now_ms: int) -> None:
        right = known.right
        if not right.stopper:
            return
        stopper = right.stop_when_drained(
            _awaits_primary(known, now_ms), now_ms
        )
        if not stopper:
            return
        self.journal.write(
            'primary_stopped',
            {
                'service': known.name,
                'term': right.stopped,
                'fence': right.fence,
                'asked_by': stopper,
                'waited_ms': now_ms - right.closing_ms,
            },
        )
        message = peer_messages.Stopped(
            self.node,
            known.name,
            known.leadership.term,
            right.fence,
            right.recent_users(now_ms),
        )
        if stopper == self.node:
            self._on_stopped(message, now_ms)
        else:
            self._send(stopper, message)

    def _note_change(self, known: group.Group, now_ms: int) -> None:
        """Log gains and losses of the right to use a primary."""
        held = known.right.held(now_ms)
        if held == self.held.get(known.name, False) or not known.active:
            return
        self.held[known.name] = held
        self.journal.write(
            'right_gained' if held else 'right_lost',
            {
                'service': known.name,
                'term': known.leadership.term,
                'stopped': known.right.stopped,
                'voters': len(known.right.voters),
            },
        )

    def _note_isolation(self, now_ms: int) -> None:
        """Update and log whether this node is cut off from all owners."""
        active = [known for known in self.groups.values() if known.active]
        cut_off = [known.right.cut_off(now_ms) for known in active]
        if not cut_off or not all(cut_off):
            self.cut_off_ms = None
        elif self.cut_off_ms is None:
            self.cut_off_ms = now_ms
        isolated = self.isolated_at(now_ms)
        if isolated != self.isolated:
            self.isolated = isolated
            self.journal.write(
                'isolated' if isolated else 'isolation_over',
                {'voters': len(self.voters)},
            )

    def _ask(self, now_ms: int) -> None:
        services: dict[str, list[str]] = collections.defaultdict(list)
        complete = True
        for name, known in self.groups.items():
            if not known.active:
                continue
            complete = complete and known.right.held(now_ms)
            for owner in known.right.voters:
                services[owner].append(name)
        services.pop(self.node, None)
        if not services:
            return
        pause_ms = rights.ASK_MS if complete else rights.ASK_AGAIN_MS
        self.ask_ms = now_ms + pause_ms
        for owner, names in services.items():
            question = peer_messages.Question(
                self.node,
                self.address,
                now_ms,
                tuple(names),
            )
            self._send(owner, question)

    def _count_voters(self, now_ms: int) -> None:
        kept = {
            name: peer
            for name, peer in self.voters.items()
            if now_ms - self.heard_ms.get(name, -HEARD_MS) < HEARD_MS
        }
        voters = kept | self.listed
        if voters == self.voters:
            return
        self.voters = voters
        self.ask_ms = now_ms
        for known in self.groups.values():
            self._choose_voters(known)

    def _choose_voters(self, known: group.Group) -> None:
        known.right.voters = ownership.owners(known.name, self.voters)

    def _send(self, name: str, message: peer_messages.Message) -> None:
        address = self.addresses.get(name)
        if address is not None:
            self.messenger.send(address, message)


def _awaits_primary(known: group.Group, now_ms: int) -> bool:
    """Return whether client statements still await replies of the primary."""
    state = known.leader_state
    if state is None or state.silent_for(now_ms) >= instances.LOST_REPLY_MS:
        return False
    return any(
        link.sent is not None and isinstance(link.work, sessions.Work)
        for link in state.links
    )
