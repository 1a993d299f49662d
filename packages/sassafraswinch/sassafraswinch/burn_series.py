"""Burn series: outcomes of one operation in one class against the class objective.

The objective counts these outcomes:

- good: a complete answer within the objective's latency, whatever its status;
- late: a complete answer after that latency;
- refused: proved not run, because the system couldn't serve it (overload, eviction,
  deadline, a leaving host, a backend server that shed it, no host, no document);
- unknown: may have run.

It doesn't count calls that the caller cancelled, nor calls refused for a reason of
the caller, such as a bad request or retries beyond the caller's share.
"""

from collections import Counter
from copy import copy

from sassafraswinch.burn_rates import find_alerts, window_burn, window_latency
from sassafraswinch.burn_report import SeriesBurn
from sassafraswinch.burn_windows import (
    BURN_WINDOWS_MS,
    COUNT_SLOT_MS,
    LATENCY_SLOT_MS,
    LATENCY_WINDOWS_MS,
    CountWindow,
    LatencyWindow,
    OutcomeCounts,
)
from sassafraswinch.document import Objective
from sassafraswinch.latencies import LatencyCounts, count_latency, histogram_of
from sassafraswinch.verdict import Reason, Verdict

CALLER_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNKNOWN_OPERATION,
        Reason.TOO_LARGE,
        Reason.TICKET_REQUIRED,
        Reason.TICKET_INVALID,
        Reason.TICKET_EXPIRED,
        Reason.TICKET_OTHER_REQUEST,
        Reason.CALLER_RETRIES,
        Reason.RETRY_REFUSED,
        Reason.REPEATABLE_PARENT,
    }
)
"""Reasons of the caller: a NOT_RUN call with one of these isn't counted."""


class BurnSeries:
    """Counts the outcomes of one operation in one class.

    Outcomes are counted in ``_fresh`` and latencies in ``_live``. Both are folded into
    the windows when their shortest slot ends, so that a call costs two increments.
    """

    __slots__ = (
        "class_name",
        "operation",
        "last_ms",
        "_objective",
        "_latency_limit_ms",
        "_fresh",
        "_fold_at_ms",
        "_live",
        "_live_fold_at_ms",
        "_windows",
        "_latencies",
        "_total",
        "_reasons",
    )

    def __init__(
        self,
        *,
        class_name: str,
        operation: str,
        objective: Objective | None,
        now_ms: float,
    ):
        self.class_name = class_name
        self.operation = operation
        self.last_ms = now_ms
        self._windows = [CountWindow(window_ms=ms) for ms in BURN_WINDOWS_MS]
        self._latencies = [LatencyWindow(window_ms=ms) for ms in LATENCY_WINDOWS_MS]
        self._total = OutcomeCounts()
        self._reasons: Counter[Reason] = Counter()
        self._fresh = OutcomeCounts()
        self._fold_at_ms = _end_of_slot(now_ms, COUNT_SLOT_MS)
        self._live: LatencyCounts = {}
        self._live_fold_at_ms = _end_of_slot(now_ms, LATENCY_SLOT_MS)
        self.set_objective(objective)

    def set_objective(self, objective: Objective | None) -> None:
        """Apply ``objective`` to the calls recorded from now on."""
        self._objective = objective
        self._latency_limit_ms = objective.latency_ms if objective else float("inf")

    def record(
        self, verdict: Verdict, reason: Reason | None, latency_ms: float, now_ms: float
    ) -> None:
        """Count the outcome of one call."""
        if now_ms >= self._fold_at_ms:
            self._fold(now_ms)
        self.last_ms = now_ms
        if verdict is Verdict.ANSWERED:
            if latency_ms <= self._latency_limit_ms:
                self._fresh.good += 1
            else:
                self._fresh.late += 1
            count_latency(self._live, latency_ms)
            return
        if reason is not None:
            self._reasons[reason] += 1
        if reason is Reason.CANCELLED:
            self._fresh.not_counted += 1
        elif verdict is Verdict.MAY_HAVE_RUN:
            self._fresh.unknown += 1
        elif reason in CALLER_REASONS:
            self._fresh.not_counted += 1
        else:
            self._fresh.refused += 1

    def report(self, covered_ms: float, now_ms: float) -> SeriesBurn:
        """Return the burn over all windows."""
        self._fold(now_ms)
        self._fold_latencies(now_ms)
        windows = tuple(
            window_burn(
                window_ms=window.window_ms,
                covered_ms=min(covered_ms, window.window_ms),
                counts=window.total(now_ms),
                objective=self._objective,
            )
            for window in self._windows
        )
        return SeriesBurn(
            class_name=self.class_name,
            operation=self.operation,
            objective=self._objective,
            windows=windows,
            latencies=tuple(
                window_latency(
                    window_ms=window.window_ms,
                    histogram=window.total(now_ms),
                )
                for window in self._latencies
            ),
            alerts=find_alerts(windows),
            total=copy(self._total),
            reasons={
                reason.value: count for reason, count in self._reasons.most_common()
            },
        )

    def _fold(self, now_ms: float) -> None:
        # The counts of ``_fresh`` belong to one slot of every window, as they are
        # folded before a call of the next slot is counted. So the start time of the
        # slot is exact.
        slot_start_ms = self._fold_at_ms - COUNT_SLOT_MS
        for window in self._windows:
            window.add(self._fresh, slot_start_ms)
        self._total.add(self._fresh)
        self._fresh = OutcomeCounts()
        self._fold_at_ms = _end_of_slot(now_ms, COUNT_SLOT_MS)
        if now_ms >= self._live_fold_at_ms:
            self._fold_latencies(now_ms)

    def _fold_latencies(self, now_ms: float) -> None:
        if self._live:
            histogram = histogram_of(self._live)
            slot_start_ms = self._live_fold_at_ms - LATENCY_SLOT_MS
            for window in self._latencies:
                window.add(histogram, slot_start_ms)
            self._live = {}
        self._live_fold_at_ms = _end_of_slot(now_ms, LATENCY_SLOT_MS)


def _end_of_slot(now_ms: float, slot_ms: int) -> float:
    return (now_ms // slot_ms + 1) * slot_ms
