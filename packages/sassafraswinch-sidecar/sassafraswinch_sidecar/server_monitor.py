"""What is known of the backend server beside this sidecar: up or down, and its id."""

import asyncio
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.http_client import HttpClient, Probe

PROBE_S = 0.4
"""Pause between attempts to connect to a backend server that is down."""

LOOK_S = 0.15
"""Longest look for the reason of a broken connection. On the same host the answer
takes less than a millisecond; the rest is for a busy event loop, and callers wait."""

SILENT_MS = 1_500.0
"""Time without any answer, while requests run, from which a server may be dead; at
least so many times the mean of ``SILENT_HOLDS``."""

SILENT_HOLDS = 8.0
"""Times the mean time of a request: some take five times as long as the mean."""

FRESH_START_MS = 8_000.0
"""Time after the start of this process in which the instance id that the server tells
is trusted before the platform knows it. The settings were read at the start, so the
server beside it is still of the service that they name; later its address may have
gone to another service, whose requests it must not run."""


INSTANCE_WORD_MS = 1_000.0
"""Time in which the server's last word on its id lets requests for other instances be
refused unsent. Another instance may start at the address while nothing is under way;
one refusal of the server a second finds it out."""


class BackendWatch:
    """Finds out from requests whether the server lives, and which instance it is.

    No health check is sent: it would take a slot, and may lie. While the server is
    down, connections are tried until one is made.

    Args:
        client: connections to the server.
        service: its service, for the log.
        went_down: called when the server is found to be down.
        looked: called after a look, with whether the server's process has ended.

    Attributes:
        up: whether requests may be sent to the server.
        ended: whether its process has ended, and no other runs in its place yet.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        service: str,
        went_down: Callable[[], None],
        looked: Callable[[bool], None],
    ):
        self.up = True
        self.ended = False
        self._looked = looked
        self._looking: asyncio.Task | None = None
        self._client = client
        self._service = service
        self._went_down = went_down
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._answered_ms = 0.0
        self._instance_id: str | None = None
        self._told_ms = 0.0
        self._seen_ids: set[str] = set()
        self._probing: asyncio.Task | None = None

    def is_another(self, instance_id: str) -> bool:
        """Return whether the server has just said that it is another instance."""
        if self._instance_id is None or self._instance_id == instance_id:
            return False
        return self._now_ms() - self._told_ms < INSTANCE_WORD_MS

    def trusted_instance_id(self) -> str | None:
        """Return the server's instance id if requests may go to it by that alone.

        Once a second id was seen, the address has changed hands, perhaps to a server
        of another service.
        """
        young = self._now_ms() - self._started_ms < FRESH_START_MS
        return self._instance_id if young and len(self._seen_ids) == 1 else None

    def alive(self) -> None:
        """Note an answer of any kind, or a request after a time without any."""
        self._answered_ms = self._now_ms()

    def is_instance(self, instance_id: str | None) -> None:
        """Note which instance the server says it is; None where it may have ended."""
        self._instance_id = instance_id
        self._told_ms = self._now_ms()
        if instance_id is not None and len(self._seen_ids) < 2:
            self._seen_ids.add(instance_id)

    def unreachable(self) -> None:
        """Note that no connection could be made."""
        self._instance_id = None
        self._down()

    def look(self) -> None:
        """Find out whether the server's process has ended, after a broken connection.

        Failure: a connection breaks as a server drops it, or loses an answer, and as
        its process ends; only in the last case was a request perhaps its end. A process
        that has ended leaves nobody who listens at its port.
        """
        if self._looking is None:
            self._looking = self._loop.create_task(self._look())

    def overdue(self, mean_hold_ms: float) -> None:
        """Note a request without an answer in its time.

        Args:
            mean_hold_ms: mean time of a request at the server.
        """
        patience_ms = max(SILENT_MS, SILENT_HOLDS * mean_hold_ms)
        if self._now_ms() - self._answered_ms > patience_ms:
            self._down()

    def close(self) -> None:
        """Stop trying to connect."""
        for task in (self._probing, self._looking):
            if task is not None:
                task.cancel()

    async def _look(self) -> None:
        refused = await self._client.probe(LOOK_S) is Probe.REFUSED
        self._looking = None
        if refused:
            self.ended = True
            self._instance_id = None
            self._down()
        self._looked(refused)

    def _down(self) -> None:
        if not self.up:
            return
        self.up = False
        log_event("backend_down", level="warning", service=self._service)
        self._went_down()
        self._client.close()
        self._probing = self._loop.create_task(self._probe())

    async def _probe(self) -> None:
        while await self._client.probe() is not Probe.CONNECTED:
            await asyncio.sleep(PROBE_S)
        self.up = True
        self.ended = False
        self._instance_id = None
        self._answered_ms = self._now_ms()
        log_event("backend_up", service=self._service)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
