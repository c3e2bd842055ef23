"""Test data: reports of owners and a dispatcher that takes them."""

import typing

from jacinthhaven.scheduling import dispatcher, permits
from jacinthhaven.sql import peer_messages

SERVICE = 'ledger'
PRIMARY = 'db-a'
REPLICAS = ('db-b', 'db-c')
ALL = (*REPLICAS, PRIMARY)
OWNERS = ('node-a', 'node-b', 'node-c')
# Priorities of the routes.
URGENT = 1
NORMAL = 2
_TARGETS_MS = ((URGENT, 200), (NORMAL, 400))


def waiting(
    number: int,
    instances: tuple[str, ...] = ALL,
    **changes: typing.Any,
) -> peer_messages.Waiting:
    """Return a statement that has just arrived."""
    fields: dict[str, typing.Any] = {
        'number': number,
        'priority': NORMAL,
        'instances': instances,
        'service_ms': 30,
        'waited_ms': 0,
    }
    return peer_messages.Waiting(**(fields | changes))


class DispatcherRig:
    """Dispatcher of two slots an instance, with a manual clock.

    Attributes:
      dispatcher: Dispatcher under test.
      replies: Last reply to each owner.
      numbers: Number of the last report of each owner.
    """

    def __init__(self, slots: int = 2) -> None:
        """Start with three owners that have reported nothing."""
        self.dispatcher = dispatcher.Dispatcher(SERVICE, OWNERS[0])
        self.dispatcher.update_owners(set(OWNERS))
        self.dispatcher.slots = dict.fromkeys(ALL, slots)
        self.dispatcher.leader = PRIMARY
        self.dispatcher.limits_ms = dict(_TARGETS_MS)
        self.now_ms = 1000
        self.replies: dict[str, peer_messages.PermitReply] = {}
        self.numbers = dict.fromkeys(OWNERS, 0)

    def report(
        self,
        owner: str,
        *reported: peer_messages.Waiting,
        running: typing.Mapping[str, int] | None = None,
        answered: int | None = None,
    ) -> None:
        """Send the report of an owner.

        Args:
          owner: Name of the owner.
          reported: Its waiting statements.
          running: Its statements in flight by instance.
          answered: Number of the last reply that it has received; by default
            the last one that was sent.
        """
        if answered is None:
            reply = self.replies.get(owner)
            answered = 0 if reply is None else reply.number
        self.numbers[owner] += 1
        load = peer_messages.Load(dict(running or {}), tuple(reported))
        self.dispatcher.on_request(
            peer_messages.PermitRequest(
                owner,
                SERVICE,
                self.numbers[owner],
                answered,
                load,
            ),
            self.now_ms,
        )
        self.send_replies()

    def send_replies(self) -> None:
        """Take the replies that are due."""
        self.replies.update(self.dispatcher.replies(self.now_ms))

    def wait(self, for_ms: int) -> None:
        """Advance the clock in ticks of 20 ms."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 20
            self.send_replies()

    def granted(self) -> dict[tuple[str, int], str]:
        """Return the instance of each permit by owner and statement."""
        return {
            (name, number): instance
            for name, reply in self.replies.items()
            for number, instance in reply.granted.items()
        }

    def refused(self) -> set[tuple[str, int]]:
        """Return the refused statements by owner and number."""
        return {
            (name, number)
            for name, reply in self.replies.items()
            for number in reply.refused
        }


class PermitsRig:
    """Permits of one owner with a manual clock.

    Attributes:
      permits: Permits under test.
      sent: Reports with the name of the owner that they were sent to.
    """

    def __init__(self) -> None:
        """Start with two candidates."""
        self.permits = permits.Permits(SERVICE)
        self.permits.node = 'node-c'
        self.permits.candidates = ('node-a', 'node-b')
        self.permits.send = self._send
        self.sent: list[tuple[str, peer_messages.PermitRequest]] = []
        self.now_ms = 1000

    def report(self, *reported: peer_messages.Waiting) -> None:
        """Report waiting statements."""
        load = peer_messages.Load({}, tuple(reported))
        self.permits.report(load, self.now_ms)

    def reply(self, sender: str, **changes: typing.Any) -> None:
        """Receive a reply of a dispatcher."""
        fields: dict[str, typing.Any] = {
            'sender': sender,
            'service': SERVICE,
            'number': 1,
            'required': True,
            'granted': {},
            'refused': {},
        }
        reply = peer_messages.PermitReply(**(fields | changes))
        self.permits.on_reply(reply, self.now_ms)

    def wait(self, for_ms: int, *reported: peer_messages.Waiting) -> None:
        """Advance the clock in ticks of 20 ms and report each time."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 20
            self.report(*reported)

    def _send(self, name: str, request: peer_messages.PermitRequest) -> None:
        self.sent.append((name, request))
