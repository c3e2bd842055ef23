"""Bounds of one process, derived from the memory and the descriptors."""

import msgspec

from jacinthhaven.records import sql_settings

_MB = 1_000_000
_KB = 1024
_PERCENT = 100
# Memory of a process without clients.
_REST_MB = 60
# Percentage of the remaining memory that may be counted as held. The rest is for
# what is not counted: copies of a line while it is parsed, free space that the
# allocator cannot return, buffers of the kernel, and objects of sessions.
_HELD_PERCENT = 35
_MIN_HELD_BYTES = 8 * _MB
# Share of the bound from which connections that hold much are not read.
_PRESSURE_SHARE = 0.5
# Descriptors that are kept for instances, the store, logs and listeners.
_RESERVED_FDS = 64
_RESERVED_FDS_SHARE = 0.1
_MIN_CONNECTIONS = 16


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of one process.

    Attributes:
      held_bytes: Bytes that all connections may hold.
      pressure_bytes: Held bytes from which large senders are not read.
      queued_bytes: Bytes of unanswered statements and unsent answers of one
        connection from which it is not read.
      connection_bytes: Bytes that one connection may hold.
      kept_bytes: Bytes of settings and prepared statements of one session.
      pipelined: Unanswered statements of one connection from which it is not
        read.
      connections: Connections of clients and other nodes.
      start_ms: Time in which a connection must open a session.
      message_ms: Time in which a message must be complete.
      reader_ms: Time in which a part of the queued answers must be read.
    """

    held_bytes: int
    pressure_bytes: int
    queued_bytes: int
    connection_bytes: int
    kept_bytes: int
    pipelined: int
    connections: int
    start_ms: int
    message_ms: int
    reader_ms: int


def derive(limits: sql_settings.Limits, open_files: int) -> Bounds:
    """Return the bounds of a process.

    Args:
      limits: Limits in the settings.
      open_files: Descriptors that the operating system allows.
    """
    held = (limits.memory_mb - _REST_MB) * _MB * _HELD_PERCENT // _PERCENT
    held = max(held, _MIN_HELD_BYTES)
    files = min(limits.max_fds, open_files)
    reserved = _RESERVED_FDS + int(files * _RESERVED_FDS_SHARE)
    return Bounds(
        held_bytes=held,
        pressure_bytes=int(held * _PRESSURE_SHARE),
        queued_bytes=limits.queued_kb * _KB,
        connection_bytes=limits.connection_kb * _KB,
        kept_bytes=limits.kept_kb * _KB,
        pipelined=limits.pipelined,
        connections=max(files - reserved, _MIN_CONNECTIONS),
        start_ms=limits.start_timeout_ms,
        message_ms=limits.message_timeout_ms,
        reader_ms=limits.reader_timeout_ms,
    )


# Bounds of parts that are built without settings, as in tests and simulations.
DEFAULT = derive(sql_settings.Limits(), sql_settings.Limits().max_fds)
