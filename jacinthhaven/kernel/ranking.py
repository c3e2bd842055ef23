"""Rendezvous (highest random weight) ranking of members for a key.

Every node computes the same order from the same members, and a change of
one member moves only the keys that it ranked first for.
"""

import hashlib
import typing

_DIGEST_BYTES = 8


def weight(key: str, member: str) -> int:
    """Return the pseudo-random weight of a member for a key."""
    digest = hashlib.blake2b(
        f'{key}\0{member}'.encode(),
        digest_size=_DIGEST_BYTES,
    )
    return int.from_bytes(digest.digest(), 'big')


def ranked(key: str, members: typing.Iterable[str]) -> list[str]:
    """Return the members ordered from the highest to the lowest weight."""
    return sorted(
        members,
        key=lambda member: (weight(key, member), member),
        reverse=True,
    )
