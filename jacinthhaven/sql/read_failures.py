"""Links between the answers of instances and their health."""

import typing

from jacinthhaven.sql import links, ports

_DIGITS = 2


class ServiceGroup(typing.Protocol):
    """The part of a service that is needed here."""

    name: str
    pool: typing.Any


def note_sent(group: ServiceGroup, link: links.Link, now_ms: int) -> None:
    """Note that a read is sent to an instance; it may be a probe."""
    states = group.pool.states
    states[link.instance].health.on_sent(now_ms)


def note_success(
    journal: ports.Journal, group: ServiceGroup, link: links.Link
) -> None:
    """Note that an instance has executed a read."""
    states = group.pool.states
    health = states[link.instance].health
    if health.failed and health.on_success(link.sent_ms):
        journal.write('instance_reused', _fields(group, link, health.failed))


def note_failure(
    journal: ports.Journal, group: ServiceGroup, link: links.Link, now_ms: int
) -> None:
    """Note that a read has failed; its instance may get no others."""
    states = group.pool.states
    healths = (state.health for state in states.values())
    health = states[link.instance].health
    if health.on_failure(healths, link.sent_ms, now_ms):
        journal.write('instance_failing', _fields(group, link, health.failed))


def _fields(
    group: ServiceGroup, link: links.Link, failed: float
) -> ports.Fields:
    return {
        'service': group.name,
        'instance': link.instance,
        'failed': round(failed, _DIGITS),
    }
