"""Version of the program, read from the installed package metadata."""

from importlib import metadata


def current() -> str:
    """Return the installed version."""
    return metadata.version('jacinthhaven')
