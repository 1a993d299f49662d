"""State of the local backend server: up or down, and which instance it is."""

import asyncio
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_node.supervision import start_supervised
from sassafraswinch_sidecar.http_client import HttpClient, ProbeResult

PROBE_INTERVAL_S = 0.4
"""Pause between attempts to connect to a backend server that is down."""

EXIT_CHECK_TIMEOUT_S = 0.15
"""Longest check whether the server exited after a connection broke. On the same host
the answer takes less than a millisecond; the rest is for a busy event loop, and callers
wait meanwhile."""

MIN_SILENCE_MS = 1_500.0
"""Time without any answer, while requests run, after which a server counts as down; at
least ``SILENCE_FACTOR`` times the mean time of a request."""

SILENCE_FACTOR = 8.0
"""Factor on the mean time of a request: some requests take five times the mean."""

TRUSTED_START_MS = 8_000.0
"""Time after the start of this process for which the instance id that the server
reports is trusted before the platform lists it. The settings were read at the start, so
the local server still belongs to the service that they name. Later, its address may
have been given to another service, whose requests it must not run."""


REPORTED_INSTANCE_LIFE_MS = 1_000.0
"""Time for which the instance id last reported by the server has requests for other
instances refused unsent. Another instance may start at the address while no request is
under way; one refusal a second by the server itself detects that."""


class ServerMonitor:
    """Detects from requests whether the server is up, and which instance it is.

    No health check is sent: it would take a slot, and its result may be wrong. While
    the server is down, connection attempts are made until one succeeds.

    Args:
        client: connections to the server.
        service: its service, for the log.
        on_down: called when the server is found to be down.
        on_exit_checked: called after an exit check, with whether the server's process
            exited.

    Attributes:
        is_up: whether requests may be sent to the server.
        has_exited: whether its process exited, and no other runs in its place yet.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        service: str,
        on_down: Callable[[], None],
        on_exit_checked: Callable[[bool], None],
    ):
        self.is_up = True
        self.has_exited = False
        self._on_exit_checked = on_exit_checked
        self._exit_check: asyncio.Task | None = None
        self._client = client
        self._service = service
        self._on_down = on_down
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._answered_ms = 0.0
        self._instance_id: str | None = None
        self._reported_ms = 0.0
        self._reported_ids: set[str] = set()
        self._probing: asyncio.Task | None = None

    def is_other_instance(self, instance_id: str) -> bool:
        """Return whether the server recently reported to be another instance."""
        if self._instance_id is None or self._instance_id == instance_id:
            return False
        return self._now_ms() - self._reported_ms < REPORTED_INSTANCE_LIFE_MS

    def trusted_instance_id(self) -> str | None:
        """Return the server's instance id if it alone suffices to send it requests.

        Once a second id was reported, the address has changed hands, perhaps to a
        server of another service.
        """
        is_recent = self._now_ms() - self._started_ms < TRUSTED_START_MS
        return self._instance_id if is_recent and len(self._reported_ids) == 1 else None

    def record_activity(self) -> None:
        """Restart the silence period: at an answer, or a request to an idle server."""
        self._answered_ms = self._now_ms()

    def record_instance(self, instance_id: str | None) -> None:
        """Record the instance that the server reports; None if it may have exited."""
        self._instance_id = instance_id
        self._reported_ms = self._now_ms()
        if instance_id is not None and len(self._reported_ids) < 2:
            self._reported_ids.add(instance_id)

    def record_unreachable(self) -> None:
        """Record that no connection could be made."""
        self._instance_id = None
        self._set_down()

    def check_exit(self) -> None:
        """Check whether the server's process exited, after a connection broke.

        Failure: a connection breaks when a server drops it, when it loses an answer,
        and when its process exits; only in the last case may a request have caused a
        crash. After an exit, nothing listens at the server's port.
        """
        if self._exit_check is None:
            self._exit_check = self._loop.create_task(self._check_exit())

    def record_overdue(self, mean_hold_ms: float) -> None:
        """Record a request that wasn't answered in time.

        Args:
            mean_hold_ms: mean time of a request at the server.
        """
        max_silence_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * mean_hold_ms)
        if self._now_ms() - self._answered_ms > max_silence_ms:
            self._set_down()

    def close(self) -> None:
        """Cancel connection attempts and exit checks."""
        for task in (self._probing, self._exit_check):
            if task is not None:
                task.cancel()

    async def _check_exit(self) -> None:
        try:
            result = await self._client.probe(EXIT_CHECK_TIMEOUT_S)
        finally:
            self._exit_check = None
        refused = result is ProbeResult.REFUSED
        if refused:
            self.has_exited = True
            self._instance_id = None
            self._set_down()
        self._on_exit_checked(refused)

    def _set_down(self) -> None:
        if not self.is_up:
            return
        self.is_up = False
        log_event("backend_down", level="warning", service=self._service)
        self._on_down()
        self._client.close()
        self._probing = start_supervised("probe_server", self._probe_until_up)

    async def _probe_until_up(self) -> None:
        while await self._client.probe() is not ProbeResult.CONNECTED:
            await asyncio.sleep(PROBE_INTERVAL_S)
        self.is_up = True
        self.has_exited = False
        self._instance_id = None
        self._answered_ms = self._now_ms()
        log_event("backend_up", service=self._service)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
