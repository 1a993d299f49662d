"""Record of departed backend servers, for checking the data of a restored store."""

from dataclasses import dataclass

from sassafraswinch_sidecar.instances import Instance, InstanceIdentity
from sassafraswinch_sidecar.revisions import Revision

MAX_DEPARTURES = 4_096
"""Lifetimes that are kept: several days of server replacements at 560 hosts."""

REGISTRATION_EXPIRY_MS = 8_000.0
"""Time after which a restored store no longer lists servers that have exited: their
registrations live for several heartbeats without renewal."""


@dataclass(slots=True, kw_only=True)
class _Departure:
    """End of one lifetime of a server.

    Attributes:
        revision: revision that recorded the departure.
        is_final: whether the server itself gave leave notice.
        listed: the instance as listed by a store of a later era, if any.
        listed_revision: revision that listed it.
        listed_ms: time at which it was listed.
    """

    revision: Revision
    is_final: bool
    listed: Instance | None = None
    listed_revision: Revision | None = None
    listed_ms: float = 0.0


class Departures:
    """Distinguishes stale registrations of a restored store from current ones.

    A store that was restored from an older copy lists servers as ready that have left
    since. A server that gave leave notice never comes back in the same lifetime. A
    server whose registration was only removed may be running: it is if it has written
    its registration since, or is listed for longer than an exited server's would be.
    """

    def __init__(self):
        self._departures: dict[InstanceIdentity, _Departure] = {}
        self._leave_notices: dict[InstanceIdentity, None] = {}

    def record_leave_notice(self, identity: InstanceIdentity) -> bool:
        """Record that a server itself stated in a response that it is leaving.

        No registration of this lifetime is accepted any more, in any era.

        Returns:
            Whether this is the first such notice.
        """
        if identity in self._leave_notices:
            return False
        self._leave_notices[identity] = None
        if len(self._leave_notices) > MAX_DEPARTURES:
            del self._leave_notices[next(iter(self._leave_notices))]
        return True

    def has_leave_notice(self, identity: InstanceIdentity) -> bool:
        """Return whether a server stated that it is leaving."""
        return identity in self._leave_notices

    def has_leave_notice_of_any_lifetime(self, instance_id: str) -> bool:
        """Return whether an instance stated in some lifetime that it is leaving."""
        return any(left_id == instance_id for left_id, _ in self._leave_notices)

    def record_departure(self, instance: Instance, revision: Revision) -> None:
        """Record that an instance leaves, or that its registration was removed."""
        known = self._departures.get(instance.identity)
        if known is not None and known.is_final:
            return
        # An instance under doubt is treated as leaving without having given notice.
        is_final = instance.leaving and known is None
        self._departures[instance.identity] = _Departure(
            revision=revision, is_final=is_final
        )
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def discard_departure(self, instance: Instance) -> None:
        """Discard the departure of an instance that turned out to be running."""
        self._departures.pop(instance.identity, None)

    def accept_registration(
        self, instance: Instance, revision: Revision, now_ms: float
    ) -> bool:
        """Return whether a registration is current; if so, discard the departure."""
        if instance.identity in self._leave_notices:
            return False
        departure = self._departures.get(instance.identity)
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
        """Remove and return instances listed for longer than exited ones would be."""
        returned = [
            departure.listed
            for departure in self._departures.values()
            if departure.listed is not None
            and departure.listed.identity not in self._leave_notices
            and now_ms - departure.listed_ms >= REGISTRATION_EXPIRY_MS
        ]
        for instance in returned:
            self.discard_departure(instance)
        return returned


def _is_written_since(departure: _Departure, revision: Revision) -> bool:
    """Return whether a registration was certainly written after a departure."""
    if departure.listed_revision is not None:
        return revision > departure.listed_revision
    return revision.number > departure.revision.number
