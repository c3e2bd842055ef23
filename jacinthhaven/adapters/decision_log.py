"""Buffered JSON log with one line for each decision.

Decision lines bypass `logging.LogRecord`, because creating and handling a
record costs more than encoding the line. Records of `logging` go through the
same formatter and the same buffer, so that all lines stay in order.
"""

import atexit
import importlib
import logging
import os
import time
import typing

import msgspec

from jacinthhaven.adapters import poller
from jacinthhaven.decide import messages
from jacinthhaven.records import history

STDOUT = 'stdout'
_STDOUT_FD = 1
_FILE_MODE = 0o640
# A write of this size costs about as much as a write of a single line.
_FLUSH_BYTES = 65_536
# Limits the memory used while the destination does not accept writes.
_MAX_BUFFERED_BYTES = 4_194_304
_NS_PER_S = 1_000_000_000
_NS_PER_MS = 1_000_000

_ENCODING_ERRORS = (TypeError, ValueError, OverflowError)


class Output(typing.Protocol):
    """Log settings that all kinds of processes have in common.

    Attributes:
      level: Lowest level that is written.
      destination: `stdout` or an absolute file name.
      flush_ms: Longest time in milliseconds that a line stays buffered.
    """

    level: str
    destination: str
    flush_ms: int


class UtcFormatter:
    """Formatter of wall-clock time in UTC.

    UTC makes the log lines of several nodes comparable.
    """

    def __init__(self) -> None:
        """Start without a cached second."""
        self.second = -1
        self.prefix = ''

    def format(self, time_ns: int) -> str:
        """Return a time in RFC 3339 form with milliseconds.

        Args:
          time_ns: Nanoseconds since the Unix epoch.
        """
        second, rest_ns = divmod(time_ns, _NS_PER_S)
        # The text of the current second is cached, which saves about one
        # microsecond for each line.
        if second != self.second:
            self.second = second
            self.prefix = time.strftime(
                '%Y-%m-%dT%H:%M:%S.',
                time.gmtime(second),
            )
        fraction = str(rest_ns // _NS_PER_MS).zfill(3)
        return f'{self.prefix}{fraction}Z'


class LineFormatter(logging.Formatter):
    """Formatter of decision lines and of `logging` records."""

    def __init__(self, node: str) -> None:
        """Create a formatter for the lines of one node."""
        super().__init__()
        self.node = node
        self.timestamps = UtcFormatter()
        self.encoder = msgspec.json.Encoder(enc_hook=self._encode_field)

    def encode(
        self,
        level: str,
        event: str,
        fields: dict[str, typing.Any],
        time_ns: int,
    ) -> bytes:
        """Return one line without its line end.

        Args:
          level: Lower-case name of the level.
          event: Value of the `event` field.
          fields: Further fields; the four common names are reserved.
          time_ns: Nanoseconds since the Unix epoch.
        """
        common = {
            'timestamp': self.timestamps.format(time_ns),
            'level': level,
            'node': self.node,
            'event': event,
        }
        try:
            # The first operand sets the order of the common fields; the last
            # one keeps `fields` from replacing their values.
            return self.encoder.encode(common | fields | common)
        except _ENCODING_ERRORS:
            common['unencodable'] = ascii(fields)
            return self.encoder.encode(common)

    def format(self, record: logging.LogRecord) -> str:
        """Return a `logging` record as one line of event `message`."""
        fields = {
            'logger': record.name,
            'message': record.getMessage(),
        }
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return self.encode(
            record.levelname.lower(),
            'message',
            fields,
            int(record.created * _NS_PER_S),
        ).decode()

    def _encode_field(self, field: typing.Any) -> typing.Any:
        """Return a field of a type that JSON does not have."""
        if isinstance(field, history.EraNumber):
            return field.text
        # Fields of other types are rare. The library is loaded for the first
        # one, because a restarted process must serve requests soon.
        library = importlib.import_module('pythonjsonlogger.msgspec')
        return library.msgspec_default(field)


class LineBuffer:
    """Buffer of log lines for a file descriptor.

    Attributes:
      lost: Lines dropped since the destination stopped accepting writes.
      failing: Whether the last write failed. If so, only the timer and
        explicit calls of `flush` write again.
    """

    def __init__(
        self,
        fd: int,
        loop: poller.Poller | None,
        flush_ms: int,
        format_lost_line: typing.Callable[[int], bytes],
    ) -> None:
        """Create an empty buffer.

        Args:
          fd: File descriptor to write to.
          loop: Poller whose timer flushes the buffer, or None.
          flush_ms: Longest time in milliseconds that a line is buffered.
          format_lost_line: Formats the line that reports a number of lost lines.
        """
        self.fd = fd
        self.loop = loop
        self.flush_ms = flush_ms
        self.lines: list[bytes] = []
        self.size = 0
        self.lost = 0
        self.failing = False
        self.scheduled = False
        self.format_lost_line = format_lost_line

    def append(self, line: bytes) -> None:
        """Add one line without its line end."""
        if self.size > _MAX_BUFFERED_BYTES:
            self.lost += 1
            return
        self.lines.append(line)
        self.size += len(line) + 1
        if self.size >= _FLUSH_BYTES and not self.failing:
            self.flush()
        elif not self.scheduled:
            self._schedule()

    def flush(self) -> None:
        """Write all lines; lines that cannot be written stay buffered."""
        if self.lost and self.size <= _MAX_BUFFERED_BYTES:
            self._report_lost()
        chunk = b'\n'.join((*self.lines, b''))
        written = 0
        try:
            while written < len(chunk):
                written += os.write(self.fd, chunk[written:])
        except OSError:
            self.failing = True
        else:
            self.failing = False
        rest = chunk[written:]
        # The next flush adds the line end of the last line again.
        self.lines = [rest[:-1]] if rest else []
        self.size = len(rest)
        if self.lost and not rest:
            self.flush()

    def _report_lost(self) -> None:
        line = self.format_lost_line(self.lost)
        self.lost = 0
        self.lines.append(line)
        self.size += len(line) + 1

    def _schedule(self) -> None:
        if self.loop is not None:
            self.scheduled = True
            self.loop.call_later(self.flush_ms, self._on_timer)

    def _on_timer(self) -> None:
        self.scheduled = False
        self.flush()
        if self.lines:
            self._schedule()


class DecisionLog:
    """Log of one process."""

    def __init__(
        self,
        node: str,
        config: Output,
        loop: poller.Poller | None = None,
    ) -> None:
        """Open the destination.

        Args:
          node: Name of this proxy, part of every line.
          config: Level, destination and flush time.
          loop: Poller whose timer flushes the buffer; without one, lines
            are written when the buffer is full or on `flush`.

        Raises:
          OSError: If the file cannot be opened.
        """
        fd = _STDOUT_FD
        if config.destination != STDOUT:
            # In append mode, lines stay intact when the file is rotated by
            # copying and truncating it.
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            fd = os.open(config.destination, flags, _FILE_MODE)
        self.level = logging.getLevelNamesMapping()[config.level.upper()]
        self.enabled = self.level <= logging.INFO
        self.formatter = LineFormatter(node)
        self.buffer = LineBuffer(
            fd,
            loop,
            config.flush_ms,
            self._format_lost_line,
        )
        self.handler = BufferHandler(self)
        # Also runs if an unhandled exception ends the process.
        atexit.register(self.flush)

    def write(self, line: messages.DecisionLine) -> None:
        """Add one decision line at level `info`."""
        if self.enabled:
            self.buffer.append(
                self.formatter.encode(
                    'info',
                    line.event,
                    line.fields,
                    time.time_ns(),
                ),
            )

    def flush(self) -> None:
        """Write all buffered lines now."""
        self.buffer.flush()

    def close(self) -> None:
        """Write all lines and close the file; stdout stays open."""
        self.flush()
        atexit.unregister(self.flush)
        if self.buffer.fd not in {_STDOUT_FD, -1}:
            os.close(self.buffer.fd)
            self.buffer.fd = -1

    def _format_lost_line(self, lost: int) -> bytes:
        return self.formatter.encode(
            'error',
            'log_lines_lost',
            {'lines': lost},
            time.time_ns(),
        )


class BufferHandler(logging.Handler):
    """Handler that adds `logging` records to the decision log."""

    def __init__(self, log: DecisionLog) -> None:
        """Create a handler with the level and the formatter of a log."""
        super().__init__(log.level)
        self.log = log
        self.setFormatter(log.formatter)

    def emit(self, record: logging.LogRecord) -> None:
        """Add one record; a record of an error flushes the buffer."""
        try:
            line = self.format(record).encode()
        except Exception:
            self.handleError(record)
            return
        self.log.buffer.append(line)
        if record.levelno >= logging.ERROR:
            self.log.flush()
