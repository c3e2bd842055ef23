"""Mutual authentication of a peer connection with the cluster key.

Each side sends a hello with a random nonce and then an HMAC over both
hellos. The HMAC covers the role, which prevents reflection of a proof to
its sender, and the names and boots, which bind it to these two members.
"""

import hashlib
import hmac
import secrets

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import handshake

NONCE_BYTES = 16
ACCEPTOR = 'acceptor'
CONNECTOR = 'connector'


def _kind(code: str) -> failures.Kind:
    return failures.Kind(code, failures.Outcome.NOT_RUN, 0)


WRONG_CLUSTER = _kind('peer_wrong_cluster')
UNSUPPORTED_VERSION = _kind('peer_unsupported_version')
WRONG_MEMBER = _kind('peer_wrong_member')
BAD_PROOF = _kind('peer_bad_proof')


class Handshake:
    """State of one connection's handshake.

    Attributes:
      role: `ACCEPTOR` or `CONNECTOR`.
      key: Cluster key.
      local: Local hello.
      remote: Hello of the other side, once received.
    """

    __slots__ = ('role', 'key', 'local', 'remote')

    def __init__(self, role: str, key: bytes, local: handshake.Hello) -> None:
        """Create the local hello with a fresh nonce."""
        self.role = role
        self.key = key
        self.local = msgspec.structs.replace(
            local,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        self.remote: handshake.Hello | None = None

    def receive_hello(
        self,
        remote: handshake.Hello,
        expected: str = '',
    ) -> failures.Failure | None:
        """Store and check the hello of the other side.

        Args:
          remote: Received hello.
          expected: Name that the other side must have; empty if any name
            except the local one is accepted.

        Returns:
          Failure if the other side is refused, or None.
        """
        self.remote = remote
        member = remote.member
        checks = (
            (WRONG_CLUSTER, remote.cluster == self.local.cluster),
            (UNSUPPORTED_VERSION, remote.version >= handshake.OLDEST_VERSION),
            (WRONG_MEMBER, member == (expected or member)),
            (WRONG_MEMBER, member != self.local.member),
            (BAD_PROOF, len(remote.nonce) == NONCE_BYTES),
        )
        for kind, passed in checks:
            if not passed:
                return kind.because(str(remote))
        return None

    def prove(self) -> handshake.Proof:
        """Return the local proof; requires the hello of the other side."""
        return handshake.Proof(self._mac(self.role))

    def verify(self, proof: handshake.Proof) -> failures.Failure | None:
        """Check the proof of the other side; return a failure or None."""
        role = CONNECTOR if self.role == ACCEPTOR else ACCEPTOR
        if hmac.compare_digest(self._mac(role), proof.mac):
            return None
        return BAD_PROOF.because('cluster keys differ')

    def _mac(self, role: str) -> bytes:
        hellos = (self.local, self.remote)
        if self.role == ACCEPTOR:
            hellos = (self.remote, self.local)
        # MessagePack keeps the field boundaries, unlike concatenation.
        covered = msgspec.msgpack.encode((role, hellos))
        return hmac.digest(self.key, covered, hashlib.sha256)
