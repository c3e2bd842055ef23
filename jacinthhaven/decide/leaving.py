"""Backend servers that are leaving and must not get new work.

A mark names one start (boot) of an instance and stays until the instance
shows another boot. The VM list lags behind, so neither its absence nor an
entry that it drops clears a mark, and an entry that it keeps after a
restart does not mark the new boot.
"""

import typing

import msgspec

from jacinthhaven.records import backend, presets

# Late gossip may name an earlier boot; this many are remembered for each
# instance to recognise it.
KNOWN_BOOTS = 8

UNKNOWN_BOOT = ''


class LeavingMark(msgspec.Struct, frozen=True):
    """Notice between peers that one start of an instance is leaving."""

    instance: str
    boot: str


class LeavingServers:
    """Leaving marks of the instances of all groups.

    Attributes:
      boots: Boots known for each instance; the last one was shown last.
      marks: Boots that are leaving, by instance; the unknown boot stands
        for the next one that the instance shows.
      listed: Instances that the VM list names as leaving.
      fresh: Marks that were not returned by `take_fresh` yet.
    """

    def __init__(self) -> None:
        """Start without marks."""
        self.boots: dict[str, list[str]] = {}
        self.marks: dict[str, set[str]] = {}
        self.listed: frozenset[str] = frozenset()
        self.fresh: list[LeavingMark] = []

    def on_vm_list(self, leaving: typing.AbstractSet[str] | None) -> None:
        """Apply a VM list.

        Args:
          leaving: Instances listed as leaving; None if the list could not
            be read, which changes nothing.
        """
        if leaving is None:
            return
        for instance in sorted(leaving - self.listed):
            self._mark(instance, self._boot(instance))
        self.listed = frozenset(leaving)

    def on_status(self, status: backend.InstanceStatus) -> None:
        """Apply the boot and the leaving flag of a status response.

        A mark of another boot ends here. That boot counts as an earlier one
        from now on, so that peers that still repeat it are ignored.
        """
        instance = status.instance
        boot = status.boot
        marked = self.marks.pop(instance, set())
        known = self.boots.get(instance, [])
        earlier = [old for old in known if old != boot]
        earlier += sorted(marked - {boot, UNKNOWN_BOOT} - set(known))
        self.boots[instance] = [*earlier, boot][-KNOWN_BOOTS:]
        if boot in marked:
            self.marks[instance] = {boot}
        elif status.leaving or UNKNOWN_BOOT in marked:
            self._mark(instance, boot)

    def on_peer_mark(self, mark: LeavingMark) -> None:
        """Apply a mark from a peer.

        A boot that this node does not know is marked too, since the peer
        may have seen a restart first; the next status response decides.
        """
        earlier = self.boots.get(mark.instance, [])[:-1]
        if mark.boot != UNKNOWN_BOOT and mark.boot not in earlier:
            self._mark(mark.instance, mark.boot)

    def leaving(self) -> frozenset[str]:
        """Return the instances that are leaving."""
        return frozenset(self.marks)

    def without_new_work(self, preset: presets.Preset) -> frozenset[str]:
        """Return the leaving instances and those the preset excludes."""
        return self.leaving().union(preset.excluded_instances)

    def take_fresh(self) -> list[LeavingMark]:
        """Return the marks to send to peers since the last call.

        A mark of an unknown boot is returned once its boot is known, since
        a peer could not tell when such a mark ends.
        """
        fresh = self.fresh
        self.fresh = []
        return fresh

    def known_marks(self) -> list[LeavingMark]:
        """Return all marks with a known boot, for anti-entropy exchanges."""
        return [
            LeavingMark(instance, boot)
            for instance, boots in sorted(self.marks.items())
            for boot in sorted(boots - {UNKNOWN_BOOT})
        ]

    def _boot(self, instance: str) -> str:
        known = self.boots.get(instance)
        return known[-1] if known else UNKNOWN_BOOT

    def _mark(self, instance: str, boot: str) -> None:
        marked = self.marks.setdefault(instance, set())
        if boot in marked:
            return
        marked.add(boot)
        if boot != UNKNOWN_BOOT:
            self.fresh.append(LeavingMark(instance, boot))
