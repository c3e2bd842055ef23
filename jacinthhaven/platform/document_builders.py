"""Test data: documents in the platform's store, and odd variants of them."""

import json
import random
import typing

from jacinthhaven.platform import words
from jacinthhaven.sql import builders

# Integers at the limits of common types, and beyond all of them.
_POWERS_OF_TWO = (31, 52, 53, 63)
_LIMITS = tuple(1 << power for power in _POWERS_OF_TWO)
_GIANT = 1 << 100  # noqa: WPS432
_ODD_NUMBERS = (-1, 0, *_LIMITS, _GIANT, 1.5, None)
_ODD_LETTERS = '{}[]",:0e-\0\x7fé'
_ODD_TEXTS = ('', '\0', '127.0.0.1:99999', '{', '[', 'long' * 100)
_ODD_FIELDS = (*_ODD_NUMBERS, *_ODD_TEXTS, ())
# Far beyond the times that messages have.
_LONG_MS = 1 << 40  # noqa: WPS432
_BYTE_VALUES = 256
_TAGS = 'qcsdpgrn'
_WAITING = (1, 0, ('db-a', 'x'), -5, _LONG_MS)
_DATAGRAM_FIELDS = (
    *(-1, 0, 1, *_LIMITS),
    *_ODD_TEXTS,
    *(('127.0.0.1', port) for port in (1, 0, -1, 99_999)),
    ('no host', 1),
    (),
    {},
    {'n1': -1},
    {'n1': _LONG_MS},
    builders.SERVICE,
    (builders.SERVICE,),
    ((builders.SERVICE, 1, 2, 3),),
    ({'db-a': -3, 'x': _LONG_MS}, (_WAITING,)),
)


def configuration(version: int = 1) -> str:
    """Return an operator's configuration with one route of each mode."""
    known = builders.configuration()
    modes = {'primary': 'primary', 'bounded': 'bounded_staleness'}
    routes = [
        {
            'host': route.database,
            'service': route.service,
            'routeType': modes.get(route.mode.value, 'read_your_writes'),
            'timeoutMs': route.timeout_ms,
            'targetLatencyMs': route.target_ms,
            'maxStalenessMs': route.max_age_ms,
        }
        for route in known.routes.values()
    ]
    services = [{'name': builders.SERVICE, 'maxConnections': 21}]
    document = {'version': version, 'routes': routes, 'services': services}
    return json.dumps(document)


def entry(name: str = 'odd', **changes: typing.Any) -> str:
    """Return a registry entry of an instance of the only service."""
    fields = {
        'service': builders.SERVICE,
        'address': '127.0.0.1:1',
        'zone': name[-1],
        'version': '1.0',
        'slots': 3,
        'state': 'ready',
        'dbRole': 'primary' if name == builders.MEMBERS[0] else 'replica',
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': 1,
    }
    return json.dumps(fields | changes)


def mutate(text: str, rng: random.Random) -> str:
    """Return a document with a changed field, or with some changed letters."""
    if rng.choice((True, False)):
        fields = json.loads(text)
        name = rng.choice(sorted(fields))
        fields[name] = rng.choice(_ODD_FIELDS)
        return json.dumps(fields)
    for letter in rng.sample(_ODD_LETTERS, rng.randint(1, 4)):
        begin = rng.randrange(len(text))
        end = begin + rng.randint(0, 2)
        text = letter.join((text[:begin], text[end:]))
    return text


def read_line(read: typing.Callable[[str], typing.Any], line: str) -> None:
    """Read a line, which may be malformed."""
    try:
        read(line)
    except words.MalformedLineError:
        return


def odd_datagram(rng: random.Random) -> bytes:
    """Return a datagram between nodes with random fields or bytes."""
    fields = [rng.choice(_TAGS), rng.choice(('n0', 'n1', ''))]
    fields.extend(rng.choices(_DATAGRAM_FIELDS, k=rng.randint(0, 6)))
    chunk = bytearray(builders.pack(fields))
    if rng.choice((True, False, False)):
        changed = rng.randrange(len(chunk))
        chunk[changed] = rng.randrange(_BYTE_VALUES)
    return bytes(chunk)
