"""Decodes responses of the etcd v3 JSON gateway to replies of the store.

The gateway carries keys and values in base64 and 64-bit integers as
strings, and leaves out zero values.
"""

import http

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import store

# Exceptions that decoding a response may raise.
MALFORMED = (msgspec.DecodeError, UnicodeDecodeError)
_MS_PER_S = 1000


class Header(msgspec.Struct):
    """Header of every response: revision of the store."""

    revision: int = 0


class Entry(msgspec.Struct):
    """Key with its value and revisions; a deletion has an empty value."""

    key: bytes
    value: bytes = b''
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0


class Change(msgspec.Struct, rename={'kind': 'type'}):
    """Event of a watch: a put or a deletion of one key."""

    kv: Entry
    kind: str = 'PUT'


class Answer(
    msgspec.Struct,
    rename={'lease': 'ID', 'ttl_s': 'TTL', 'entries': 'kvs'},
):
    """Union of the fields of all responses.

    The gateway omits fields that are zero, so every field but the header
    has a default.
    """

    header: Header
    entries: list[Entry] = msgspec.field(default_factory=list)
    succeeded: bool = False
    lease: int = 0
    ttl_s: int = 0
    created: bool = False
    canceled: bool = False
    events: list[Change] = msgspec.field(default_factory=list)


class StreamAnswer(msgspec.Struct):
    """One response of a streaming call."""

    result: Answer


class ErrorBody(msgspec.Struct):
    """Body of a response with an error status."""

    message: str = ''


_error_decoder = msgspec.json.Decoder(ErrorBody)
_answer_decoder = msgspec.json.Decoder(Answer, strict=False)
_stream_decoder = msgspec.json.Decoder(StreamAnswer, strict=False)


def decode(
    request: store.Request,
    status: int,
    body: bytes,
) -> store.Reply | failures.Failure:
    """Return the reply to a call other than a watch.

    Args:
      request: Request of the call.
      status: HTTP status code.
      body: Body of the response.

    Returns:
      The reply, `bad_request` if etcd refused the call, or
      `store_unavailable` for any other error status.

    Raises:
      MALFORMED: If the body is not a response to such a call.
    """
    if status != http.HTTPStatus.OK:
        return _decode_error(request, status, body)
    if isinstance(request, store.KeepAliveRequest):
        answer = _stream_decoder.decode(body).result
    else:
        answer = _answer_decoder.decode(body)
    match request:
        case store.ReadRequest():
            entries = tuple(_key_value(entry) for entry in answer.entries)
            return store.ReadReply(answer.header.revision, entries)
        case store.SwapRequest():
            return store.SwapReply(answer.succeeded, answer.header.revision)
        case store.RevokeRequest():
            return store.LeaseReply(request.lease, 0)
    return store.LeaseReply(answer.lease, answer.ttl_s * _MS_PER_S)


def decode_watch(line: bytes) -> Answer:
    """Decode one line of a watch stream.

    Raises:
      MALFORMED: If the line is not a response of a watch.
    """
    return _stream_decoder.decode(line).result


def watch_events(answer: Answer) -> list[store.WatchEvents]:
    """Group the events of a watch response into one record per revision.

    A record lists changed and deleted keys separately, so changes of
    several revisions in one record would lose their order.
    """
    revisions = sorted({change.kv.mod_revision for change in answer.events})
    return [_revision_events(revision, answer.events) for revision in revisions]


def _revision_events(revision: int, changes: list[Change]) -> store.WatchEvents:
    own = [change for change in changes if change.kv.mod_revision == revision]
    return store.WatchEvents(
        revision,
        tuple(_key_value(change.kv) for change in own if change.kind == 'PUT'),
        tuple(change.kv.key.decode() for change in own if change.kind != 'PUT'),
    )


def _key_value(entry: Entry) -> store.KeyValue:
    return store.KeyValue(
        entry.key.decode(),
        entry.value.decode(),
        entry.create_revision,
        entry.mod_revision,
        entry.lease,
    )


def _decode_error(
    request: store.Request,
    status: int,
    body: bytes,
) -> store.Reply | failures.Failure:
    reason = _error_decoder.decode(body).message
    if 'lease not found' in reason:
        # The write was not applied because its lease has expired; etcd
        # does not include the revision in this error.
        if isinstance(request, store.SwapRequest):
            return store.SwapReply(succeeded=False, revision=0)
        if isinstance(request, store.RevokeRequest):
            return store.LeaseReply(request.lease, 0)
    if status == http.HTTPStatus.BAD_REQUEST:
        return failures.BAD_REQUEST.because(reason)
    return failures.STORE_UNAVAILABLE.because(f'status {status}: {reason}')
