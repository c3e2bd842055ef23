"""Mapping between record attributes and the fields of the peer schema."""

import types
import typing
import zlib

from jacinthhaven.records import gossip, handshake, peers

# Window bits for raw deflate: no zlib header and no checksum.
_RAW_WINDOW = -15
# Limit of unpacked ages in bytes; far more than one cluster has members.
_MAX_AGES = 65_536

_NamePairs = tuple[tuple[str, str], ...]


def _same_names(*names: str) -> _NamePairs:
    return tuple((name, name) for name in names)


_FORWARD = (
    *_same_names('number', 'database', 'body'),
    ('remaining_ms', 'remainingMs'),
)
_ENTRY = _same_names('key', 'value', 'revision', 'created', 'deleted')
# Attribute and field names in the order of the record's constructor.
_FIELDS = types.MappingProxyType(
    {
        handshake.Hello: _same_names(
            'cluster', 'version', 'member', 'boot', 'nonce'
        ),
        peers.OutcomeForward: (*_FORWARD, ('attempt', 'attempt')),
        peers.StatementForward: (
            *_FORWARD,
            ('needed_term', 'neededTerm'),
            ('needed_position', 'neededPosition'),
            *_same_names('strict', 'attempt'),
        ),
        peers.ForwardAnswer: _same_names(
            'number', 'attempt', 'answer', 'failure', 'reason'
        ),
        gossip.Exchange: (
            *_same_names('number', 'echo', 'complete'),
            ('proof_age_ms', 'proofAgeMs'),
            *_same_names('base', 'full'),
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
        attribute = getattr(payload, name)
        # Fields with default values (0 or empty) take no space if not set.
        if attribute:
            setattr(body, field, attribute)
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


def _read_fields(body: typing.Any, names: _NamePairs) -> list[typing.Any]:
    return [getattr(body, field) for _, field in names]


def _pack_ages(ages: bytes) -> bytes:
    if not ages:
        return b''
    # The ages are unordered, so only entropy coding helps: with matching of
    # repetitions, 2,000 ages take a quarter more space.
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
