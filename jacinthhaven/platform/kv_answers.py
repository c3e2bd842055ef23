"""Answers of the platform's metadata store."""

import types
import typing

import msgspec

from jacinthhaven.adapters import http_store
from jacinthhaven.records import store


class Entry(msgspec.Struct, rename='camel'):
    """One key, or the note that it was removed."""

    key: str
    # `revision` is the one of the last change, `created` the first one.
    revision: int
    created: int = 0
    value: bytes = b''
    lease: int = 0
    removed: bool = False


class Page(msgspec.Struct, rename='camel'):
    """Keys of a prefix."""

    entries: list[Entry] = msgspec.field(name='items')
    # Revision of the whole store when it answered.
    current_rev: int = 0
    # Whether keys after the last one were left out.
    has_more: bool = False


class Events(msgspec.Struct, rename='camel'):
    """Changes that a watch reports."""

    events: list[Entry]
    current_rev: int


class Swapped(msgspec.Struct):
    """Revision of a transaction that was written."""

    revision: int


class Lease(msgspec.Struct, rename='camel'):
    """Granted or renewed lease."""

    ttl_ms: int
    lease: int = 0


_DECODERS = types.MappingProxyType(
    {
        kind: msgspec.json.Decoder(kind)
        for kind in (Page, Events, Swapped, Lease)
    },
)


def decode(kind: type, body: bytes) -> typing.Any:
    """Return a document of a kind.

    Raises:
      http_store.MalformedAnswerError: If the body is something else.
    """
    try:
        return _DECODERS[kind].decode(body)
    except msgspec.DecodeError as error:
        raise http_store.MalformedAnswerError(str(error)) from error


def _entry(entry: Entry) -> store.KeyValue:
    # Values of other writers may be any bytes; documents that are not text
    # fail when they are decoded.
    text = entry.value.decode(errors='replace')
    return store.KeyValue(
        entry.key,
        text,
        entry.created,
        entry.revision,
        entry.lease,
    )


def decode_ok(request: store.Request, body: bytes) -> store.Reply:
    """Return the reply in the answer to a call that succeeded."""
    match request:
        case store.ReadRequest():
            answer = decode(Page, body)
            entries = tuple(_entry(entry) for entry in answer.entries)
            return store.ReadReply(
                answer.current_rev,
                entries,
                answer.has_more,
            )
        case store.SwapRequest():
            return store.SwapReply(True, decode(Swapped, body).revision)
        case store.LeaseRequest():
            lease = decode(Lease, body)
            return store.LeaseReply(lease.lease, lease.ttl_ms)
        case store.KeepAliveRequest(lease=number):
            return store.LeaseReply(number, decode(Lease, body).ttl_ms)
    return store.LeaseReply(0, 0)


def watch_events(answer: Events) -> store.WatchEvents:
    """Return the changes in the answer to a watch."""
    # Of several changes of one key only the last one counts.
    last = {entry.key: entry for entry in answer.events}
    return store.WatchEvents(
        answer.current_rev,
        tuple(_entry(entry) for entry in last.values() if not entry.removed),
        tuple(entry.key for entry in last.values() if entry.removed),
    )
