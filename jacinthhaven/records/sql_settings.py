"""Settings of one SQL session proxy, read when it starts and on reload."""

import ipaddress
import typing

import pydantic
import pydantic_core

from jacinthhaven.records import settings_base

_MIN_LEASE_MS = 100
_MIN_GRACE_MS = 1000
_MAX_PORT = 65535


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise _bad_address(text) from error
    if not 0 < number <= _MAX_PORT:
        raise _bad_address(text)
    return host, number


def _bad_address(text: str) -> pydantic_core.PydanticCustomError:
    return settings_base.error(
        'address',
        f'{text} is not an IP address and a port',
    )


def _parse_address(source: typing.Any) -> tuple[str, int]:
    return _address(str(source))


Address = typing.Annotated[
    tuple[str, int],
    pydantic.BeforeValidator(_parse_address),
]


class Listeners(settings_base.Model):
    """Addresses that the process listens on."""

    clients: Address
    health: Address
    metrics: Address
    peers: Address


class Store(settings_base.Model):
    """Platform's store."""

    address: Address
    minimum_lease_ms: int = pydantic.Field(ge=_MIN_LEASE_MS)


class Promotion(settings_base.Model):
    """Where promotions are ordered."""

    address: Address


class SqlSettings(settings_base.Model):
    """Settings of one process.

    Attributes:
      node: Name of this process, unique among all nodes.
      zone: Availability zone.
      listeners: Addresses that the process listens on.
      store: Platform's store.
      promotion: Where promotions are ordered.
      log: Destination of the log.
      grace_ms: Time between SIGTERM and SIGKILL.
    """

    node: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    listeners: Listeners
    store: Store
    promotion: Promotion
    log: settings_base.Log = settings_base.Log()
    grace_ms: int = pydantic.Field(ge=_MIN_GRACE_MS)
