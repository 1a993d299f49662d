"""Pages of a sidecar for the platform: readiness and metrics."""

from collections.abc import Callable, Mapping
from functools import cached_property
from typing import TYPE_CHECKING

from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.relay_counters import RelayCounters

if TYPE_CHECKING:
    from sassafraswinch_sidecar.sidecar_metrics import SidecarMetrics


class ReadyPage:
    """Tells whether callers may be sent here.

    Args:
        path: path of the question.
        is_ready: returns the answer.
    """

    def __init__(self, *, path: bytes, is_ready: Callable[[], bool]):
        self._path = path
        self._is_ready = is_ready

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one question (RequestHandler)."""
        status = 404
        if request.target.partition(b"?")[0] == self._path:
            status = 200 if self._is_ready() else 503
        connection.respond(request, status=status, header_lines=b"")

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Nothing is under way (RequestHandler)."""


class MetricsPage:
    """Serves the metrics.

    Args:
        counts: ends of requests.
        gauges: returns the figures of the moment by name.
    """

    def __init__(
        self, *, counts: RelayCounters, gauges: Callable[[], Mapping[str, float]]
    ):
        self._counts = counts
        self._gauges = gauges

    @cached_property
    def _metrics(self) -> "SidecarMetrics":
        """What renders the page, imported for the first question.

        Its libraries take a tenth of a start, for which callers wait.
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
        """Nothing is under way (RequestHandler)."""
