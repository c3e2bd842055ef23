"""Configuration of the operator and registry of instances in the store."""

import abc
import typing

from jacinthhaven.records import store
from jacinthhaven.sql import ports, records

Entries = typing.Sequence[store.KeyValue]


class Documents(abc.ABC):
    """Keys and formats of the entries in the store.

    Attributes:
      configuration_key: Key of the operator's configuration.
      own_prefix: Prefix of the keys of this product.
      watched_prefix: Prefix of both.
      registry_prefix: Prefix of the registry entries of instances.
      member_prefix: Prefix of the keys of the nodes, which is not watched.
    """

    configuration_key: str
    own_prefix: str
    watched_prefix: str
    registry_prefix: str
    member_prefix: str

    @abc.abstractmethod
    def configuration(self, text: str) -> records.Configuration | str:
        """Return the decoded configuration, or why it cannot be used."""

    @abc.abstractmethod
    def instances(
        self,
        entries: Entries,
        on_unusable: typing.Callable[[str, str], None],
    ) -> list[records.Instance]:
        """Return the usable instances.

        Args:
          entries: Registry entries.
          on_unusable: Gets the key of each other entry, and the reason.
        """


class Registry:
    """Instances that the registry lists; each change is logged.

    Attributes:
      instances: Listed instances by name.
      unusable: Why entries cannot be used, by key.
    """

    __slots__ = ('documents', 'journal', 'instances', 'unusable')

    def __init__(self, documents: Documents, journal: ports.Journal) -> None:
        """Start without instances."""
        self.documents = documents
        self.journal = journal
        self.instances: dict[str, records.Instance] = {}
        self.unusable: dict[str, str] = {}

    def read(self, entries: Entries) -> list[records.Instance]:
        """Return the usable instances of a complete read of the registry."""
        unusable: dict[str, str] = {}
        found = self.documents.instances(entries, unusable.__setitem__)
        for key, reason in unusable.items():
            if key not in self.unusable:
                self.journal.write(
                    'registry_entry_unusable',
                    {'key': key, 'reason': reason},
                )
        self.unusable = unusable
        listed = {entry.name: self._newest(entry) for entry in found}
        for name in sorted(listed.keys() | self.instances.keys()):
            self._log_change(self.instances.get(name), listed.get(name))
        self.instances = listed
        return list(listed.values())

    def _newest(self, entry: records.Instance) -> records.Instance:
        """Return the newest known report of an instance.

        A read that may be stale and a restored store have older ones.
        """
        known = self.instances.get(entry.name)
        if known is not None and known.reported > entry.reported:
            return known
        return entry

    def _log_change(
        self,
        known: records.Instance | None,
        entry: records.Instance | None,
    ) -> None:
        if entry == known:
            return
        described = entry or known
        self.journal.write(
            'instance_listed',
            {
                'service': described.service,
                'instance': described.name,
                'present': entry is not None,
                'leaving': described.leaving,
                'claims_primary': described.claims_primary,
            },
        )
