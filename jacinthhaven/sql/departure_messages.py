"""Datagrams between nodes about instances that leave."""

import msgspec

from jacinthhaven.sql import records


class Request(msgspec.Struct, frozen=True, array_like=True, tag='l'):
    """Asks when an instance had certainly not given notice to leave.

    Attributes:
      sender: Name of the asking node.
      address: Address at which it receives the reply.
      at_ms: Time of the request on the sender's clock.
      service: Name of the service.
      instance: Name of the instance.
    """

    sender: str
    address: records.Address
    at_ms: int
    service: str
    instance: str


class Reply(msgspec.Struct, frozen=True, array_like=True, tag='y'):
    """Says when an instance had certainly not given notice to leave.

    Attributes:
      sender: Name of the replying node.
      at_ms: Time copied from the request.
      service: Name of the service.
      instance: Name of the instance.
      age_ms: Time since then.
    """

    sender: str
    at_ms: int
    service: str
    instance: str
    age_ms: int


Message = Request | Reply
