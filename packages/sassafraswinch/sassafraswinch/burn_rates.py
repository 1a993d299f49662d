"""Burn rates, burn-rate alerts and the merging of burn reports of several nodes."""

from dataclasses import dataclass
from itertools import groupby
from operator import attrgetter
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from sassafraswinch.burn_report import (
    Alert,
    BurnReport,
    SeriesBurn,
    Severity,
    WindowBurn,
    WindowLatency,
)
from sassafraswinch.burn_windows import MINUTE_MS, OutcomeCounts
from sassafraswinch.document import Objective
from sassafraswinch.latencies import add_histograms, quantiles_ms

Window = TypeVar("Window", WindowBurn, WindowLatency)

QUANTILE_PERCENTS = (50.0, 90.0, 99.0, 100.0)

MIN_ALLOWED_PERCENT = 0.001
"""Error budget assumed for an objective of 100%, whose burn rate is undefined."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AlertRule:
    """Multi-window alert rule: both windows must burn at least at ``burn_rate``.

    The long window shows that the burn is significant, the short one that it is
    still going on.
    """

    severity: Severity
    short_ms: int
    long_ms: int
    burn_rate: float


ALERT_RULES = (
    AlertRule(
        severity=Severity.PAGE,
        short_ms=MINUTE_MS,
        long_ms=5 * MINUTE_MS,
        burn_rate=43.2,
    ),
    AlertRule(
        severity=Severity.PAGE,
        short_ms=5 * MINUTE_MS,
        long_ms=60 * MINUTE_MS,
        burn_rate=14.4,
    ),
    AlertRule(
        severity=Severity.TICKET,
        short_ms=30 * MINUTE_MS,
        long_ms=360 * MINUTE_MS,
        burn_rate=6.0,
    ),
)
"""Alert rules. Their rates consume 0.5% of the error budget of 30 days in 5 minutes,
2% in an hour and 5% in 6 hours: share * 30 days / long window."""

MIN_ALERT_BAD_CALLS = 5
"""Fewest bad calls in the long window that raise an alert. Without this limit, one
failed call of an operation that runs twice an hour would burn at the highest rate."""


def window_burn(
    *,
    window_ms: int,
    covered_ms: float,
    counts: OutcomeCounts,
    objective: Objective | None,
) -> WindowBurn:
    """Return the burn of one window against an objective."""
    rate = None
    if objective is not None and counts.counted:
        allowed_percent = max(100.0 - objective.answered_percent, MIN_ALLOWED_PERCENT)
        rate = 100.0 * counts.bad / counts.counted / allowed_percent
    return WindowBurn(
        window_ms=window_ms, covered_ms=covered_ms, counts=counts, burn_rate=rate
    )


def window_latency(*, window_ms: int, histogram: HdrHistogram) -> WindowLatency:
    """Return the latency quantiles of one window."""
    p50_ms, p90_ms, p99_ms, max_ms = quantiles_ms(histogram, QUANTILE_PERCENTS)
    return WindowLatency(
        window_ms=window_ms,
        p50_ms=p50_ms,
        p90_ms=p90_ms,
        p99_ms=p99_ms,
        max_ms=max_ms,
        histogram=histogram,
    )


def find_alerts(windows: tuple[WindowBurn, ...]) -> tuple[Alert, ...]:
    """Return the alerts that the rules raise over these windows.

    Failure: a fleet that started ten seconds ago has its first overload. Its one-hour
    window holds only those calls, so it pages as if an hour had burnt. Therefore the
    part of a long window before the start counts as time without burn.
    """
    window_by_length = {window.window_ms: window for window in windows}
    pairs = [
        (rule, window_by_length[rule.short_ms], window_by_length[rule.long_ms])
        for rule in ALERT_RULES
        if rule.short_ms in window_by_length and rule.long_ms in window_by_length
    ]
    return tuple(
        Alert(
            severity=rule.severity,
            short_ms=rule.short_ms,
            long_ms=rule.long_ms,
            burn_rate=rate,
        )
        for rule, short, long in pairs
        if (rate := min(short.burn_rate or 0.0, _rate_over_full_window(long)))
        >= rule.burn_rate
        and long.counts.bad >= MIN_ALERT_BAD_CALLS
    )


def _rate_over_full_window(window: WindowBurn) -> float:
    return (window.burn_rate or 0.0) * window.covered_ms / window.window_ms


def merge_reports(reports: list[BurnReport]) -> BurnReport:
    """Merge the reports of several nodes.

    If their documents differ, the objective of the highest version is used; calls
    that were already counted keep their result.

    Args:
        reports: reports of different nodes; may be empty.

    Returns:
        One report with a series for each class and operation of any node.
    """
    newest_first = sorted(reports, key=lambda report: -report.document_version)
    series = sorted(
        (series for report in newest_first for series in report.series), key=series_key
    )
    return BurnReport(
        hosts=tuple(sorted({host for report in reports for host in report.hosts})),
        document_version=max((r.document_version for r in reports), default=0),
        series=tuple(
            _merge_series(list(series_group))
            for _, series_group in groupby(series, key=series_key)
        ),
    )


def series_key(series: SeriesBurn) -> tuple[str, str]:
    """Return the key of a series: its class and operation."""
    return series.class_name, series.operation


def _merge_series(series_group: list[SeriesBurn]) -> SeriesBurn:
    objective = series_group[0].objective
    windows = _merge_windows(series_group, objective)
    reasons = sorted({reason for series in series_group for reason in series.reasons})
    return SeriesBurn(
        class_name=series_group[0].class_name,
        operation=series_group[0].operation,
        objective=objective,
        windows=windows,
        latencies=_merge_latencies(series_group),
        alerts=find_alerts(windows),
        total=_add_counts([series.total for series in series_group]),
        reasons={
            reason: sum(series.reasons.get(reason, 0) for series in series_group)
            for reason in reasons
        },
    )


def _merge_windows(
    series_group: list[SeriesBurn], objective: Objective | None
) -> tuple[WindowBurn, ...]:
    windows = [window for series in series_group for window in series.windows]
    return tuple(
        window_burn(
            window_ms=window_ms,
            covered_ms=max(window.covered_ms for window in window_group),
            counts=_add_counts([window.counts for window in window_group]),
            objective=objective,
        )
        for window_ms, window_group in _group_by_length(windows)
    )


def _merge_latencies(series_group: list[SeriesBurn]) -> tuple[WindowLatency, ...]:
    windows = [window for series in series_group for window in series.latencies]
    return tuple(
        window_latency(
            window_ms=window_ms,
            histogram=add_histograms(window.histogram for window in window_group),
        )
        for window_ms, window_group in _group_by_length(windows)
    )


def _group_by_length(windows: list[Window]) -> list[tuple[int, list[Window]]]:
    ordered = sorted(windows, key=attrgetter("window_ms"))
    return [
        (window_ms, list(window_group))
        for window_ms, window_group in groupby(ordered, key=attrgetter("window_ms"))
    ]


def _add_counts(counts: list[OutcomeCounts]) -> OutcomeCounts:
    total = OutcomeCounts()
    for added in counts:
        total.add(added)
    return total
