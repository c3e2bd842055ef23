"""Reading of small text files and key files with a typed error."""

# Shorter keys can be guessed; 32 hexadecimal characters hold 128 bits.
MIN_KEY_BYTES = 32


class UnreadableFileError(Exception):
    """A file cannot be read, or holds no usable text or key.

    Attributes:
      name: Name of the file.
      reason: Message of the operating system, or what is wrong with the
        content.
    """

    def __init__(self, name: str, reason: str) -> None:
        """Create an error for a file."""
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
      UnreadableFileError: If the file cannot be read, or the key is too
        short or cannot be sent in an HTTP header.
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
            'key contains spaces or characters outside printable ASCII',
        )
    return key.encode('ascii')
