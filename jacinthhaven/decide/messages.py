"""Messages between the decision code and the tasks that own sockets.

Each message has its own type, which determines its destination. The
decision code returns messages from `handle` and `tick`; the process or a
test delivers them to the task that owns the socket in question.
"""

import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import backend, callers, store, topology


class CallerRequest(msgspec.Struct):
    """Caller side to decision code: a decoded statement request.

    Attributes:
      number: Number of the request, unique within the process.
      database: Name of the database.
      body: Parsed request.
    """

    number: int
    database: str
    body: callers.StatementRequest


class CallerOutcome(msgspec.Struct):
    """Caller side to decision code: request for the outcome of a write."""

    number: int
    database: str
    body: callers.OutcomeRequest


class CallerDisconnected(msgspec.Struct):
    """Caller side to decision code: the caller closed its connection."""

    number: int


class CallerAnswer(msgspec.Struct):
    """Decision code to caller side: answer to one request.

    Attributes:
      number: Number of the request.
      answer: Body of the answer.
      failure: Failure that the answer reports, or None.
    """

    number: int
    answer: callers.Answer
    failure: failures.Failure | None = None


class BackendOpen(msgspec.Struct):
    """Decision code to backend task: open a connection.

    Attributes:
      connection: Number of the connection, unique within the process.
      instance: Name of the instance.
      request: Slot and epoch that the connection belongs to.
    """

    connection: int
    instance: str
    request: backend.ConnectRequest


class BackendOpened(msgspec.Struct):
    """Backend task to decision code: the connection accepts calls."""

    connection: int


class BackendCall(msgspec.Struct):
    """Decision code to backend task: send one request on a connection.

    A connection carries one call at a time.
    """

    connection: int
    number: int
    request: backend.Request


class BackendReply(msgspec.Struct):
    """Backend task to decision code: answer to one call.

    Attributes:
      connection: Number of the connection.
      number: Number of the call.
      reply: Decoded reply, or a failure if the instance refused the call.
    """

    connection: int
    number: int
    reply: backend.Reply | failures.Failure


class BackendClose(msgspec.Struct):
    """Decision code to backend task: close a connection."""

    connection: int


class BackendLost(msgspec.Struct):
    """Backend task to decision code: a connection failed or was refused.

    Attributes:
      connection: Number of the connection.
      failure: `connection_refused` if it never opened, else
        `connection_lost`; a call in flight may have been executed.
    """

    connection: int
    failure: failures.Failure


class PeerSend(msgspec.Struct):
    """Decision code to peer task: send a payload to a member.

    Attributes:
      member: Name of the member.
      payload: Record of `records.peers`.
    """

    member: str
    payload: typing.Any


class PeerReceived(msgspec.Struct):
    """Peer task to decision code: a payload arrived from a member."""

    member: str
    payload: typing.Any


class PeerLost(msgspec.Struct):
    """Peer task to decision code: the connection to a member is lost.

    Payloads that are not answered yet may or may not have arrived.
    """

    member: str


class StoreCall(msgspec.Struct):
    """Decision code to store task: one call.

    Attributes:
      number: Number of the call, unique within the process. Watch events
        carry the number of the call that started the watch.
      request: Typed request.
    """

    number: int
    request: store.Request


class StoreReply(msgspec.Struct):
    """Store task to decision code: reply, watch events or failure.

    A failure of kind `store_unavailable` does not tell whether the call
    took effect.

    Attributes:
      number: Number of the call.
      reply: Reply, or why there is none.
      era: How often the store had been restored when it answered; 0 if it did
        not answer, or does not tell.
    """

    number: int
    reply: store.Reply | failures.Failure
    era: int = 0


class StoreCancel(msgspec.Struct):
    """Decision code to store task: end a watch."""

    number: int


class VmListUpdate(msgspec.Struct):
    """VM list task to decision code: instances marked as leaving."""

    leaving: frozenset[str]


class InstanceStatusUpdate(msgspec.Struct):
    """Owner to cluster services: status reported by an instance."""

    status: backend.InstanceStatus


class MemberAddresses(msgspec.Struct):
    """Decision code to peer task: addresses of all members, by name."""

    members: dict[str, topology.Member]


class InstanceOrder(msgspec.Struct):
    """Promotion code to owner: send a command to an instance.

    The owner sends it on the instance's control connection before the next
    status request and reports the reply with the same order.
    """

    instance: str
    request: (
        backend.FenceRequest | backend.PromoteRequest | backend.FollowRequest
    )


class DecisionLine(msgspec.Struct):
    """Decision code to log: one routing or placement decision.

    Attributes:
      event: Kind of decision, such as `route` or `promote`.
      fields: Fields of the log line by name.
    """

    event: str
    fields: dict[str, typing.Any]


class Count(msgspec.Struct):
    """Decision code to metrics: increase a counter."""

    name: str
    amount: int = 1
