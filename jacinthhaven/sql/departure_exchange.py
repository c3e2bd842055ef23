"""Exchange between nodes about instances that leave.

A node that sees the notice of a primary asks the owners of its service, which read
the registry often, for the last time at which their reads showed no notice. The reply has an age, which the asking node
counts from the time of its question, so that clocks need not agree and the result
is never too late.
"""

import typing

from jacinthhaven.sql import (
    departure_messages,
    group,
    instances,
    ownership,
    peering,
    ports,
    records,
)

# Questions about one notice, since datagrams may be lost, and their interval.
_QUESTIONS = 3
_QUESTION_INTERVAL_MS = 150

Groups = typing.Mapping[str, group.Group]


class _Inquiry:
    """Questions about the notice of one instance."""

    __slots__ = ('leaving_ms', 'left', 'next_ms')

    def __init__(self, leaving_ms: int) -> None:
        self.leaving_ms = leaving_ms
        self.left = _QUESTIONS
        self.next_ms = leaving_ms


class DepartureExchange:
    """Questions and replies of one node.

    Attributes:
      inquiries: Questions by service and instance.
      others: Listed nodes but this one, by name.
    """

    def __init__(
        self,
        node: str,
        address: records.Address,
        groups: Groups,
        messenger: peering.Messenger,
        journal: ports.Journal,
    ) -> None:
        """Start without questions.

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
        self.groups = groups
        self.messenger = messenger
        self.journal = journal
        self.inquiries: dict[tuple[str, str], _Inquiry] = {}
        self.others: dict[str, ownership.Peer] = {}

    def set_members(self, peers: dict[str, ownership.Peer]) -> None:
        """Set the nodes that the store lists."""
        self.others = {
            name: peer for name, peer in peers.items() if name != self.node
        }

    def tick(self, now_ms: int) -> None:
        """Ask about each primary whose notice is new."""
        for service_group in self.groups.values():
            name = service_group.primary_check.presumed_leader()
            state = service_group.pool.states.get(name)
            if state is not None and service_group.active:
                self._ask_if_due(service_group, state, now_ms)

    def on_message(
        self, message: departure_messages.Message, now_ms: int
    ) -> None:
        """Reply to a question, or accept a reply."""
        service_group = self.groups.get(message.service)
        if service_group is None:
            return
        state = service_group.pool.states.get(message.instance)
        if state is None:
            return
        if isinstance(message, departure_messages.Request):
            self._reply(message, state, now_ms)
        elif state.departure.on_proof(message.at_ms - message.age_ms):
            self._log(message.service, state, now_ms, message.sender)

    def _ask_if_due(
        self,
        service_group: group.Group,
        state: instances.InstanceState,
        now_ms: int,
    ) -> None:
        service = service_group.name
        name = state.entry.name
        leaving_ms = state.departure.leaving_ms
        if leaving_ms is None:
            self.inquiries.pop((service, name), None)
            return
        inquiry = self.inquiries.get((service, name))
        if inquiry is None or inquiry.leaving_ms != leaving_ms:
            inquiry = _Inquiry(leaving_ms)
            self.inquiries[service, name] = inquiry
            self._log(service, state, now_ms, 'registry')
        if not inquiry.left or now_ms < inquiry.next_ms:
            return
        inquiry.left -= 1
        inquiry.next_ms = now_ms + _QUESTION_INTERVAL_MS
        question = departure_messages.Request(
            self.node, self.address, now_ms, service, name
        )
        for owner in service_group.owners:
            peer = self.others.get(owner)
            if peer is not None:
                self.messenger.send(peer.address, question)

    def _reply(
        self,
        question: departure_messages.Request,
        state: instances.InstanceState,
        now_ms: int,
    ) -> None:
        ready_ms = state.departure.ready_ms
        if ready_ms is None:
            return
        reply = departure_messages.Reply(
            self.node,
            question.at_ms,
            question.service,
            question.instance,
            now_ms - ready_ms,
        )
        self.messenger.send(question.address, reply)

    def _log(
        self,
        service: str,
        state: instances.InstanceState,
        now_ms: int,
        source: str,
    ) -> None:
        self.journal.write(
            'primary_leaves',
            {
                'service': service,
                'instance': state.entry.name,
                'remaining_ms': state.departure.remaining_ms(now_ms),
                'source': source,
            },
        )
