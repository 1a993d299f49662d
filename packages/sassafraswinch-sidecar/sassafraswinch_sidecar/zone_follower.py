"""Keeps this sidecar's part in following the platform for its zone up to date."""

import asyncio
from collections.abc import Callable, Mapping

from sassafraswinch_sidecar.zone_role import ZoneRole


class ZoneFollower:
    """Updates the role as soon as a peer's state, or the passing of time, changes it.

    Failure: the followers of all zones are cut from the platform. With decisions at
    intervals the next sidecars took over half a second later than they could.

    Args:
        role: the role that this sidecar fills.
        following_by_peer: returns the peers of the zone that can be relied on, and
            whether each follows the platform.
        on_active: called when this sidecar has to follow the platform.
    """

    def __init__(
        self,
        *,
        role: ZoneRole,
        following_by_peer: Callable[[], Mapping[str, bool]],
        on_active: Callable[[], None],
    ):
        self._role = role
        self._following_by_peer = following_by_peer
        self._on_active = on_active
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def update(self) -> None:
        """Update the role, and again when it becomes active by time."""
        self.close()
        self._role.update_role(self._following_by_peer(), self._loop.time() * 1000)
        if self._role.is_active:
            self._on_active()
        elif self._role.takeover_ms is not None:
            due_s = self._role.takeover_ms / 1000
            self._timer = self._loop.call_at(due_s, self.update)

    def close(self) -> None:
        """Cancel the update that is due by time."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
