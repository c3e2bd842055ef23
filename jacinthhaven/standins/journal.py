"""File that keeps an instance's terms and logs over a restart.

An instance that forgot a term or a confirmed entry could vote for a
primary without that entry, which no database group allows.
"""

import functools
import pathlib

import msgspec

from jacinthhaven.standins import (
    database_copy,
    instance_model,
    replicated_log,
)


class Change(msgspec.Struct, omit_defaults=True):
    """One line of the file: a term, an entry or a new end of the log."""

    database: str
    term: int = 0
    entry: replicated_log.Entry | None = None
    cut: int = 0


_decoder = msgspec.json.Decoder(Change)


class Journal:
    """Open file to which changes are appended."""

    def __init__(self, path: pathlib.Path, size: int) -> None:
        """Open the file and drop everything after its first bytes."""
        # Unbuffered: a change must survive a kill of the process.
        self.stream = path.open('ab', buffering=0)
        self.stream.truncate(size)

    def watch(self, copy: database_copy.DatabaseCopy) -> None:
        """Append all further changes of a copy."""
        copy.on_term = functools.partial(self._term, copy.name)
        copy.log.on_entry = functools.partial(self._entry, copy.name)
        copy.log.on_cut = functools.partial(self._cut, copy.name)

    def _term(self, database: str, term: int) -> None:
        self._append(Change(database, term=term))

    def _entry(self, database: str, entry: replicated_log.Entry) -> None:
        self._append(Change(database, entry=entry))

    def _cut(self, database: str, position: int) -> None:
        self._append(Change(database, cut=position))

    def _append(self, change: Change) -> None:
        line = (msgspec.json.encode(change), b'\n')
        self.stream.write(b''.join(line))


def attach(model: instance_model.InstanceModel, path: pathlib.Path) -> Journal:
    """Restore an instance from a file and append its further changes to it.

    Args:
      model: Instance with empty logs.
      path: File; created if absent.

    Returns:
      The open file.
    """
    stored = path.read_bytes() if path.exists() else b''
    # A killed process may leave the last line incomplete.
    size = stored.rfind(b'\n') + len(b'\n')
    entries: dict[str, list[replicated_log.Entry]] = {
        database: [] for database in model.copies
    }
    for line in stored[:size].splitlines():
        change = _decoder.decode(line)
        _replay(change, model.copies[change.database], entries)
    for database, log in entries.items():
        model.copies[database].log.receive(0, log, due_ms=0)
        model.copies[database].log.show_due(0)
    journal = Journal(path, size)
    for copy in model.copies.values():
        journal.watch(copy)
    return journal


def _replay(
    change: Change,
    copy: database_copy.DatabaseCopy,
    entries: dict[str, list[replicated_log.Entry]],
) -> None:
    log = entries[change.database]
    if change.entry:
        log.append(change.entry)
    elif change.term:
        copy.term = change.term
    else:
        entries[change.database] = log[: change.cut]
