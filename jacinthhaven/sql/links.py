"""Links: pooled connections to instances and the commands sent on them.

A link executes one work item at a time: a client statement or a control
command. Session settings and prepared statements are set up on the link
before the client's statement, and a transaction keeps its link from its
first to its last statement.
"""

import collections
import hashlib
import typing

from jacinthhaven.limits import kept_texts
from jacinthhaven.sql import (
    commands,
    leadership,
    records,
    sessions,
    statements,
)

# Prepared statements on a link above which it is reset.
_MAX_PREPARED = 64
# Digest size of the names of prepared statements.
_NAME_BYTES = 6


class Link:
    """Pooled connection to an instance.

    Attributes:
      number: Number of the connection within the process.
      instance: Name of the instance.
      borrowed: Whether the connection runs through another node.
      customer: Name of the customer that the instance was told, or ''. Only
        statements of this customer may run on it.
      ready: Whether the connection is open and the instance accepted it.
      settings: Session settings in effect on it, long texts as digests.
      prepared: Names of the statements that are prepared on it.
      steps: Commands that are still to be sent.
      in_flight: Command whose reply is awaited.
      work: Statement or control command that the steps belong to, if any.
      pinned: Session whose transaction holds the link, or the loan to
        another node, if any.
      sent_ms: Time at which the command in flight, or the request to open
        the connection, was sent.
      lead: Lead that was known when the command in flight was sent.
      overtaken_ms: When the instance first answered a statement that was sent
        after the command in flight, or None.
      reply_lost: Whether the reply to the command in flight is presumed lost.
      idle_since_ms: Time since which the link is free.
    """

    __slots__ = (
        'number',
        'instance',
        'borrowed',
        'customer',
        'ready',
        'settings',
        'prepared',
        'steps',
        'in_flight',
        'work',
        'pinned',
        'sent_ms',
        'lead',
        'overtaken_ms',
        'reply_lost',
        'idle_since_ms',
    )

    def __init__(
        self,
        number: int,
        instance: str,
        now_ms: int,
        *,
        borrowed: bool = False,
        customer: str = '',
    ) -> None:
        """Create a link whose connection is being opened."""
        self.customer = customer
        self.number = number
        self.instance = instance
        self.borrowed = borrowed
        self.ready = False
        self.settings: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.steps: collections.deque[commands.Command] = collections.deque()
        self.in_flight: commands.Command | None = None
        self.work: typing.Any = None
        self.pinned: typing.Any = None
        self.sent_ms = now_ms
        self.lead: leadership.Lead | None = None
        self.overtaken_ms: int | None = None
        self.reply_lost = False
        self.idle_since_ms = now_ms

    def mark_sent(
        self, now_ms: int, lead: leadership.Lead | None = None
    ) -> None:
        """Record that a command was sent while a lead was known."""
        self.sent_ms = now_ms
        self.lead = lead
        self.overtaken_ms = None
        self.reply_lost = False

    def overtaken_for(self, now_ms: int) -> int:
        """Return for how long the instance has certainly executed it.

        Returns:
          Milliseconds since a later statement was answered; 0 if none was.
        """
        return 0 if self.overtaken_ms is None else now_ms - self.overtaken_ms

    @property
    def waiting(self) -> bool:
        """Return whether a reply or the opening is awaited."""
        return self.in_flight is not None or not self.ready

    @property
    def unused(self) -> bool:
        """Return whether no statement, transaction or loan uses the link."""
        return self.work is None and self.pinned is None

    @property
    def free(self) -> bool:
        """Return whether the link can execute new work."""
        return self.ready and self.in_flight is None and self.pinned is None


def prepared_name(prepared: statements.Prepared) -> str:
    """Return the name under which a statement is prepared on every link.

    The name is a digest of the statement, so that sessions that prepare the
    same statement share it.
    """
    digest = hashlib.blake2b(
        f'{prepared.writes}\0{prepared.shape}'.encode(),
        digest_size=_NAME_BYTES,
    )
    return f'p{digest.hexdigest()}'


def setup_steps(
    link: Link,
    session: sessions.Session,
    statement: statements.Statement,
) -> list[commands.Command]:
    """Return the commands that set a link up for a session's statement."""
    steps: list[commands.Command] = []
    wanted = {
        kept_texts.shortened(name): kept_texts.shortened(text)
        for name, text in session.settings.items()
    }
    mismatched = any(
        wanted.get(name) != text for name, text in link.settings.items()
    )
    prepared = session.prepared.get(statement.name)
    if statement.verb is not statements.Verb.EXECUTE:
        prepared = None
    if mismatched or len(link.prepared) > _MAX_PREPARED:
        steps.append(commands.Reset())
    current = {} if steps else link.settings
    steps.extend(
        commands.SetValue(name, text)
        for name, text in session.settings.items()
        if current.get(kept_texts.shortened(name)) != kept_texts.shortened(text)
    )
    if prepared is not None:
        name = prepared_name(prepared)
        if name not in link.prepared or mismatched:
            steps.append(commands.Prepare(name, prepared))
    return steps


def record_setup(link: Link, command: commands.Command) -> None:
    """Record the effect of a setup command that has succeeded."""
    match command:
        case commands.Begin():
            if link.pinned:
                link.pinned.transaction.begun = True
        case commands.Reset():
            link.settings.clear()
            link.prepared.clear()
        case commands.SetValue(name=name, text=text):
            short_name = kept_texts.shortened(name)
            link.settings[short_name] = kept_texts.shortened(text)
        case commands.Prepare(name=name):
            link.prepared.add(name)


def run_command(
    session: sessions.Session,
    statement: statements.Statement,
    after: records.Position | None,
) -> commands.Run:
    """Return the command that executes a client's statement."""
    if statement.verb is statements.Verb.EXECUTE:
        prepared = session.prepared[statement.name]
        return commands.Run(statement, after, prepared_name(prepared))
    return commands.Run(statement, after)
