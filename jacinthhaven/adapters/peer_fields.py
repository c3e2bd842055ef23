"""Mapping between record attributes and the fields of the peer schema."""

import types
import typing
import zlib

from jacinthhaven.records import gossip, handshake, peers

# Deflate without header and checksum.
_RAW_WINDOW = -15
# Far more members than one cluster can have.
_MAX_AGES = 65_536

_Names = tuple[tuple[str, str], ...]


def _same(*names: str) -> _Names:
    return tuple((name, name) for name in names)


_FORWARD = (
    *_same('number', 'database', 'body'),
    ('remaining_ms', 'remainingMs'),
)
_ENTRY = _same('key', 'value', 'revision', 'created', 'deleted')
# Attributes and fields in the order of the record's constructor.
_FIELDS = types.MappingProxyType(
    {
        handshake.Hello: _same('cluster', 'version', 'member', 'boot', 'nonce'),
        peers.OutcomeForward: (*_FORWARD, ('attempt', 'attempt')),
        peers.StatementForward: (
            *_FORWARD,
            ('needed_term', 'neededTerm'),
            ('needed_position', 'neededPosition'),
            *_same('strict', 'attempt'),
        ),
        peers.ForwardAnswer: _same(
            'number', 'attempt', 'answer', 'failure', 'reason'
        ),
        gossip.Exchange: (
            *_same('number', 'echo', 'complete'),
            ('proof_age_ms', 'proofAgeMs'),
            *_same('base', 'full'),
            ('flags_hash', 'flagsHash'),
            ('members_hash', 'membersHash'),
            ('policy_revision', 'policyRevision'),
            ('acked_hash', 'ackedHash'),
            ('acked_revision', 'ackedRevision'),
            ('acked', 'acked'),
            ('wants_ages_ms', 'wantsAgesMs'),
            ('live_hash', 'liveHash'),
        ),
    },
)
UNION_NAMES = types.MappingProxyType(
    {
        handshake.Hello: 'hello',
        peers.StatementForward: 'statementForward',
        peers.OutcomeForward: 'outcomeForward',
        peers.ForwardAnswer: 'forwardAnswer',
        peers.InstanceSilence: 'instanceSilence',
        gossip.Exchange: 'exchange',
    },
)
RECORDS = types.MappingProxyType(
    {name: record for record, name in UNION_NAMES.items()},
)


def write(body: typing.Any, payload: typing.Any) -> None:
    """Copy a record into the builder of its struct."""
    if isinstance(payload, peers.InstanceSilence):
        _write_silences(body, payload)
        return
    for name, field in _FIELDS[type(payload)]:
        found = getattr(payload, name)
        # Unset fields take no space, and 0 and empty are the defaults.
        if found:
            setattr(body, field, found)
    if isinstance(payload, gossip.Exchange):
        body.ages = _pack_ages(payload.ages)
        _write_entries(body.init('entries', len(payload.entries)), payload)


def read(record: type, body: typing.Any) -> typing.Any:
    """Return the record that a struct's reader holds."""
    if record is peers.InstanceSilence:
        silent_ms = {silent.instance: silent.silentMs for silent in body.silent}
        return peers.InstanceSilence(body.group, silent_ms)
    payload = record(*_read_fields(body, _FIELDS[record]))
    if record is gossip.Exchange:
        payload.ages = _unpack_ages(body.ages)
        payload.entries = tuple(
            gossip.Entry(*_read_fields(entry, _ENTRY)) for entry in body.entries
        )
    return payload


def _read_fields(body: typing.Any, names: _Names) -> list[typing.Any]:
    return [getattr(body, field) for _, field in names]


def _pack_ages(ages: bytes) -> bytes:
    if not ages:
        return b''
    # The ages are in no order, so that only their frequencies can be used.
    # Searching for repetitions makes 2,000 of them a quarter larger.
    packer = zlib.compressobj(
        wbits=_RAW_WINDOW,
        strategy=zlib.Z_HUFFMAN_ONLY,
    )
    return packer.compress(ages) + packer.flush()


def _unpack_ages(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj(_RAW_WINDOW)
    return unpacker.decompress(packed, _MAX_AGES) if packed else b''


def _write_silences(body: typing.Any, payload: peers.InstanceSilence) -> None:
    body.group = payload.group
    silences = body.init('silent', len(payload.silent_ms))
    for index, (instance, silent_ms) in enumerate(payload.silent_ms.items()):
        silences[index].instance = instance
        silences[index].silentMs = silent_ms


def _write_entries(targets: typing.Any, payload: gossip.Exchange) -> None:
    for index, entry in enumerate(payload.entries):
        target = targets[index]
        for name, field in _ENTRY:
            setattr(target, field, getattr(entry, name))
