"""Tests of the TLS contexts."""

import pytest

from jacinthhaven.adapters import tls, tls_builders


def test_unreadable_files(tmp_path):
    """Guards against an unexpected exception for a wrong path or content."""
    files = tls_builders.tls_files(tmp_path)
    broken = tmp_path / 'broken.pem'
    broken.write_text('no certificate')
    missing = str(tmp_path / 'missing.pem')
    for wrong in (
        tls.Files(missing, files.certificate, files.authority),
        tls.Files(files.key, str(broken), files.authority),
        tls.Files(files.key, files.certificate, missing),
        tls.Files(files.key, files.certificate, str(broken)),
        tls.Files(files.key, files.certificate),
    ):
        with pytest.raises(tls.BadTlsFileError) as caught:
            tls.peer_contexts(wrong)
        assert caught.value.failure.kind is tls.BAD_TLS_FILE


def test_server_context(tmp_path):
    """Guards against requesting client certificates from callers."""
    context = tls.server_context(tls_builders.tls_files(tmp_path))
    assert context.verify_mode == tls.ssl.CERT_NONE
