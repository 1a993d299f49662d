"""Finds out why the platform no longer lists the backend server beside this sidecar."""

import asyncio
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.platform_reader import (
    PlatformStore,
    PlatformUnavailableError,
)

ASK_TIMEOUT_S = 0.7
"""Time for the platform's answer: it takes milliseconds, and sixty times that when the
platform is slow."""

ASK_PAUSE_S = 0.4
"""Pause between questions while the platform doesn't answer: its return must be known
well before the time is over in which the entry may come back."""

ANSWERED_PAUSE_S = 3.0
"""The same after an answer: the entry is gone, most likely for good, and each question
is paid for. A server that left for good costs a call each three seconds, not seven."""

LOOK_S = 0.1
"""Pause between looks for a missing entry: the grain of the other periodic looks."""


class OwnEntry:
    """Tells whether the server's entry is missing only since this host is cut off.

    Load pattern: some hosts can't reach the platform for a while, nor can the servers
    beside them. Their entries expire, the others hear of that and tell the sidecars
    that are cut off, and all servers of a service may be out of use while they live
    and can be reached. A host that gets no answer of the platform knows that the entry
    says nothing. One that gets an answer, also a refusal, takes the entry for gone: its
    server may be leaving.

    Args:
        missing: returns the instance of this host whose entry is missing, if any.
        store: is asked for the entry.
        changed: called when ``is_isolated`` changes.

    Attributes:
        is_isolated: whether the entry is missing and the platform doesn't answer.
    """

    def __init__(
        self,
        *,
        missing: Callable[[], Instance | None],
        store: PlatformStore,
        changed: Callable[[], None],
    ):
        self.is_isolated = False
        self._missing = missing
        self._store = store
        self._changed = changed

    async def run(self) -> None:
        """Ask whenever the entry is missing, until cancelled."""
        while True:
            instance = self._missing()
            if instance is None:
                self._note(False, "")
                await asyncio.sleep(LOOK_S)
                continue
            answers = await self._answers(instance)
            self._note(not answers, instance.id)
            await self._pause(ANSWERED_PAUSE_S if answers else ASK_PAUSE_S)

    async def _pause(self, seconds: float) -> None:
        """Wait, but no longer than the entry is missing."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        while loop.time() < ends_s and self._missing() is not None:
            await asyncio.sleep(LOOK_S)

    async def _answers(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await self._store.lists(instance.id)
        except TimeoutError:
            return False
        except PlatformUnavailableError as error:
            return error.answered
        return True

    def _note(self, is_isolated: bool, instance_id: str) -> None:
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        log_event(
            "platform_isolation",
            level="warning",
            isolated=is_isolated,
            instance=instance_id,
        )
        self._changed()
