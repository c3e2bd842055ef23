"""Order of what is learned from a store that may be restored.

A store that comes back from an older copy gives numbers of changes and of leases
out again. Its era rises each time, so a number has a meaning only together with the
era in which it was given out.
"""

import typing

# The era of a store that was never restored, also of one without eras.
FIRST_ERA = 1
# Bits of the store's own numbers.
_NUMBER_BITS = 64
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
# Bits of the number in the encoded form, which has to fit into the 53 bits that
# all readers of JSON support: 2**44 changes in an era, and 511 restores.
_ENCODED_BITS = 44
_ENCODED_MASK = (1 << _ENCODED_BITS) - 1
_MAX_ENCODED = (1 << 53) - 1


class EraNumber(int):  # noqa: WPS600
    """Number that a store has given out, ordered by its era first.

    Revisions, lease numbers and fencing tokens are of this type; 0 stands for
    none. It is an integer so that builds without eras, whose numbers are plain
    integers, can be compared with it: they equal those of the first era.
    """

    __slots__ = ()

    @classmethod
    def at(cls, era: int, number: int) -> 'EraNumber':
        """Return a number that was given out in an era."""
        return cls((max(era, FIRST_ERA) - FIRST_ERA) << _NUMBER_BITS | number)

    @property
    def era(self) -> int:
        """Return the era of the store when it gave the number out."""
        return (self >> _NUMBER_BITS) + FIRST_ERA

    @property
    def number(self) -> int:
        """Return the store's own number."""
        return self & _NUMBER_MASK

    @property
    def encoded(self) -> int:
        """Return the form for other nodes, stored records and the platform.

        It has the same order, and equals the store's own number in the first
        era. Lease numbers may be too large for it.

        Raises:
          ValueError: If the number is too large.
        """
        if self.number > _ENCODED_MASK:
            raise ValueError(f'{self.number} is above {_ENCODED_MASK}')
        return (self.era - FIRST_ERA) << _ENCODED_BITS | self.number

    @property
    def text(self) -> str:
        """Return the form for logs, with the era if it is not the first."""
        prefix = '' if self.era == FIRST_ERA else f'{self.era}:'
        return f'{prefix}{self.number}'


NONE = EraNumber(0)


def decode(encoded: int) -> EraNumber:
    """Return the number in its encoded form.

    Raises:
      ValueError: If it is not within the range of that form.
    """
    if not 0 <= encoded <= _MAX_ENCODED:
        raise ValueError(f'{encoded} is not between 0 and {_MAX_ENCODED}')
    era = (encoded >> _ENCODED_BITS) + FIRST_ERA
    return EraNumber.at(era, encoded & _ENCODED_MASK)


def decode_hook(kind: type, encoded: typing.Any) -> EraNumber:
    """Decode a number in a message or a record; a hook of `msgspec`.

    Raises:
      ValueError: If it is not an integer of the expected range.
    """
    usable = isinstance(encoded, int) and not isinstance(encoded, bool)
    if kind is not EraNumber or not usable:
        raise ValueError(f'expected an integer, got {type(encoded).__name__}')
    return decode(encoded)


def encode_hook(known: typing.Any) -> int:
    """Encode a number in a message or a record; a hook of `msgspec`.

    Raises:
      NotImplementedError: If it is of another type.
    """
    if not isinstance(known, EraNumber):
        raise NotImplementedError(f'cannot encode {type(known).__name__}')
    return known.encoded
