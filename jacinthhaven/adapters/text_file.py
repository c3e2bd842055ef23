"""Reading of small text files and keys with a typed error."""

# Shorter keys can be guessed; 32 characters of hexadecimal are 128 bits.
MIN_KEY_BYTES = 32


class UnreadableFileError(Exception):
    """A file cannot be read at all.

    Attributes:
      name: Name of the file.
      reason: Explanation of the operating system or decoder.
    """

    def __init__(self, name: str, reason: str) -> None:
        """Remember the file and the reason."""
        super().__init__(f'{name}: {reason}')
        self.name = name
        self.reason = reason


def read_text(name: str) -> str:
    """Return the text of a file.

    Raises:
      UnreadableFileError: If the file cannot be read as UTF-8 text.
    """
    try:
        with open(name, encoding='utf-8') as stream:
            return stream.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'not UTF-8 text'
        raise UnreadableFileError(name, reason) from error


def read_key(name: str) -> bytes:
    """Return the key stored in a file, without surrounding white space.

    Raises:
      UnreadableFileError: If the file cannot be read, or the key is short
        or cannot be sent in an HTTP header.
    """
    key = read_text(name).strip()
    if len(key) < MIN_KEY_BYTES:
        raise UnreadableFileError(
            name,
            f'key is shorter than {MIN_KEY_BYTES} characters',
        )
    if not key.isascii() or not key.isprintable() or ' ' in key:
        raise UnreadableFileError(
            name,
            'key has characters other than visible ASCII characters',
        )
    return key.encode('ascii')
