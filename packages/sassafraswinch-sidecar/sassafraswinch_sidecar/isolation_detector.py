"""Detection of hosts that are isolated from the platform."""

import asyncio
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.platform_ports import (
    PlatformStore,
    PlatformUnavailableError,
)

LOOKUP_TIMEOUT_S = 0.7
"""Time limit of a lookup. The platform replies within milliseconds, and takes sixty
times as long when it is slow."""

UNANSWERED_PAUSE_S = 0.4
"""Pause between lookups while the platform doesn't reply. Its return must be noticed
well before the end of the time in which registrations may come back."""

ANSWERED_PAUSE_S = 3.0
"""Pause after a reply: the registration is gone, most likely for good, and each call to
the platform is billed. With the shorter pause, a server that left for good would cost
seven calls in three seconds instead of one."""

CHECK_PAUSE_S = 0.1
"""Pause between checks for a missing registration: the interval of the other periodic
checks."""


class IsolationDetector:
    """Checks whether the server's registration expired because this host is isolated.

    Load pattern: some hosts can't reach the platform for a while, and neither can the
    servers beside them. Their registrations expire, the other hosts receive the
    removals and send them to the isolated sidecars, and all servers of a service may be
    out of use although they are running and can be reached. If the platform doesn't
    reply to this host, the missing registration proves nothing. Any reply, a refusal
    included, means that the registration is gone: the server may be leaving.

    Args:
        find_missing: returns this host's instance if its registration is missing.
        store: store in which the registration is looked up.
        on_change: called when ``is_isolated`` changes.

    Attributes:
        is_isolated: whether the registration is missing and the platform doesn't reply.
    """

    def __init__(
        self,
        *,
        find_missing: Callable[[], Instance | None],
        store: PlatformStore,
        on_change: Callable[[], None],
    ):
        self.is_isolated = False
        self._find_missing = find_missing
        self._store = store
        self._on_change = on_change

    async def run(self) -> None:
        """Look up the registration whenever it is missing, until cancelled."""
        while True:
            instance = self._find_missing()
            if instance is None:
                self._set_isolated(False, "")
                await asyncio.sleep(CHECK_PAUSE_S)
                continue
            replies = await self._platform_replies(instance)
            self._set_isolated(not replies, instance.id)
            await self._pause(ANSWERED_PAUSE_S if replies else UNANSWERED_PAUSE_S)

    async def _pause(self, seconds: float) -> None:
        """Wait, but no longer than the registration is missing."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s and self._find_missing() is not None:
            await asyncio.sleep(CHECK_PAUSE_S)

    async def _platform_replies(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                await self._store.has_instance(instance.id)
        except TimeoutError:
            return False
        except PlatformUnavailableError as error:
            return error.answered
        return True

    def _set_isolated(self, is_isolated: bool, instance_id: str) -> None:
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        log_event(
            "platform_isolation",
            level="warning",
            isolated=is_isolated,
            instance=instance_id,
        )
        self._on_change()
