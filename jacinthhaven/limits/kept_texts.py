"""Settings and prepared statements that sessions keep."""

import hashlib
import typing

from jacinthhaven.limits import bounds

# Objects of one kept text beside its characters.
_ENTRY_BYTES = 256
# A database connection keeps the settings in effect on it.
MAX_SETTINGS = 64
_MAX_SHORT_CHARS = 64
_DIGEST_BYTES = 16


class Keeper(typing.Protocol):
    """The part of a session that is counted."""

    number: int
    kept_bytes: int


class KeptTexts:
    """Limit of what sessions keep.

    Attributes:
      most_bytes: Most bytes of one session.
      on_change: Called with the number of a session and its kept bytes.
    """

    def __init__(self, most_bytes: int = bounds.DEFAULT.kept_bytes) -> None:
        """Create the limit."""
        self.most_bytes = most_bytes
        self.on_change: typing.Callable[[int, int], None] = _ignore

    def replace(self, session: Keeper, old: int, new: int) -> bool:
        """Record that a text takes the place of another one, if it may.

        Args:
          session: Session that keeps the text.
          old: Bytes of the replaced text, as returned by `size`; 0 for none.
          new: Bytes of the new text; 0 for none.

        Returns:
          Whether the session may keep the new text.
        """
        kept = session.kept_bytes + new - old
        if new > old and kept > self.most_bytes:
            return False
        session.kept_bytes = kept
        self.on_change(session.number, kept)
        return True


def size(name: str, text: str) -> int:
    """Return the bytes that a kept text takes."""
    return len(name) + len(text) + _ENTRY_BYTES


def shortened(text: str) -> str:
    """Return a text that is equal only for equal texts, and short.

    Database connections outlive sessions. They compare settings only, so that
    they need not keep long ones.
    """
    if len(text) <= _MAX_SHORT_CHARS:
        return text
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    # No line contains a line break, so that no short text equals a digest.
    return f'\r\n{digest.hexdigest()}'


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
