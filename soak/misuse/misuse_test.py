"""Misbehaving clients against real processes; no times are checked."""

import contextlib
import types

import pytest

from soak import fleet
from soak.misuse import builders

_MESSAGE_BYTES = 1_048_576
_READ = b'QUERY q READ '
_END = b'\r\n'
_SLOW_ITEM_BYTES = 200_000
_TEXT = b'x' * 60_000


def _message(size: int) -> bytes:
    """Return a statement that takes a whole line of a size in bytes."""
    return _READ.ljust(size, b'x') + _END


_LARGEST = _message(_MESSAGE_BYTES)
_UNFINISHED = _READ.ljust(900_000, b'x')
_PREPARED = b''.join(
    b'QUERY q PREPARE p%d READ %d%b\r\n' % (number, number, _TEXT)
    for number in range(60)
)
_SETTINGS = b''.join(
    b'QUERY q SET s%d %d%b\r\n' % (number, number, _TEXT)
    for number in range(60)
)
_PIPELINED = _message(20_000) * 60
_CROWDS = types.MappingProxyType(
    {
        'largest messages': builders.Kind(100, _LARGEST * 4),
        'small pieces': builders.Kind(100, _LARGEST, piece_bytes=4096),
        'unfinished messages': builders.Kind(100, _UNFINISHED),
        'over the limit': builders.Kind(60, b'x' * 16_000_000),
        'unread pipelines': builders.Kind(100, _PIPELINED),
        'slow senders': builders.Kind(
            150, _message(400_000)[:-2], trickle=True
        ),
        'unread answers': builders.Kind(40, b'QUERY q READ slow\r\n' * 60),
        'prepared texts': builders.Kind(60, _PREPARED, reads=True),
        'settings': builders.Kind(60, _SETTINGS, reads=True),
        'idle sessions': builders.Kind(400),
        'connections without a session': builders.Kind(400, start=b''),
    },
)
_RELAYED = (
    'largest messages',
    'unfinished messages',
    'unread pipelines',
    'unread answers',
    'prepared texts',
)
# Misbehaving clients of another node, whose build may have no limits.
_AT_AN_OWNER = (*_RELAYED, 'connections without a session')
_RELAYED_START = b'SESSION 1 strict\r\n'
_CLIENTS_PORT = 0
_PEERS_PORT = 3


def _check(
    running: fleet.Fleet,
    target: fleet.Proxy,
    kind: builders.Kind,
    listener: int = _CLIENTS_PORT,
) -> None:
    """Play a crowd at a listener of one proxy, and check all of them."""
    builders.store_item(target, 'slow', _SLOW_ITEM_BYTES)
    assert builders.is_served(target)
    usages = [builders.Usage(proxy) for proxy in running.proxies]
    crowd = builders.play(kind, target.ports[listener], usages)
    with contextlib.ExitStack() as opened:
        for member in crowd:
            opened.enter_context(member.socket)
        served = builders.is_served(target)
        assert all(proxy.running for proxy in running.proxies)
        most_mb = builders.MEMORY_MB - builders.REST_MB
        grown_mb = [round(usage.growth_mb, 1) for usage in usages]
        descriptors = [usage.descriptors for usage in usages]
        assert max(grown_mb) <= most_mb, f'{grown_mb} {descriptors}'
        assert max(descriptors) <= builders.MAX_FDS, f'{descriptors}'
        assert served, f'{grown_mb} {descriptors}'


@pytest.mark.parametrize('name', _CROWDS)
def test_crowd(name, tmp_path):
    """Guards against clients that exhaust memory or descriptors."""
    with contextlib.closing(
        fleet.Fleet(tmp_path, 1, settings=builders.settings())
    ) as running:
        _check(running, running.proxies[0], _CROWDS[name])


@pytest.mark.parametrize('name', _RELAYED)
def test_crowd_at_a_relaying_node(name, tmp_path):
    """Guards against clients that exhaust the memory of an owner."""
    with contextlib.closing(
        fleet.Fleet(
            tmp_path,
            builders.RELAYING_SIZE,
            settings=builders.settings(),
        )
    ) as running:
        _check(running, builders.relaying(running), _CROWDS[name])


@pytest.mark.parametrize('name', _AT_AN_OWNER)
def test_crowd_at_an_owner(name, tmp_path):
    """Guards against relayed clients that no other node has limited."""
    kind = _CROWDS[name]
    if kind.start:
        kind = kind._replace(start=_RELAYED_START)
    with contextlib.closing(
        fleet.Fleet(tmp_path, 1, settings=builders.settings())
    ) as running:
        _check(running, running.proxies[0], kind, _PEERS_PORT)


def test_largest_message_is_served(tmp_path):
    """Guards against limits that refuse a single message of legal size."""
    with contextlib.closing(
        fleet.Fleet(tmp_path, 1, settings=builders.settings())
    ) as running:
        size = _MESSAGE_BYTES - len('QUERY ordinary WRITE large ')
        builders.store_item(running.proxies[0], 'large', size)
        assert builders.is_served(running.proxies[0])
