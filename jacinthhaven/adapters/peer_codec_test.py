"""Tests of the peer message codec."""

import random
import contextlib
import pathlib
import subprocess
import sys
import zipfile
import zlib

import pytest

from jacinthhaven.adapters import peer_codec
from jacinthhaven.records import gossip, handshake, peers

_ENTRY = gossip.Entry('members/n1', '{"name":"n1"}', 7, 3)
_PAYLOADS = (
    handshake.Hello('c', 1, 'n1', 'b1', b'\0\1'),
    handshake.Proof(b'\xff' * 32),
    peers.StatementForward(2**40, 'lots', b'{}', 5000, 3, 9, True, 2),
    peers.OutcomeForward(1, 'lots', b'{"session":"s"}', 10),
    peers.ForwardAnswer(9, 1, b'{}', 'not_run', 'because'),
    peers.ForwardAnswer(9, 1, b'{}'),
    peers.ForwardCancel(2**33),
    peers.Probe(2**33),
    peers.ProbeReply(7),
    peers.InstanceSilence('g', {'i1': 0, 'i2': 70_000}),
    gossip.Exchange(),
    gossip.Exchange(
        1, 2, 3, 4, 5, True, 6, 7, 8, 9, 10, b'\1', 12, 11, b'\2', (_ENTRY,)
    ),
    gossip.Exchange(entries=(_ENTRY,) * 500),
    gossip.Exchange(ages=bytes(range(256)) * 8),
)


@pytest.mark.parametrize('payload', _PAYLOADS)
def test_roundtrip(payload):
    """Guards against a field that is lost or swapped by the codec."""
    assert peer_codec.decode(peer_codec.encode(payload)) == payload


def test_damaged_bytes():
    """Guards against an unexpected exception or a crash on damaged bytes."""
    rng = random.Random(1)
    for payload in _PAYLOADS:
        raw = bytearray(peer_codec.encode(payload))
        for cut in rng.choices(range(1, len(raw) + 1), k=60):
            damaged = raw[:cut]
            damaged[rng.randrange(cut)] = rng.randrange(256)
            with contextlib.suppress(peer_codec.BadPayloadError):
                peer_codec.decode(bytes(damaged))


def test_compressed_size_limit():
    """Guards against a small frame that expands without limit."""
    bomb = zlib.compress(bytes(peer_codec.MAX_MESSAGE_BYTES + 1))
    envelope = peer_codec._schema.Envelope.new_message()
    envelope.compressed = bomb
    with pytest.raises(peer_codec.BadPayloadError, match='too large'):
        peer_codec.decode(envelope.to_bytes_packed())


@pytest.mark.parametrize(
    'payload',
    [
        gossip.Entry('k', 'v', 1),
        peers.ForwardCancel(-1),
        peers.OutcomeForward(1, 'lots', b'', 2**64),
        peers.OutcomeForward(1, '\ud800', b'', 1),
    ],
)
def test_record_without_encoding(payload):
    """Guards against an unexpected exception from the encoder."""
    with pytest.raises(peer_codec.BadPayloadError):
        peer_codec.encode(payload)


def test_schema_inside_an_archive(tmp_path):
    """Guards against a schema that cannot be loaded from a zip archive."""
    package = pathlib.Path(peer_codec.__file__).parents[1]
    archive = tmp_path / 'app.zip'
    with zipfile.ZipFile(archive, 'w') as target:
        for path in package.rglob('*'):
            if path.suffix in {'.py', '.capnp'}:
                target.write(path, path.relative_to(package.parent))
    program = (
        f'import sys; sys.path.insert(0, {str(archive)!r})\n'
        'from jacinthhaven.adapters import peer_codec as codec\n'
        'assert "app.zip" in codec.__file__, codec.__file__\n'
        'codec.decode(codec.encode(codec.gossip.Exchange()))\n'
    )
    subprocess.run([sys.executable, '-c', program], check=True, cwd=tmp_path)
