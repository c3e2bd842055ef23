"""Links: pooled connections to instances and the steps run on them.

A link carries one work item at a time. Session values and prepared
statements are applied before a client's statement, and a transaction keeps
its link from its first to its last statement.
"""

import collections
import hashlib
import typing

from jacinthhaven.sql import commands, records, sessions, statements

# Prepared statements kept on a link before it is reset.
_MAX_PREPARED = 64
_NAME_BYTES = 6


class Link:
    """One connection to an instance.

    Attributes:
      number: Number of the connection within the process.
      instance: Name of the instance.
      borrowed: Whether another node lends it.
      ready: Whether the connection is open and accepted.
      settings: Session values that are set on it.
      prepared: Names of the statements that are prepared on it.
      steps: Commands that are still to be sent.
      sent: Command whose reply is awaited.
      work: What the steps are for, if anything.
      pinned: Session whose transaction holds the link, or its loan.
      sent_ms: When the current command was sent.
      idle_ms: Since when the link is free.
    """

    __slots__ = (
        'number',
        'instance',
        'borrowed',
        'ready',
        'settings',
        'prepared',
        'steps',
        'sent',
        'work',
        'pinned',
        'sent_ms',
        'idle_ms',
    )

    def __init__(
        self,
        number: int,
        instance: str,
        now_ms: int,
        *,
        borrowed: bool = False,
    ) -> None:
        """Describe a connection that is being opened."""
        self.number = number
        self.instance = instance
        self.borrowed = borrowed
        self.ready = False
        self.settings: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.steps: collections.deque[commands.Command] = collections.deque()
        self.sent: commands.Command | None = None
        self.work: typing.Any = None
        self.pinned: typing.Any = None
        self.sent_ms = now_ms
        self.idle_ms = now_ms

    @property
    def waiting(self) -> bool:
        """Return whether something of the instance is awaited."""
        return self.sent is not None or not self.ready

    @property
    def unused(self) -> bool:
        """Return whether no statement and no transaction needs the link."""
        return self.work is None and self.pinned is None

    @property
    def free(self) -> bool:
        """Return whether the link can take new work."""
        return self.ready and self.sent is None and self.pinned is None


def prepared_name(prepared: statements.Prepared) -> str:
    """Return the name under which a statement is prepared on every link."""
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
    """Return the commands that make a link fit for a session's statement."""
    steps: list[commands.Command] = []
    stale = any(
        session.settings.get(name) != text
        for name, text in link.settings.items()
    )
    prepared = session.prepared.get(statement.name)
    if statement.verb is not statements.Verb.EXECUTE:
        prepared = None
    if stale or len(link.prepared) > _MAX_PREPARED:
        steps.append(commands.Reset())
    known = {} if steps else link.settings
    steps.extend(
        commands.SetValue(name, text)
        for name, text in session.settings.items()
        if known.get(name) != text
    )
    if prepared is not None:
        name = prepared_name(prepared)
        if name not in link.prepared or stale:
            steps.append(commands.Prepare(name, prepared))
    return steps


def apply(link: Link, command: commands.Command) -> None:
    """Note the effect of a setup command that has succeeded."""
    match command:
        case commands.Reset():
            link.settings.clear()
            link.prepared.clear()
        case commands.SetValue(name=name, text=text):
            link.settings[name] = text
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
