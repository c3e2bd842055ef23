"""Proof that both ends of a peer connection know the cluster key.

Each side sends a hello with a random nonce and then an HMAC over both
hellos. The HMAC covers the role, so that a proof cannot be sent back to
its author, and the names and boots, so that it is valid for this pair.
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
      local: Own hello.
      remote: Hello of the other side, once received.
    """

    __slots__ = ('role', 'key', 'local', 'remote')

    def __init__(self, role: str, key: bytes, local: handshake.Hello) -> None:
        """Start a handshake with a fresh nonce."""
        self.role = role
        self.key = key
        self.local = msgspec.structs.replace(
            local,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        self.remote: handshake.Hello | None = None

    def meet(
        self,
        remote: handshake.Hello,
        expected: str = '',
    ) -> failures.Failure | None:
        """Check and keep the hello of the other side.

        Args:
          remote: Received hello.
          expected: Name that the other side must have; empty for any
            name but the own.

        Returns:
          Why the other side is refused, or None.
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
        """Return the own proof; call it after `meet`."""
        return handshake.Proof(self._mac(self.role))

    def verify(self, proof: handshake.Proof) -> failures.Failure | None:
        """Return why the other side's proof is refused, or None."""
        role = CONNECTOR if self.role == ACCEPTOR else ACCEPTOR
        if hmac.compare_digest(self._mac(role), proof.mac):
            return None
        return BAD_PROOF.because('cluster keys differ')

    def _mac(self, role: str) -> bytes:
        hellos = (self.local, self.remote)
        if self.role == ACCEPTOR:
            hellos = (self.remote, self.local)
        # MessagePack keeps the boundaries between the fields.
        covered = msgspec.msgpack.encode((role, hellos))
        return hmac.digest(self.key, covered, hashlib.sha256)
