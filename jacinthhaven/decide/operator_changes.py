"""Requests of operators and the progress of each change."""

import dataclasses
import typing

import msgspec

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import policy_rules, store_calls
from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import operators, presets, store


@dataclasses.dataclass(slots=True)
class ChangeRequest:
    """Request from the operator endpoint: change a document.

    Attributes:
      number: Number of the request.
      body: Parsed request; its change id is not empty.
    """

    number: int
    body: operators.PresetSwitch | operators.ConfigApply


@dataclasses.dataclass(slots=True)
class ChangeAnswer:
    """Final answer to the operator endpoint."""

    number: int
    result: operators.ChangeResult
    failure: failures.Failure | None = None


@dataclasses.dataclass(slots=True)
class Documents:
    """Configuration and preset choice as the store holds them.

    Attributes:
      revisions: Revision of each key; 0 if it does not exist.
      texts: Text of each key; empty if it does not exist.
    """

    revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    texts: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return the revision of the newer document."""
        return max(self.revisions.values(), default=0)


class Change:
    """Progress of one change.

    Attributes:
      key: Store key that the change writes.
      documents: Documents read so far; both are needed before the write.
      write_sent: Whether a write was sent.
      reply_lost: Whether the reply to a write was lost.
      accepted_ms: When this node learned that the write took effect.
      revision: Revision that the write created.
      probed: When each silent member was first probed after its last proof
        must have expired.
    """

    __slots__ = (
        'request',
        'key',
        'started_ms',
        'pending',
        'backoff',
        'documents',
        'write_sent',
        'reply_lost',
        'accepted_ms',
        'revision',
        'next_probe_ms',
        'probed',
    )

    def __init__(
        self,
        request: ChangeRequest,
        numbers: typing.Iterator[int],
        delay: backoff.Backoff,
        now_ms: int,
    ) -> None:
        """Start a change.

        Args:
          request: Request of the operator.
          numbers: Source of call numbers, shared within the process.
          delay: Delay between calls after failures.
          now_ms: Current time.
        """
        self.request = request
        self.key = directories.CONFIG
        if isinstance(request.body, operators.PresetSwitch):
            self.key = directories.PRESET
        self.started_ms = now_ms
        self.pending = store_calls.PendingCall(numbers)
        self.backoff = delay
        self.documents = Documents()
        self.write_sent = False
        self.reply_lost = False
        self.accepted_ms: int | None = None
        self.revision = 0
        self.next_probe_ms = 0
        self.probed: dict[str, int] = {}

    @property
    def has_policy(self) -> bool:
        """Return whether a preset is chosen, which members can confirm."""
        chosen = self.documents.texts.get(directories.PRESET)
        return bool(chosen) or self.key == directories.PRESET

    def answer(
        self,
        failure: failures.Failure,
        problems: policy_rules.Problems | None = None,
    ) -> ChangeAnswer:
        """Return an answer that reports a failure."""
        result = operators.ChangeResult(
            outcome=failure.outcome.value,
            change_id=self.request.body.change_id,
            revision=self.documents.revision,
            error=failure.kind.code,
            detail=failure.reason,
            problems=tuple(problems or ()),
        )
        return ChangeAnswer(self.request.number, result, failure)

    def next_read(self) -> store.ReadRequest | None:
        """Return the request for the next document to read, or None."""
        for key in (directories.CONFIG, directories.PRESET):
            if key not in self.documents.revisions:
                return store.ReadRequest(key)
        return None

    def record_read(self, key: str, reply: store.ReadReply) -> None:
        """Record the document that a read returned."""
        self.documents.revisions[key] = 0
        self.documents.texts[key] = ''
        for entry in reply.entries:
            if entry.key == key:
                self.documents.revisions[key] = entry.mod_revision
                self.documents.texts[key] = entry.value

    def updated_texts(self) -> dict[str, str]:
        """Return both documents as they are after the change."""
        body = self.request.body
        texts = dict(self.documents.texts)
        document: presets.Configuration | presets.PresetChoice
        if isinstance(body, operators.PresetSwitch):
            document = presets.PresetChoice(
                change_id=body.change_id,
                name=body.name,
            )
        else:
            document = presets.Configuration(
                change_id=body.change_id,
                presets=body.presets,
            )
        texts[self.key] = msgspec.json.encode(document).decode()
        return texts

    def swap(self, texts: dict[str, str]) -> store.SwapRequest:
        """Return a write that succeeds only if neither document changed."""
        compares = [
            store.Compare(key, revision)
            for key, revision in self.documents.revisions.items()
        ]
        put = store.Put(self.key, texts[self.key])
        return store.SwapRequest(tuple(compares), (put,))

    def is_written(self) -> bool:
        """Return whether the stored document is the one of this change."""
        record = presets.Configuration
        if self.key == directories.PRESET:
            record = presets.PresetChoice
        document = policy_rules.decode(self.documents.texts[self.key], record)
        if isinstance(document, operators.Problem):
            return False
        return document.change_id == self.request.body.change_id
