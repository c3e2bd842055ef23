"""Datagrams between nodes about the limits of customers.

They contain names of customers, never keys.
"""

import msgspec


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Asks the accountant of a customer for tokens.

    Attributes:
      sender: Name of the asking node.
      customer: Name of the customer.
      number: Number of the request, which the grant repeats.
      wanted: Number of tokens.
    """

    sender: str
    customer: str
    number: int
    wanted: int


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """Grants tokens, each of which admits one operation.

    Attributes:
      sender: Name of the accountant.
      customer: Name of the customer.
      number: Number of the request.
      tokens: Number of tokens, which may be 0.
      valid_ms: Lifetime of the tokens from the sending of the request.
      retry_ms: Time until there are more, if the customer has used up its
        limit; -1 if it has not, or the accountant does not know.
    """

    sender: str
    customer: str
    number: int
    tokens: int
    valid_ms: int
    retry_ms: int


class FormerOwners(msgspec.Struct, frozen=True, array_like=True):
    """Owners as a node knew them until a while ago.

    Attributes:
      names: Names of the owners, sorted.
      candidates: Those that the node considered as accountants.
      age_ms: Time since the node replaced them.
    """

    names: tuple[str, ...]
    candidates: tuple[str, ...]
    age_ms: int


class PledgeRequest(msgspec.Struct, frozen=True, array_like=True, tag='u'):
    """Asks an owner which accountants it knows.

    Attributes:
      sender: Name of the asking node.
      number: Number of the request, which the reply repeats.
      owners: Names of the owners that it knows, sorted.
      candidates: Those that it considers as accountants.
    """

    sender: str
    number: int
    owners: tuple[str, ...]
    candidates: tuple[str, ...]


class PledgeReply(msgspec.Struct, frozen=True, array_like=True, tag='v'):
    """Says which accountants an owner knows.

    The candidates determine the accountant of each customer.

    Attributes:
      sender: Name of the replying owner.
      number: Number of the request.
      owners: Names of the owners that it knows, sorted.
      candidates: Those that it considers as accountants, since it hears them.
      former: Owners that it knew before, the newest first.
      replied: Milliseconds since it last replied to each other node, by name;
        only recent ones.
      memory_ms: Time for which it has not forgotten any of these.
    """

    sender: str
    number: int
    owners: tuple[str, ...]
    candidates: tuple[str, ...]
    former: tuple[FormerOwners, ...]
    replied: dict[str, int]
    memory_ms: int


TokenMessage = QuotaRequest | QuotaGrant
PledgeMessage = PledgeRequest | PledgeReply
Message = TokenMessage | PledgeMessage
