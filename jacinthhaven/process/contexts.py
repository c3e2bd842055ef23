"""Creation of TLS contexts from the settings."""

import ssl

from jacinthhaven.adapters import tls
from jacinthhaven.records import settings


def server(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of a listener, or None for plain TCP.

    Raises:
      tls.BadTlsFileError: If a file cannot be used.
    """
    if files is None:
        return None
    return tls.server_context(_files(files))


def peer(files: settings.PeerTls | None) -> tls.PeerContexts | None:
    """Return the contexts of peer connections, or None for plain TCP.

    Raises:
      tls.BadTlsFileError: If a file cannot be used.
    """
    if files is None:
        return None
    return tls.peer_contexts(_files(files))


def _files(files: settings.Tls) -> tls.Files:
    return tls.Files(files.key_file, files.cert_file, files.ca_file or '')
