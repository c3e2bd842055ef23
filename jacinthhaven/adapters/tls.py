"""TLS contexts built from PEM files."""

import dataclasses
import ssl

from jacinthhaven.kernel import failures

BAD_TLS_FILE = failures.Kind('bad_tls_file', failures.Outcome.NOT_RUN, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Files:
    """Paths of PEM files.

    Attributes:
      key: Private key.
      certificate: Certificate chain of this process.
      authority: CA certificates that sign the certificates of the members.
    """

    key: str
    certificate: str
    authority: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContexts:
    """TLS contexts for accepted and for outgoing peer connections."""

    accepting: ssl.SSLContext
    connecting: ssl.SSLContext


class BadTlsFileError(Exception):
    """A key or certificate file cannot be used.

    Attributes:
      failure: Failure whose reason names the files.
    """

    def __init__(self, paths: str, error: OSError) -> None:
        """Create the failure from the paths and the cause."""
        self.failure = BAD_TLS_FILE.because(f'{paths}: {error}')
        super().__init__(self.failure.reason)


def server_context(files: Files) -> ssl.SSLContext:
    """Return the context for callers, without client certificates.

    Raises:
      BadTlsFileError: If a file is missing, unreadable or not valid.
    """
    return _context(ssl.PROTOCOL_TLS_SERVER, files)


def peer_contexts(files: Files) -> PeerContexts:
    """Return contexts for mutual TLS between members.

    Host names are not checked: replaced members have new addresses, and
    the peer handshake authenticates their names with the cluster key.

    Raises:
      BadTlsFileError: If a file is missing, unreadable or not valid.
    """
    accepting = _context(ssl.PROTOCOL_TLS_SERVER, files)
    connecting = _context(ssl.PROTOCOL_TLS_CLIENT, files)
    connecting.check_hostname = False
    for context in (accepting, connecting):
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_verify_locations(files.authority)
        except OSError as error:
            raise BadTlsFileError(files.authority, error) from error
    return PeerContexts(accepting, connecting)


def _context(protocol: int, files: Files) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(files.certificate, files.key)
    except OSError as error:
        paths = f'{files.certificate}, {files.key}'
        raise BadTlsFileError(paths, error) from error
    return context
