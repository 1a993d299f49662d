"""Instance ids that restarted servers report before the platform lists them."""

from sassafraswinch_sidecar.instances import Instance, InstanceIdentity

REPORTED_ID_LIFE_MS = 6_000.0
"""Time for which the instance id that a server reports replaces the one that the
platform lists at its address: registrations of exited servers expire within it."""


class ReportedInstanceIds:
    """Current ids of restarted servers, so that requests can be addressed to them.

    Failure: after a power failure all servers have new ids. The platform lists the old
    ids for some seconds, in which every request would be refused.
    """

    def __init__(self):
        self._actual_ids: dict[InstanceIdentity, tuple[str, float]] = {}

    def record_id(self, instance: Instance, actual_id: str, now_ms: float) -> None:
        """Record the id that the server at an instance's address reported."""
        self._actual_ids[instance.identity] = (actual_id, now_ms)

    def actual_id(self, instance: Instance, now_ms: float) -> str:
        """Return the id that the server at an instance's address answers to."""
        reported = self._actual_ids.get(instance.identity)
        if reported is None:
            return instance.id
        actual_id, reported_ms = reported
        if now_ms - reported_ms <= REPORTED_ID_LIFE_MS:
            return actual_id
        del self._actual_ids[instance.identity]
        return instance.id
