"""Reads of all keys with a prefix, which the store answers in pages."""

import functools
import typing

import msgspec

from jacinthhaven.records import store
from jacinthhaven.sql import store_access

OnRead = typing.Callable[[store.ReadReply | None], None]


def read_all(
    access: store_access.StoreAccess,
    request: store.ReadRequest,
    on_reply: OnRead,
) -> None:
    """Read all pages; the combined reply has the first page's revision.

    The pages are not a consistent snapshot. A watch that starts at that
    revision delivers the changes made between them.

    Args:
      access: Calls to the store.
      request: Request for the first page.
      on_reply: Called with the combined reply, or with None after a failure.
    """
    access.call(
        request,
        functools.partial(_on_page, access, request, None, on_reply),
    )


def _on_page(
    access: store_access.StoreAccess,
    request: store.ReadRequest,
    earlier: store.ReadReply | None,
    on_reply: OnRead,
    reply: store.ReadReply | None,
) -> None:
    if reply is None:
        on_reply(None)
        return
    if earlier is not None:
        reply = store.ReadReply(
            earlier.revision,
            earlier.entries + reply.entries,
            reply.more,
        )
    if not reply.more or not reply.entries:
        on_reply(reply)
        return
    next_request = msgspec.structs.replace(
        request,
        after=reply.entries[-1].key,
    )
    access.call(
        next_request,
        functools.partial(_on_page, access, next_request, reply, on_reply),
    )
