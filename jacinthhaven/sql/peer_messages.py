"""Short messages between nodes about the right to use a primary."""

import typing

import msgspec

from jacinthhaven.sql import records


class Held(msgspec.Struct, frozen=True, array_like=True):
    """What an owner knows about one service.

    Attributes:
      service: Name of the service.
      term: Newest term that it knows.
      stopped: Newest term that it does not confirm any more.
      resumed: Newest promotion that is over.
    """

    service: str
    term: int
    stopped: int
    resumed: int


class Question(msgspec.Struct, frozen=True, array_like=True, tag='q'):
    """Asks an owner to confirm the terms of some services.

    Attributes:
      sender: Node that asks.
      address: Where it receives messages.
      at_ms: When it asked, on its own clock.
      services: Names of the services.
    """

    sender: str
    address: records.Address
    at_ms: int
    services: tuple[str, ...]


class Confirmed(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Answers a question.

    Attributes:
      sender: Owner that answers.
      at_ms: Time in the question.
      held: What it knows about the services.
    """

    sender: str
    at_ms: int
    held: tuple[Held, ...]


class Stop(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """Asks a node to use a term no more.

    Attributes:
      sender: Node that orders a promotion.
      address: Where it receives messages.
      service: Name of the service.
      term: Term to stop.
      fence: Number of the promotion.
    """

    sender: str
    address: records.Address
    service: str
    term: int
    fence: int


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag='d'):
    """Answers that a node has stopped.

    Attributes:
      sender: Node that has stopped.
      service: Name of the service.
      term: Newest term that it knows.
      fence: Number of the promotion.
      users: How many milliseconds ago it confirmed a term to other nodes.
    """

    sender: str
    service: str
    term: int
    fence: int
    users: dict[str, int]


Message = Question | Confirmed | Stop | Stopped

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return a message as one datagram."""
    return _encoder.encode(message)


def decode(chunk: bytes) -> Message:
    """Return the message in a datagram.

    Raises:
      msgspec.DecodeError: If it holds something else.
    """
    return _decoder.decode(chunk)


Handler = typing.Callable[[Message], None]
