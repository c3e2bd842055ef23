"""Order of what is learned from a store that may be restored.

A store that comes back from an older copy gives numbers of changes and of leases
out again. Its era rises each time, so a number has a meaning only together with the
era in which it was given out.
"""

import typing

# The era of a store that was never restored, also of one without eras.
FIRST_ERA = 1
# Bits of the number below the era. Both fit into the 53 bits that JSON readers
# can rely on: 8,191 restores, and 2**40 changes in one era.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
_MAX = (1 << 53) - 1


class EraNumber(int):  # noqa: WPS600
    """Number that a store has given out, ordered by its era first.

    Revisions, lease numbers and fencing tokens are of this type. As an integer
    it also goes to other nodes, into stored records and to the platform. In the first
    era it equals the store's own number, which is all that builds without eras know;
    0 stands for none.

    Attributes:
      era: Era of the store when it gave the number out.
      number: The store's own number.
    """

    __slots__ = ()

    @classmethod
    def at(cls, era: int, number: int) -> 'EraNumber':
        """Return a number that was given out in an era."""
        return cls((max(era, FIRST_ERA) - FIRST_ERA) << _NUMBER_BITS | number)

    @property
    def era(self) -> int:
        """Return the era; the first one for 0."""
        return (self >> _NUMBER_BITS) + FIRST_ERA

    @property
    def number(self) -> int:
        """Return the store's own number."""
        return self & _NUMBER_MASK


NONE = EraNumber(0)


def decode(kind: type, encoded: typing.Any) -> typing.Any:
    """Return the number in a message or a record; a hook of `msgspec`.

    Raises:
      ValueError: If it is not an integer of the expected range.
    """
    usable = isinstance(encoded, int) and not isinstance(encoded, bool)
    if kind is not EraNumber or not usable:
        raise ValueError(f'expected an integer, got {type(encoded).__name__}')
    if not 0 <= encoded <= _MAX:
        raise ValueError(f'{encoded} is not between 0 and {_MAX}')
    return EraNumber(encoded)


def encode(known: typing.Any) -> int:
    """Return a number as it is sent and stored; a hook of `msgspec`.

    Raises:
      NotImplementedError: If it is of another type.
    """
    if not isinstance(known, EraNumber):
        raise NotImplementedError(f'cannot encode {type(known).__name__}')
    return int(known)
