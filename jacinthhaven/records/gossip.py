"""Records that proxies exchange to spread directory, policy and liveness."""

import msgspec

# Ages are rounded up on every hop, so coarse units make them expire early.
AGE_UNIT_MS = 250
NO_PROOF = -1
NO_BASE = -1


class Entry(msgspec.Struct, frozen=True):
    """One key of the directory, or the fact that it was deleted.

    Attributes:
      key: Name of the key in the store, or `leaving/<instance>`.
      value: Stored document; empty for a deletion.
      revision: Revision of the last change or of the deletion. Keys under
        `leaving/` count their changes on their own.
      created: Revision that created the key.
      deleted: Whether the key is deleted.
    """

    key: str
    value: str
    revision: int
    created: int = 0
    deleted: bool = False


class Exchange(msgspec.Struct, omit_defaults=True):
    """One message of an exchange between two members.

    An exchange consists of a question, its answer and, if the answering
    member has something to learn, a closing message. The receiver of an
    echoed number counts ages from when it sent that number, because it
    cannot know how long a message was on its way.

    Attributes:
      number: Number for the receiver to echo; 0 if no answer is wanted.
      echo: Number that this message answers; 0 in a question.
      complete: Store revision up to which the sender knows all changes.
      proof_age_ms: Age of the proof that no accepted configuration is
        newer than `complete`; -1 for none.
      base: If not -1, `entries` contain every change after this revision
        up to `complete`.
      full: Whether keys missing in `entries` are deleted.
      flags_hash: Hash of the leaving flags that the sender knows.
      members_hash: Hash of the member names; bitmaps are only valid
        between members with the same hash.
      policy_revision: Policy revision in force at the sender.
      acked_hash: Hash of the acknowledgements that the sender knows.
      acked_revision: Policy revision that `acked` belongs to.
      acked: Bitmap over the sorted member names: which members have
        confirmed at least `acked_revision`; empty if not included.
      wants_ages_ms: How long the sender needs `ages` in answers; 0 if it
        does not. A receiver wants them too for a shorter time.
      live_hash: Hash of all keys that exist; equal between members with
        the same `complete`.
      ages: Time since each sorted member was heard, one byte per member in
        units of `AGE_UNIT_MS`, rounded up, 255 for longer times; empty if
        not included.
      entries: Changed keys.
    """

    number: int = 0
    echo: int = 0
    complete: int = 0
    proof_age_ms: int = NO_PROOF
    base: int = NO_BASE
    full: bool = False
    flags_hash: int = 0
    members_hash: int = 0
    policy_revision: int = 0
    acked_hash: int = 0
    acked_revision: int = 0
    acked: bytes = b''
    wants_ages_ms: int = 0
    live_hash: int = 0
    ages: bytes = b''
    entries: tuple[Entry, ...] = ()
