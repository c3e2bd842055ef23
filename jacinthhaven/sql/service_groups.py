"""Groups of a gateway: their services and their shares of connections."""

import typing

from jacinthhaven.sql import access, execution, group, records


class LinkShares(typing.NamedTuple):
    """How the connection limit of each instance is divided.

    Attributes:
      owner_count: Number of owners of each service.
      owned: Names of the services that this node owns; None for all.
    """

    owner_count: int
    owned: typing.Container[str] | None = None


class Host(typing.Protocol):
    """The part of a gateway that this module uses."""

    zone: str
    executor: execution.Executor
    groups: dict[str, group.Group]
    configuration: records.Configuration
    shares: LinkShares
    access: access.Access


def configure(host: Host, now_ms: int) -> None:
    """Create the groups of new services, and mark those of removed ones."""
    configuration = host.configuration
    for name, service_group in host.groups.items():
        service_group.removed = name not in configuration.services
    for name in configuration.services:
        if name not in host.groups:
            host.groups[name] = group.Group(
                name,
                host.zone,
                host.executor.databases,
                host.executor,
                now_ms,
            )
    for service_group in host.groups.values():
        service_group.limits_ms = records.shortest_targets_ms(
            configuration, service_group.name
        )
        service_group.backlog.retain(configuration.routes)


def share_links(host: Host) -> None:
    """Divide the connection limit of each instance among the owners."""
    for name, service_group in host.groups.items():
        service = host.configuration.services.get(name)
        if service is None:
            continue
        service_group.owned = (
            host.shares.owned is None or name in host.shares.owned
        )
        # One share is reserved for connections of dead nodes, which
        # stay open for a while, and for nodes that replace them.
        share = service.max_connections // (host.shares.owner_count + 1)
        service_group.pool.max_links = (
            max(share, 1) if service_group.owned else 1
        )
        service_group.pool.min_links = int(service_group.owned)
        service_group.pool.owners = host.shares.owner_count
        service_group.pool.by_customer = host.access.needs_keys


def end_if_unused(service_group: group.Group) -> bool:
    """Close the links of a removed service that has no statements left.

    Returns:
      Whether the service was ended.
    """
    links = tuple(service_group.pool.by_number.values())
    if service_group.backlog.waiting or not all(link.unused for link in links):
        return False
    for link in links:
        service_group.pool.drop(link)
    service_group.journal.write(
        'service_ended', {'service': service_group.name}
    )
    return True
