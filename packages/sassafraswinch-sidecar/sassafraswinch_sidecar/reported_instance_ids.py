"""Instance ids that servers tell themselves, before the platform knows them."""

from sassafraswinch_sidecar.instances import Instance, InstanceIdentity

SUBSTITUTE_MS = 6_000.0
"""Time in which an instance id that a server told stands in for the one that the
platform names at its address: entries of ended servers expire within it."""


class Substitutes:
    """Asks restarted servers by their new ids.

    Failure: after a loss of power all servers have new ids, and the platform tells the
    old ones for seconds, in which every request is refused.
    """

    def __init__(self):
        self._actual_ids: dict[InstanceIdentity, tuple[str, float]] = {}

    def note(self, instance: Instance, actual_id: str, now_ms: float) -> None:
        """Take in the id of the server at an instance's address."""
        self._actual_ids[instance.identity] = (actual_id, now_ms)

    def actual_id(self, instance: Instance, now_ms: float) -> str:
        """Return the id by which the server at an instance's address answers."""
        told = self._actual_ids.get(instance.identity)
        if told is None:
            return instance.id
        actual_id, told_ms = told
        if now_ms - told_ms <= SUBSTITUTE_MS:
            return actual_id
        del self._actual_ids[instance.identity]
        return instance.id
