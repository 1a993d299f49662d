"""Burn recorder: counts call outcomes of a node against service-level objectives."""

from collections.abc import Mapping

from sassafraswinch.burn_rates import merge_reports
from sassafraswinch.burn_report import (
    BurnReport,
    parse_report,
    serialize_report,
)
from sassafraswinch.burn_series import BurnSeries
from sassafraswinch.burn_windows import BURN_WINDOWS_MS
from sassafraswinch.document import Objective
from sassafraswinch.verdict import Reason, Verdict

__all__ = [
    "BurnRecorder",
    "BurnReport",
    "merge_reports",
    "parse_report",
    "serialize_report",
]

MAX_SERIES = 128
"""Series that a node retains; about 45 kB each under load (docs/BURN.md)."""

OTHER = "(other)"
"""Class and operation of the series for calls without a series of their own."""

SERIES_IDLE_MS = BURN_WINDOWS_MS[-1]
"""Idle time after which a series has nothing to report and may be evicted."""

EVICTION_INTERVAL_MS = 60_000
"""Shortest time between two searches for idle series while the recorder is full."""


class BurnRecorder:
    """Records the outcomes of the calls of one node, by class and operation."""

    def __init__(
        self, *, host: str, now_ms: float, max_series: int = MAX_SERIES
    ) -> None:
        self._host = host
        self._started_ms = now_ms
        self._max_series = max_series
        self._objectives: dict[str, Objective] = {}
        self._document_version = 0
        self._evict_at_ms = now_ms
        self._series: dict[tuple[str, str], BurnSeries] = {}

    def set_objectives(
        self, objectives: Mapping[str, Objective], *, document_version: int
    ) -> None:
        """Apply the objectives of a new document to the calls recorded from now on.

        Calls that are already recorded keep their result.

        Args:
            objectives: objectives by class name; calls of a class without one are
                only counted.
            document_version: version of the document that defines them.
        """
        self._objectives = dict(objectives)
        self._document_version = document_version
        for series in self._series.values():
            series.set_objective(self._objectives.get(series.class_name))

    def record(
        self,
        *,
        class_name: str,
        operation: str,
        verdict: Verdict,
        reason: Reason | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Count the outcome of one call.

        Args:
            class_name: class of the call; ``OTHER`` if it has none.
            operation: name of the operation; ``OTHER`` if it is unknown.
            verdict: verdict that the caller received.
            reason: why there was no complete answer; None with an answer.
            latency_ms: time from the first byte of the call to the end of its
                outcome.
            now_ms: monotonic time.
        """
        series = self._series.get((class_name, operation))
        if series is None:
            series = self._open_series(class_name, operation, now_ms)
        series.record(verdict, reason, latency_ms, now_ms)

    def report(self, now_ms: float) -> BurnReport:
        """Return the report over every series with calls in the longest window."""
        self._evict_idle(now_ms)
        covered_ms = now_ms - self._started_ms
        return BurnReport(
            hosts=(self._host,),
            document_version=self._document_version,
            series=tuple(
                series.report(covered_ms, now_ms)
                for _, series in sorted(self._series.items())
            ),
        )

    def _open_series(
        self, class_name: str, operation: str, now_ms: float
    ) -> "BurnSeries":
        # Failure: new documents, or callers of many classes, keep adding pairs of
        # class and operation, and memory only grows. So the number of series is
        # bounded; the last one is reserved for OTHER, which counts all further calls.
        if self._is_full() and now_ms >= self._evict_at_ms:
            self._evict_at_ms = now_ms + EVICTION_INTERVAL_MS
            self._evict_idle(now_ms)
        if self._is_full():
            class_name = operation = OTHER
        key = class_name, operation
        if key not in self._series:
            self._series[key] = BurnSeries(
                class_name=class_name,
                operation=operation,
                objective=self._objectives.get(class_name),
                now_ms=now_ms,
            )
        return self._series[key]

    def _is_full(self) -> bool:
        return len(self._series) >= self._max_series - 1

    def _evict_idle(self, now_ms: float) -> None:
        self._series = {
            key: series
            for key, series in self._series.items()
            if now_ms - series.last_ms <= SERIES_IDLE_MS
        }
