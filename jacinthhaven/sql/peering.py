"""Messages between nodes that grant and withdraw the right to use a primary.

The voters are the nodes that the store lists, and those that were listed or
sent a message within `VOTER_RETENTION_MS`. Nodes that are cut off from the
store thus remain voters, so that after a network partition not both sides
believe that they are the majority.
"""

import abc
import collections
import typing

from jacinthhaven.records import history
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
VOTER_RETENTION_MS = 20_000

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
      right_held: Whether this node held the right at the last check, by
        service.
      addresses: Message address of each node.
      next_request_ms: When the next confirmations are requested.
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
        self.right_held: dict[str, bool] = {}
        self.withdrawals: dict[str, rights.Withdrawal] = {}
        self.next_request_ms = 0
        self.cut_off_ms: int | None = None
        self.isolated = False

    def isolated_at(self, now_ms: int) -> bool:
        """Return whether this node has been cut off for `ISOLATED_MS`."""
        cut_off_ms = self.cut_off_ms
        return cut_off_ms is not None and now_ms - cut_off_ms >= ISOLATED_MS

    def set_members(self, peers: Peers, now_ms: int) -> None:
        """Set the nodes that the store lists."""
        self.listed = peers
        for name, peer in peers.items():
            self.addresses[name] = peer.address
            self.heard_ms[name] = now_ms
        self._update_voters(now_ms)

    def add_service(self, service_group: group.Group, now_ms: int) -> None:
        """Require the right for a new service."""
        if self.required and not service_group.right.required:
            service_group.right.require(self.node, now_ms)
            self._assign_voters(service_group)

    def tick(self, now_ms: int) -> None:
        """Request confirmations and complete requested stops."""
        if not self.required:
            return
        for service_group in self.groups.values():
            self._stop_if_drained(service_group, now_ms)
            self._log_right_change(service_group, now_ms)
        self._update_isolation(now_ms)
        if now_ms >= self.next_request_ms:
            self._update_voters(now_ms)
            self._request_confirmations(now_ms)

    def withdraw(
        self,
        service: str,
        term: int,
        fence: history.EraNumber,
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
        message = peer_messages.StopRequest(
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
        if isinstance(
            message, (peer_messages.ConfirmRequest, peer_messages.StopRequest)
        ):
            self.addresses[message.sender] = message.address
        match message:
            case peer_messages.ConfirmRequest():
                self._on_confirm_request(message, now_ms)
            case peer_messages.ConfirmReply():
                self._on_confirm_reply(message)
            case peer_messages.StopRequest():
                self._on_stop_request(message, now_ms)
            case peer_messages.StopReply():
                self._on_stop_reply(message, now_ms)

    def _on_confirm_request(
        self,
        message: peer_messages.ConfirmRequest,
        now_ms: int,
    ) -> None:
        held = []
        for name in message.services:
            service_group = self.groups.get(name)
            if (
                service_group is None
                or not service_group.right.knows_promotions
            ):
                continue
            right = service_group.right
            right.on_question(message.sender, now_ms)
            held.append(
                peer_messages.TermReport(
                    name,
                    service_group.leadership.term,
                    right.draining_term,
                    right.ended_fence,
                ),
            )
        reply = peer_messages.ConfirmReply(
            self.node,
            message.at_ms,
            tuple(held),
        )
        self._send(message.sender, reply)

    def _on_confirm_reply(self, message: peer_messages.ConfirmReply) -> None:
        for held in message.held:
            service_group = self.groups.get(held.service)
            if service_group is None:
                continue
            service_group.right.on_confirmation(
                message.sender,
                rights.Confirmation(message.at_ms, held.term, held.stopped),
            )
            service_group.right.on_ended(held.resumed)
            _learn_term(service_group, held.term)

    def _on_stop_request(
        self, message: peer_messages.StopRequest, now_ms: int
    ) -> None:
        service_group = self.groups.get(message.service)
        if service_group is None:
            return
        right = service_group.right
        accepted = right.on_stop(
            message.sender,
            message.term,
            message.fence,
            now_ms,
        )
        if accepted:
            service_group.leadership.expect_promotion(now_ms)
            self._stop_if_drained(service_group, now_ms)

    def _on_stop_reply(
        self, message: peer_messages.StopReply, now_ms: int
    ) -> None:
        service_group = self.groups.get(message.service)
        if service_group is not None:
            _learn_term(service_group, message.term)
        withdrawal = self.withdrawals.get(message.service)
        if withdrawal is not None and withdrawal.fence == message.fence:
            withdrawal.on_stopped(
                message.sender,
                message.term,
                message.users,
                now_ms,
            )

    def _stop_if_drained(self, service_group: group.Group, now_ms: int) -> None:
        right = service_group.right
        if not right.stop_requester:
            return
        stopper = right.stop_when_drained(
            _awaits_primary(service_group, now_ms), now_ms
        )
        if not stopper:
            return
        self.journal.write(
            'primary_stopped',
            {
                'service': service_group.name,
                'term': right.stopped_term,
                'fence': right.fence,
                'asked_by': stopper,
                'waited_ms': now_ms - right.draining_since_ms,
            },
        )
        message = peer_messages.StopReply(
            self.node,
            service_group.name,
            service_group.leadership.term,
            right.fence,
            right.confirmation_ages(now_ms),
        )
        if stopper == self.node:
            self._on_stop_reply(message, now_ms)
        else:
            self._send(stopper, message)

    def _log_right_change(
        self, service_group: group.Group, now_ms: int
    ) -> None:
        """Log gains and losses of the right to use a primary."""
        held = service_group.right.held(now_ms)
        if (
            held == self.right_held.get(service_group.name, False)
            or not service_group.active
        ):
            return
        self.right_held[service_group.name] = held
        self.journal.write(
            'right_gained' if held else 'right_lost',
            {
                'service': service_group.name,
                'term': service_group.leadership.term,
                'stopped': service_group.right.stopped_term,
                'voters': len(service_group.right.voters),
            },
        )

    def _update_isolation(self, now_ms: int) -> None:
        """Update and log whether this node is cut off from all owners."""
        active = [
            service_group
            for service_group in self.groups.values()
            if service_group.active
        ]
        cut_off = [
            service_group.right.lacks_quorum(now_ms) for service_group in active
        ]
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

    def _request_confirmations(self, now_ms: int) -> None:
        services: dict[str, list[str]] = collections.defaultdict(list)
        all_held = True
        for name, service_group in self.groups.items():
            if not service_group.active:
                continue
            all_held = all_held and service_group.right.held(now_ms)
            for owner in service_group.right.voters:
                services[owner].append(name)
        services.pop(self.node, None)
        if not services:
            return
        pause_ms = rights.ASK_INTERVAL_MS if all_held else rights.ASK_RETRY_MS
        self.next_request_ms = now_ms + pause_ms
        for owner, names in services.items():
            request = peer_messages.ConfirmRequest(
                self.node,
                self.address,
                now_ms,
                tuple(names),
            )
            self._send(owner, request)

    def _update_voters(self, now_ms: int) -> None:
        kept = {
            name: peer
            for name, peer in self.voters.items()
            if now_ms - self.heard_ms.get(name, -VOTER_RETENTION_MS)
            < VOTER_RETENTION_MS
        }
        voters = kept | self.listed
        if voters == self.voters:
            return
        self.voters = voters
        self.next_request_ms = now_ms
        for service_group in self.groups.values():
            self._assign_voters(service_group)

    def _assign_voters(self, service_group: group.Group) -> None:
        service_group.right.voters = ownership.owners(
            service_group.name, self.voters
        )

    def _send(self, name: str, message: peer_messages.Message) -> None:
        address = self.addresses.get(name)
        if address is not None:
            self.messenger.send(address, message)


def _learn_term(service_group: group.Group, term: int) -> None:
    """Accept that a term has begun that another node knows."""
    if term > service_group.leadership.term:
        service_group.tracker.clear_leader(
            service_group.leadership.leader or '', term, 'node'
        )


def _awaits_primary(service_group: group.Group, now_ms: int) -> bool:
    """Return whether client statements still await replies of the primary."""
    state = service_group.leader_state
    if state is None or state.silent_for(now_ms) >= instances.LOST_REPLY_MS:
        return False
    return any(
        link.in_flight is not None and isinstance(link.work, sessions.Work)
        for link in state.links
    )
