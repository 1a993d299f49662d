"""HTTP pages of a sidecar: readiness, metrics, and plain text for operators."""

from collections.abc import Callable, Iterable, Mapping
from functools import cached_property
from typing import TYPE_CHECKING

from sassafraswinch_sidecar.caller_connection import CallerConnection, HttpRequest
from sassafraswinch_sidecar.relay_counters import RelayCounters

if TYPE_CHECKING:
    from sassafraswinch_sidecar.sidecar_metrics import SidecarMetrics


def respond_with_lines(
    request: HttpRequest, connection: CallerConnection, lines: Iterable[str]
) -> None:
    """Respond with a page of plain text for operators."""
    connection.respond(
        request,
        status=200,
        header_lines=b"Content-Type: text/plain; charset=utf-8\r\n",
        body="".join(f"{line}\n" for line in lines).encode(),
    )


class ReadyPage:
    """Serves the readiness probe of the platform.

    Args:
        path: path of the probe.
        is_ready: returns whether the platform may send callers to this sidecar.
    """

    def __init__(self, *, path: bytes, is_ready: Callable[[], bool]):
        self._path = path
        self._is_ready = is_ready

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Respond with 200 if ready and 503 if not (RequestHandler)."""
        status = 404
        if request.target.partition(b"?")[0] == self._path:
            status = 200 if self._is_ready() else 503
        connection.respond(request, status=status, header_lines=b"")

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Do nothing: each request is answered at once (RequestHandler)."""


class MetricsPage:
    """Serves the metrics page.

    Args:
        counts: counters of request outcomes.
        gauges: returns the current gauge values by name.
    """

    def __init__(
        self, *, counts: RelayCounters, gauges: Callable[[], Mapping[str, float]]
    ):
        self._counts = counts
        self._gauges = gauges

    @cached_property
    def _metrics(self) -> "SidecarMetrics":
        """The renderer of the page, imported on the first request.

        The import of its libraries would take a tenth of the start-up time, for which
        callers wait.
        """
        from sassafraswinch_sidecar.sidecar_metrics import SidecarMetrics

        return SidecarMetrics(counts=self._counts, gauges=self._gauges)

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Render the page (RequestHandler)."""
        connection.respond(
            request,
            status=200,
            header_lines=b"Content-Type: text/plain; version=0.0.4\r\n",
            body=self._metrics.render(),
        )

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Do nothing: each request is answered at once (RequestHandler)."""
