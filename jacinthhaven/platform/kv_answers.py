"""Responses of the platform's metadata store."""

import types
import typing

import msgspec

from jacinthhaven.adapters import http_store
from jacinthhaven.records import history, store


class Entry(msgspec.Struct, rename='camel'):
    """Key with its value, or a removed key."""

    key: str
    # `revision` is the revision of the last change, `created` the one that
    # created the key.
    revision: int
    created: int = 0
    value: bytes = b''
    lease: int = 0
    removed: bool = False


class Page(msgspec.Struct, rename='camel'):
    """Response to a read: one page of the keys with a prefix."""

    entries: list[Entry] = msgspec.field(name='items')
    # Revision of the whole store at the time of the response.
    current_rev: int = 0
    # Whether further keys follow on the next page.
    has_more: bool = False


class Events(msgspec.Struct, rename='camel'):
    """Response to a watch: the changes since the given revision."""

    events: list[Entry]
    current_rev: int


class Committed(msgspec.Struct):
    """Response to a committed transaction."""

    revision: int


class Lease(msgspec.Struct, rename='camel'):
    """Response to the grant or the renewal of a lease."""

    ttl_ms: int
    lease: int = 0


_DECODERS = types.MappingProxyType(
    {
        kind: msgspec.json.Decoder(kind)
        for kind in (Page, Events, Committed, Lease)
    },
)


def decode(kind: type, body: bytes) -> typing.Any:
    """Decode a response body.

    Raises:
      http_store.MalformedAnswerError: If the body does not match the type.
    """
    try:
        return _DECODERS[kind].decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise http_store.MalformedAnswerError(str(error)) from error


def _to_key_value(era: int, entry: Entry) -> store.KeyValue:
    # Other writers may store arbitrary bytes. Values that are not valid
    # UTF-8 are rejected later, when their document is decoded.
    text = entry.value.decode(errors='replace')
    return store.KeyValue(
        entry.key,
        text,
        history.EraNumber.at(era, entry.created),
        history.EraNumber.at(era, entry.revision),
        history.EraNumber.at(era, entry.lease) if entry.lease else history.NONE,
    )


def decode_ok(request: store.Request, body: bytes, era: int) -> store.Reply:
    """Decode the body of a successful response.

    Args:
      request: Request that it answers.
      body: Body of the response.
      era: Era of the store in the head of the response.
    """
    match request:
        case store.ReadRequest():
            answer = decode(Page, body)
            entries = tuple(
                _to_key_value(era, entry) for entry in answer.entries
            )
            return store.ReadReply(
                history.EraNumber.at(era, answer.current_rev),
                entries,
                answer.has_more,
            )
        case store.ChangesRequest():
            return watch_events(decode(Events, body), era)
        case store.SwapRequest():
            answer = decode(Committed, body)
            revision = history.EraNumber.at(era, answer.revision)
            return store.SwapReply(True, revision)
        case store.LeaseRequest() | store.KeepAliveRequest():
            lease = decode(Lease, body)
            # The reply to a renewal does not repeat the number.
            granted = history.EraNumber.at(era, lease.lease)
            number = getattr(request, 'lease', granted)
            return store.LeaseReply(number, lease.ttl_ms)
    return store.LeaseReply(history.NONE, 0)


def watch_events(answer: Events, era: int) -> store.WatchEvents:
    """Return the changes in the response to a watch of an era."""
    # If a key changed several times, only the last change counts.
    last = {entry.key: entry for entry in answer.events}
    return store.WatchEvents(
        history.EraNumber.at(era, answer.current_rev),
        tuple(
            _to_key_value(era, entry)
            for entry in last.values()
            if not entry.removed
        ),
        tuple(entry.key for entry in last.values() if entry.removed),
    )
