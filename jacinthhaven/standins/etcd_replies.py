"""Answers of the etcd v3 JSON gateway, from replies of the store model.

They have the published form: base64 keys and values, 64-bit integers as
strings, and zero values left out.
"""

import typing

from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import etcd_requests, key_space

_MS_PER_S = 1000

Document = dict[str, typing.Any]


def encode(
    request: store.Request,
    reply: store.Reply | failures.Failure,
    space: key_space.KeySpace,
) -> Document:
    """Return the JSON document that answers a call.

    Args:
      request: Decoded request.
      reply: Reply of the store model.
      space: Keys of the model after the call.

    Raises:
      etcd_requests.ErrorStatus: If etcd reports the reply as an error.
    """
    head = header(space.revision)
    if isinstance(reply, failures.Failure):
        raise etcd_requests.invalid(f'etcdserver: {reply.reason}')
    if isinstance(reply, store.ReadReply):
        return _encode_range(reply, head)
    if isinstance(reply, store.SwapReply):
        if reply.succeeded:
            return {**head, 'succeeded': True}
        if all(space.holds(compare) for compare in request.compares):
            raise etcd_requests.lease_not_found()
        return head
    return _encode_lease(request, reply, head)


def encode_events(events: store.WatchEvents) -> Document:
    """Return the JSON document of the changes of one revision."""
    changes: list[Document] = [
        {'kv': _encode_entry(entry)} for entry in events.changed
    ]
    for key in events.deleted:
        entry = {'key': key.encode(), 'mod_revision': str(events.revision)}
        changes.append({'type': 'DELETE', 'kv': entry})
    return {'result': {**header(events.revision), 'events': changes}}


def header(revision: int) -> Document:
    """Return the header of every answer."""
    return {
        'header': {
            'cluster_id': '1',
            'member_id': '1',
            'revision': str(revision),
            'raft_term': '1',
        },
    }


def _encode_range(reply: store.ReadReply, head: Document) -> Document:
    if not reply.entries:
        return head
    return {
        **head,
        'kvs': [_encode_entry(entry) for entry in reply.entries],
        'count': str(len(reply.entries)),
    }


def _encode_entry(entry: store.KeyValue) -> Document:
    document = {
        'key': entry.key.encode(),
        'create_revision': str(entry.create_revision),
        'mod_revision': str(entry.mod_revision),
    }
    if entry.value:
        document['value'] = entry.value.encode()
    if entry.lease:
        document['lease'] = str(entry.lease)
    return document


def _encode_lease(
    request: store.Request,
    reply: store.LeaseReply,
    head: Document,
) -> Document:
    if isinstance(request, store.RevokeRequest):
        return head
    document = {**head, 'ID': str(reply.lease)}
    if reply.ttl_ms:
        document['TTL'] = str(reply.ttl_ms // _MS_PER_S)
    if isinstance(request, store.KeepAliveRequest):
        return {'result': document}
    return document
