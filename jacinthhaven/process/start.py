"""Entry point of a SQL session proxy that loads its settings file."""

import gc
import os
import sys

from jacinthhaven.process import light_imports

# Before the modules that import the libraries themselves.
light_imports.import_libraries()

from jacinthhaven.adapters import (  # noqa: E402
    sql_settings_file,
    text_file,
)
from jacinthhaven.process import sql_proxy  # noqa: E402

SETTINGS_VARIABLE = 'JACINTHHAVEN_NODE_FILE'
# Exit codes for invalid and unreadable settings files, the same as those of
# the command line.
_EXIT_INVALID = 1
_EXIT_UNREADABLE = 2


def run_sql_proxy(name: str) -> int:
    """Run a proxy until it is stopped and return the exit code."""
    try:
        loaded = sql_settings_file.load(name)
    except text_file.UnreadableFileError as error:
        return _fail(f'{error}', _EXIT_UNREADABLE)
    if isinstance(loaded, list):
        return _fail(
            '\n'.join(f'{name}:{error}' for error in loaded), _EXIT_INVALID
        )
    return sql_proxy.run(loaded, name)


def main() -> int:
    """Run a proxy with the settings file named in the environment."""
    # What was imported stays; no later collection has to look at it.
    gc.freeze()
    gc.enable()
    name = os.environ.get(SETTINGS_VARIABLE)
    if name is None:
        return _fail(f'{SETTINGS_VARIABLE} is not set', _EXIT_UNREADABLE)
    return run_sql_proxy(name)


def _fail(text: str, code: int) -> int:
    sys.stderr.write(f'{text}\n')
    return code
