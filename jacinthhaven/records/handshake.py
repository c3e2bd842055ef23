"""Records that open a connection between two proxy processes."""

import msgspec

# Incremented when older members could misread a payload.
PROTOCOL_VERSION = 1
OLDEST_VERSION = 1


class Hello(msgspec.Struct):
    """First message in each direction.

    Attributes:
      cluster: Name of the cluster.
      version: Protocol version of the sender.
      member: Name of the sender.
      boot: Identifier of this start of the sender.
      nonce: Random bytes that the receiver's proof must cover.
    """

    cluster: str
    version: int
    member: str
    boot: str
    nonce: bytes


class Proof(msgspec.Struct):
    """HMAC-SHA256 under the cluster key over both hellos."""

    mac: bytes
