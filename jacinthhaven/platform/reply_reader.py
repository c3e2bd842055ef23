"""Decoder of the replies of instances."""

from jacinthhaven.platform import words
from jacinthhaven.sql import commands, records, statements

_STATUS_FIELDS = 3


class ReplyReader:
    """Assembles the reply to one command of an instance from its lines.

    Attributes:
      reply: Reply so far.
      wants_status: Whether the reply contains the status of the instance.
      missing: Number of answers that complete the reply; several if several
        commands were sent together.
    """

    __slots__ = ('reply', 'wants_status', 'missing')

    def __init__(self) -> None:
        """Start with an empty reply."""
        self.reply = statements.Reply()
        self.wants_status = False
        self.missing = 1

    def expect(self, command: commands.Command) -> None:
        """Prepare for the reply to a command that is being sent."""
        self.wants_status = isinstance(command, commands.STATUS_COMMANDS)
        self.missing = len(commands.steps_of(command))

    def feed(self, line: str) -> statements.Reply | None:
        """Add a line and return the reply if this line completes it.

        Raises:
          words.MalformedLineError: If the line is not part of a reply.
        """
        word, _, rest = line.partition(' ')
        reply = self.reply
        match word:
            case 'DATAROW':
                reply.rows = (*reply.rows, rest)
            case 'COMPLETE':
                reply.signature = rest
            case 'ERROR':
                self._fail(rest)
            case 'READY':
                return self._finish(rest)
            case _:
                raise words.MalformedLineError(line)
        return None

    def _fail(self, rest: str) -> None:
        if self.reply.code is not None:
            return
        word, _, detail = rest.partition(' ')
        self.reply.code = words.CODES.get(word, statements.Code.FAILED)
        self.reply.detail = detail

    def _finish(self, rest: str) -> statements.Reply | None:
        word, _, position = rest.partition(' ')
        reply = self.reply
        if word not in words.STATES:
            raise words.MalformedLineError(rest)
        reply.state = words.STATES[word]
        reply.position = decode_position(position)
        reply.succeeded += reply.code is None
        self.missing -= 1
        if self.missing > 0:
            return None
        if self.wants_status and reply.code is None and reply.rows:
            reply.status = _decode_status(reply.rows[0])
        self.reply = statements.Reply()
        self.missing = 1
        return reply


def decode_position(text: str) -> records.Position | None:
    """Decode a position field, or return None if it is empty.

    Raises:
      words.MalformedLineError: If the field is not a position.
    """
    if text in {'', words.NONE}:
        return None
    term, _, number = text.partition('.')
    try:
        return records.Position(int(term), int(number))
    except ValueError as error:
        raise words.MalformedLineError(text) from error


def _decode_status(row: str) -> records.InstanceStatus:
    # The fields after the received position are ignored: highest paused
    # term, lag, running statements and connections.
    fields = row.split(' ')[:_STATUS_FIELDS]
    try:
        role, term, received = fields
        return records.InstanceStatus(
            role == 'primary',
            int(term),
            decode_position(received),
        )
    except ValueError as error:
        raise words.MalformedLineError(row) from error
