"""Documents that describe a node to operators.

All functions are pure functions of the state of the node.
"""

import typing

import msgspec

from jacinthhaven.decide import directory, node, owner
from jacinthhaven.records import presets

Document = dict[str, typing.Any]


def status(inspected: node.Node, now_ms: int) -> Document:
    """Return the state of a node for `GET /v1/status`.

    Args:
      inspected: The node.
      now_ms: Current time.
    """
    cluster = inspected.cluster
    return {
        'node': inspected.name,
        'boot': inspected.identity.member.boot,
        'ready': inspected.ready,
        'draining': inspected.draining,
        'revision': inspected.policy.revision,
        'preset': inspected.policy.name,
        'freshness': cluster.configuration.state.value,
        'proof_age_ms': cluster.directory.proof_age_ms(now_ms),
        'members': sorted(cluster.directory.members),
        'store_reader': cluster.reader.active,
        'pending': len(inspected.entry.pending),
        'groups': {
            name: _group_status(group_owner, now_ms)
            for name, group_owner in inspected.owners.items()
        },
    }


def preset_documents(inspected: node.Node) -> Document:
    """Return the presets of a node for `GET /v1/presets`."""
    entries = inspected.cluster.directory.entries
    config = _decode_document(entries, directory.CONFIG, presets.Configuration)
    choice = _decode_document(entries, directory.PRESET, presets.PresetChoice)
    revisions = [
        entries[key].revision
        for key in (directory.CONFIG, directory.PRESET)
        if key in entries
    ]
    return {
        'revision': max(revisions, default=0),
        'in_force': inspected.policy.name,
        'in_force_revision': inspected.policy.revision,
        'presets': config.presets,
        'config_change_id': config.change_id,
        'preset_change_id': choice.change_id,
    }


def _decode_document(
    entries: dict[str, typing.Any],
    key: str,
    document: type,
) -> typing.Any:
    entry = entries.get(key)
    if entry is None or entry.deleted:
        return document()
    try:
        return msgspec.json.decode(entry.value, type=document)
    except msgspec.MsgspecError:
        return document()


def _group_status(group_owner: owner.Owner, now_ms: int) -> Document:
    slot = group_owner.slot
    return {
        'slot': None if slot is None else slot.number,
        'epoch': None if slot is None else slot.epoch,
        'instances': {
            view.name: {
                'silent_ms': view.silent_ms(now_ms),
                'suspected': view.suspected,
                'leaving': view.leaving,
                'connections': _connections(group_owner, view.name),
            }
            for view in group_owner.state.instances.values()
        },
        'databases': {
            database.name: {
                'primary': database.primary,
                'term': database.term,
                'queued': database.admission.size,
                'unconfirmed': len(database.unconfirmed_writes),
            }
            for database in group_owner.state.databases.values()
        },
    }


def _connections(group_owner: owner.Owner, instance: str) -> int:
    connections = group_owner.state.pools.get(instance)
    return 0 if connections is None else connections.size
