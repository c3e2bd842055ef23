"""Operator actions and single requests of the bench."""

import time
import typing
import uuid
from http import client

import msgspec

from bench import processes
from jacinthhaven.cli import exits, operator_client

_POLL_S = 0.05
_PATIENCE_S = 20
_CALL_TIMEOUT_S = 30


class NotReadyError(Exception):
    """A proxy did not do in time what the bench waits for."""


def wait_ready(port: int) -> None:
    """Wait until a proxy's health check succeeds.

    Args:
      port: Caller port of the proxy.

    Raises:
      NotReadyError: If the proxy is not ready in time.
    """
    deadline = time.monotonic() + _PATIENCE_S
    while time.monotonic() < deadline:
        try:
            status = _exchange(port, 'GET', '/health', None)[0]
        except OSError:
            status = 0
        if status == client.OK:
            return
        time.sleep(_POLL_S)
    raise NotReadyError(port)


def operator(fleet: processes.Fleet, number: int) -> operator_client.Client:
    """Return a client of a proxy's operator endpoint."""
    return operator_client.Client(
        processes.HOST,
        fleet.operator_port(number),
        fleet.operator_key.read_bytes(),
        timeout_s=_CALL_TIMEOUT_S,
    )


def status(fleet: processes.Fleet, number: int) -> dict[str, typing.Any]:
    """Return the status of a proxy; empty if it does not answer."""
    try:
        return operator(fleet, number).read('/v1/status')
    except exits.CommandError:
        return {}


def slot(fleet: processes.Fleet, number: int) -> int | None:
    """Return the slot of the fleet's group that a proxy holds."""
    groups = status(fleet, number).get('groups', {})
    return groups.get(fleet.shape.group, {}).get('slot')


def change(
    fleet: processes.Fleet,
    path: str,
    document: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Send a change to proxy 1 until it accepts it.

    Raises:
      NotReadyError: If it does not accept the change in time.
    """
    deadline = time.monotonic() + _PATIENCE_S
    while time.monotonic() < deadline:
        document['change_id'] = uuid.uuid4().hex
        try:
            return operator(fleet, 1).change(path, document)
        except exits.CommandError:
            time.sleep(_POLL_S)
    raise NotReadyError(path)


def configure(
    fleet: processes.Fleet,
    presets: dict[str, typing.Any],
    name: str,
) -> dict[str, typing.Any]:
    """Apply a configuration to an empty cluster and choose its preset.

    Args:
      fleet: The fleet; proxy 1 must run.
      presets: Presets by name.
      name: Preset to put in force.

    Returns:
      The answer to the choice of the preset.
    """
    applied = change(
        fleet,
        operator_client.CONFIG_PATH,
        {'document': {'presets': presets}, 'expect': 0},
    )
    return change(
        fleet,
        operator_client.PRESET_PATH,
        {'name': name, 'expect': applied['revision']},
    )


def read(port: int, database: str, key: str) -> typing.Any:
    """Return the current value of a key through a proxy.

    Args:
      port: Caller port of the proxy.
      database: Name of the database.
      key: Key to read.
    """
    body = {'kind': 'read', 'statement': {'op': 'get', 'key': key}}
    path = f'/v1/databases/{database}/statements'
    answer = _exchange(port, 'POST', path, msgspec.json.encode(body))[1]
    return msgspec.json.decode(answer).get('result')


def _exchange(
    port: int,
    method: str,
    path: str,
    body: bytes | None,
) -> tuple[int, bytes]:
    connection = client.HTTPConnection(
        processes.HOST,
        port,
        timeout=_CALL_TIMEOUT_S,
    )
    try:
        connection.request(method, path, body)
    except OSError:
        connection.close()
        raise
    response = connection.getresponse()
    answer = response.read()
    connection.close()
    return response.status, answer
