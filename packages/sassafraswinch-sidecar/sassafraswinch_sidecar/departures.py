"""Which backend servers have left, whatever a restored store lists."""

from dataclasses import dataclass

from sassafraswinch_sidecar.instances import Instance, InstanceIdentity
from sassafraswinch_sidecar.revisions import Revision

MAX_DEPARTURES = 4_096
"""Lifetimes that are remembered. Several days of replacements at 560 hosts."""

REGISTRATION_EXPIRY_MS = 8_000.0
"""Time after which a restored store no longer lists servers that don't write: their
entries live for several heartbeats."""


@dataclass(slots=True, kw_only=True)
class _Departure:
    """The end of one lifetime.

    Attributes:
        revision: change by which it was told.
        is_final: whether the server itself said that it leaves.
        listed: the instance as a store of a later era listed it, if one did.
        listed_revision: change by which it was listed.
        listed_ms: when that was.
    """

    revision: Revision
    is_final: bool
    listed: Instance | None = None
    listed_revision: Revision | None = None
    listed_ms: float = 0.0


class Departures:
    """Tells entries of an older copy of the store from a server's own word.

    A store that came back from an older copy lists servers as ready that have left
    since. One that said that it leaves never comes back in the same lifetime. One
    whose entry was only removed may live: it does if it has written since, or is
    listed for longer than the entry of a dead one would be.
    """

    def __init__(self):
        self._known: dict[InstanceIdentity, _Departure] = {}

    def record_departure(self, instance: Instance, revision: Revision) -> None:
        """Note that an instance leaves, or that its entry was removed."""
        known = self._known.get(instance.identity)
        if known is not None and known.is_final:
            return
        # While it is doubted it counts as leaving, which it didn't say.
        is_final = instance.leaving and known is None
        self._known[instance.identity] = _Departure(
            revision=revision, is_final=is_final
        )
        if len(self._known) > MAX_DEPARTURES:
            del self._known[next(iter(self._known))]

    def discard_departure(self, instance: Instance) -> None:
        """Take an instance for one that hasn't left."""
        self._known.pop(instance.identity, None)

    def accept_registration(
        self, instance: Instance, revision: Revision, now_ms: float
    ) -> bool:
        """Decide whether an entry is to be believed; forget the departure if it is."""
        departure = self._known.get(instance.identity)
        if departure is None:
            return True
        if revision.era > departure.revision.era:
            if departure.is_final:
                return False
            if not _is_written_since(departure, revision):
                departure.listed = instance
                departure.listed_revision = revision
                departure.listed_ms = now_ms
                return False
        self.discard_departure(instance)
        return True

    def pop_returned(self, now_ms: float) -> list[Instance]:
        """Return instances that are listed for longer than dead ones would be."""
        returned = [
            departure.listed
            for departure in self._known.values()
            if departure.listed is not None
            and now_ms - departure.listed_ms >= REGISTRATION_EXPIRY_MS
        ]
        for instance in returned:
            self.discard_departure(instance)
        return returned


def _is_written_since(departure: _Departure, revision: Revision) -> bool:
    """Return whether an entry can't come from a copy that is older than a departure."""
    if departure.listed_revision is not None:
        return revision > departure.listed_revision
    return revision.number > departure.revision.number
