"""What operators are shown about a node: pure functions over its state."""

import typing

import msgspec

from jacinthhaven.decide import directory, node, owner
from jacinthhaven.records import presets

Document = dict[str, typing.Any]


def status(shown: node.Node, now_ms: int) -> Document:
    """Return the state of a node for `GET /v1/status`.

    Args:
      shown: The node.
      now_ms: Current time.
    """
    cluster = shown.cluster
    return {
        'node': shown.name,
        'boot': shown.identity.member.boot,
        'ready': shown.ready,
        'draining': shown.draining,
        'revision': shown.policy.revision,
        'preset': shown.policy.name,
        'freshness': cluster.configuration.state.value,
        'proof_age_ms': cluster.directory.proof_age_ms(now_ms),
        'members': sorted(cluster.directory.members),
        'store_reader': cluster.reader.active,
        'pending': len(shown.entry.pending),
        'groups': {
            name: _group_status(group_owner, now_ms)
            for name, group_owner in shown.owners.items()
        },
    }


def preset_documents(shown: node.Node) -> Document:
    """Return the presets of a node for `GET /v1/presets`."""
    entries = shown.cluster.directory.entries
    config = _decoded(entries, directory.CONFIG, presets.Configuration)
    choice = _decoded(entries, directory.PRESET, presets.PresetChoice)
    revisions = [
        entries[key].revision
        for key in (directory.CONFIG, directory.PRESET)
        if key in entries
    ]
    return {
        'revision': max(revisions, default=0),
        'in_force': shown.policy.name,
        'in_force_revision': shown.policy.revision,
        'presets': config.presets,
        'config_change_id': config.change_id,
        'preset_change_id': choice.change_id,
    }


def _decoded(
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


def _group_status(shown: owner.Owner, now_ms: int) -> Document:
    slot = shown.slot
    return {
        'slot': None if slot is None else slot.number,
        'epoch': None if slot is None else slot.epoch,
        'instances': {
            view.name: {
                'silent_ms': view.silent_ms(now_ms),
                'suspected': view.suspected,
                'leaving': view.leaving,
                'connections': _connections(shown, view.name),
            }
            for view in shown.state.instances.values()
        },
        'databases': {
            base.name: {
                'primary': base.primary,
                'term': base.term,
                'queued': base.admission.size,
                'unconfirmed': len(base.unconfirmed_writes),
            }
            for base in shown.state.databases.values()
        },
    }


def _connections(shown: owner.Owner, instance: str) -> int:
    connections = shown.state.pools.get(instance)
    return 0 if connections is None else connections.size
