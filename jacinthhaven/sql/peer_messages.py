"""Datagrams between nodes.

They confirm or stop the use of a primary, share the execution slots of the
instances while these are short, and tell which configuration is the newest.
"""

import typing

import msgspec

from jacinthhaven.quotas import messages as quota_messages
from jacinthhaven.records import history
from jacinthhaven.sql import departure_messages, records


class TermReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one service as known to an owner.

    Attributes:
      service: Name of the service.
      term: Newest known term.
      stopped: Newest term that the owner no longer confirms.
      resumed: Fencing number of the newest promotion that has ended.
    """

    service: str
    term: int
    stopped: int
    resumed: history.EraNumber


class ConfirmRequest(msgspec.Struct, frozen=True, array_like=True, tag='q'):
    """Requests that an owner confirm its terms of some services.

    Attributes:
      sender: Name of the requesting node.
      address: Address at which it receives the reply.
      at_ms: Time of the request on the sender's clock.
      services: Names of the services.
    """

    sender: str
    address: records.Address
    at_ms: int
    services: tuple[str, ...]


class ConfirmReply(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Reply to a confirmation request.

    Attributes:
      sender: Name of the owner.
      at_ms: Time copied from the request.
      held: State of each requested service that the owner may confirm.
    """

    sender: str
    at_ms: int
    held: tuple[TermReport, ...]


class StopRequest(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """Requests that a node stop using the primary of a term.

    Attributes:
      sender: Name of the node that orders a promotion.
      address: Address at which it receives the reply.
      service: Name of the service.
      term: Term to stop.
      fence: Fencing number of the promotion.
    """

    sender: str
    address: records.Address
    service: str
    term: int
    fence: history.EraNumber


class StopReply(msgspec.Struct, frozen=True, array_like=True, tag='d'):
    """Reports that a node has stopped using the primary.

    Attributes:
      sender: Name of the node that has stopped.
      service: Name of the service.
      term: Newest term that it knows.
      fence: Fencing number of the promotion.
      users: Milliseconds since it last confirmed a term to each other node,
        by node name.
    """

    sender: str
    service: str
    term: int
    fence: history.EraNumber
    users: dict[str, int]


class Waiting(msgspec.Struct, frozen=True, array_like=True):
    """Statement that waits for a slot.

    Attributes:
      number: Number of the statement at its owner.
      priority: Priority of its route; 0 is the highest.
      instances: Instances that can execute it, the best first.
      service_ms: Expected execution time.
      waited_ms: Time since its arrival.
      customer: Name of the customer that it runs for, or ''.
      left_ms: Time until its timeout; -1 from a build that does not send it.
      in_time_ms: Time until its target latency, negative once it is late.
        Without `left_ms` it is not known.
      linked: Those of the instances to which the owner has a free link, or None for
        all. A permit for another one would keep a slot idle.
    """

    number: int
    priority: int
    instances: tuple[str, ...]
    service_ms: int
    waited_ms: int
    customer: str = ''
    left_ms: int = -1
    in_time_ms: int = 0
    linked: tuple[str, ...] | None = None


class Load(msgspec.Struct, frozen=True, array_like=True):
    """What an owner executes and what waits at it, for one service.

    Attributes:
      running: Number of statements in flight by instance.
      waiting: Statements that wait for a slot.
    """

    running: dict[str, int]
    waiting: tuple[Waiting, ...]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """Reports the load of an owner, which asks for permits.

    Attributes:
      sender: Name of the owner.
      service: Name of the service.
      number: Number of the report, which increases.
      answered: Number of the last reply that the load reflects.
      load: Load of the owner.
    """

    sender: str
    service: str
    number: int
    answered: int
    load: Load


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """Grants permits to an owner, or says that none are required.

    Attributes:
      sender: Name of the dispatcher.
      service: Name of the service.
      number: Number of the last permit of the owner.
      required: Whether statements may be sent with a permit only.
      granted: Instances of the permits that no report has reflected yet, by
        number of the statement.
      refused: Milliseconds after which refused statements may be repeated, by
        number of the statement.
    """

    sender: str
    service: str
    number: int
    required: bool
    granted: dict[int, str]
    refused: dict[int, int]


class RevisionRequest(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Asks a node which revision of the configuration is the newest.

    Attributes:
      sender: Name of the asking node.
      address: Address at which it receives the reply.
      at_ms: Time of the request on the sender's clock.
      revision: Revision of the configuration that the sender has.
      version: Its version; -1 from a build that does not send it.
    """

    sender: str
    address: records.Address
    at_ms: int
    revision: history.EraNumber
    version: int = -1


class RevisionReply(msgspec.Struct, frozen=True, array_like=True, tag='n'):
    """Says which revision of the configuration was the newest in the store.

    Attributes:
      sender: Name of the replying node.
      at_ms: Time copied from the request.
      revision: Revision of the configuration that the sender has.
      age_ms: Time since the sender knew it to be the newest; -1 if never.
      records_revision: Newest revision of the keys that owners write; 0 if
        the sender does not watch them.
      version: Version of that configuration; -1 from a build that does not
        send it.
    """

    sender: str
    at_ms: int
    revision: history.EraNumber
    age_ms: int
    records_revision: history.EraNumber
    version: int = -1


RightMessage = ConfirmRequest | ConfirmReply | StopRequest | StopReply
PermitMessage = PermitRequest | PermitReply
RevisionMessage = RevisionRequest | RevisionReply
Message = (
    RightMessage
    | PermitMessage
    | RevisionMessage
    | departure_messages.Message
    | quota_messages.Message
)

# What decoding bytes of another writer may raise; deep nesting is the cause of the
# last one.
MALFORMED = (msgspec.DecodeError, ValueError, RecursionError)
_WITH_ADDRESS = (
    ConfirmRequest,
    StopRequest,
    RevisionRequest,
    departure_messages.Request,
)
_decoder = msgspec.msgpack.Decoder(Message, dec_hook=history.decode_hook)
_encoder = msgspec.msgpack.Encoder(enc_hook=history.encode_hook)


def encode(message: Message) -> bytes:
    """Return a message as the payload of one datagram."""
    return _encoder.encode(message)


def decode(chunk: bytes) -> Message:
    """Return the message in the payload of a datagram.

    Raises:
      MALFORMED: If the payload is not a message.
    """
    message = _decoder.decode(chunk)
    if isinstance(message, _WITH_ADDRESS):
        records.check_address(message.address)
    return message


def newest_era(message: Message) -> int:
    """Return the newest era of the store that a message shows."""
    match message:
        case RevisionRequest() | RevisionReply():
            return message.revision.era
        case StopRequest() | StopReply():
            return message.fence.era
        case ConfirmReply():
            ended = (report.resumed for report in message.held)
            return max(ended, default=history.NONE).era
    return history.FIRST_ERA


Handler = typing.Callable[[Message], None]
