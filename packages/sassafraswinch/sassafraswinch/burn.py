"""Recording of outcomes for the service-level burn report."""

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
"""Series that a node keeps; about 45 kB each when busy (docs/BURN.md)."""

OTHER = "(other)"
"""Class and operation of what has no series of its own."""

IDLE_MS = BURN_WINDOWS_MS[-1]
"""A series without calls for this long has nothing left to report."""

FORGET_EVERY_MS = 60_000
"""Least time between two searches for idle series when all places are taken."""


class BurnRecorder:
    """Outcomes of the calls of one node, by class and operation."""

    def __init__(
        self, *, host: str, now_ms: float, max_series: int = MAX_SERIES
    ) -> None:
        self._host = host
        self._started_ms = now_ms
        self._max_series = max_series
        self._objectives: dict[str, Objective] = {}
        self._document_version = 0
        self._forget_at_ms = now_ms
        self._series: dict[tuple[str, str], BurnSeries] = {}

    def set_objectives(
        self, objectives: Mapping[str, Objective], *, document_version: int
    ) -> None:
        """Take the objectives of a new document; recorded calls keep their judgement.

        Args:
            objectives: by class name; a class without one is only counted.
            document_version: version that they are from.
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
            class_name: the class of the call; ``OTHER`` where it has none.
            operation: name of the operation; ``OTHER`` where it is unknown.
            verdict: what the caller was told.
            reason: why there was no whole answer; None with an answer.
            latency_ms: from the first byte of the call to the end of its outcome.
            now_ms: monotonic time.
        """
        series = self._series.get((class_name, operation))
        if series is None:
            series = self._open(class_name, operation, now_ms)
        series.record(verdict, reason, latency_ms, now_ms)

    def report(self, now_ms: float) -> BurnReport:
        """Return the burn of every series that had calls in the longest window."""
        self._forget_idle(now_ms)
        covered_ms = now_ms - self._started_ms
        return BurnReport(
            hosts=(self._host,),
            document_version=self._document_version,
            series=tuple(
                series.report(covered_ms, now_ms)
                for _, series in sorted(self._series.items())
            ),
        )

    def _open(self, class_name: str, operation: str, now_ms: float) -> "BurnSeries":
        # Failure: a new document, or callers of many classes, name ever new
        # pairs; shows as memory that only grows. The last place is kept for OTHER,
        # which takes all that find none.
        if self._is_full() and now_ms >= self._forget_at_ms:
            self._forget_at_ms = now_ms + FORGET_EVERY_MS
            self._forget_idle(now_ms)
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

    def _forget_idle(self, now_ms: float) -> None:
        self._series = {
            key: series
            for key, series in self._series.items()
            if now_ms - series.last_ms <= IDLE_MS
        }
