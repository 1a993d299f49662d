"""Words for a burn report, shared by pages, tables and pictures."""

from sassafraswinch.burn_report import BurnReport, SeriesBurn
from sassafraswinch.burn_windows import window_name


def format_rate(burn_rate: float | None) -> str:
    """Return a burn rate in at most four characters; a dash for none."""
    if burn_rate is None:
        return "-"
    return f"{burn_rate:.1f}" if burn_rate < 99.95 else f"{burn_rate:.0f}"


def format_objective(series: SeriesBurn) -> str:
    """Return what the class is promised, such as ``99.5% in 1500 ms``."""
    objective = series.objective
    if objective is None:
        return "none"
    return f"{objective.answered_percent:g}% in {objective.latency_ms:g} ms"


def series_name(series: SeriesBurn) -> str:
    """Return class and operation as one name."""
    return f"{series.class_name} / {series.operation}"


def format_reasons(series: SeriesBurn, *, most: int = 3) -> str:
    """Return the commonest reasons of calls without an answer, with their counts."""
    ordered = sorted(series.reasons.items(), key=lambda item: -item[1])
    return ", ".join(f"{reason} {count}" for reason, count in ordered[:most]) or "-"


def describe_alerts(report: BurnReport) -> list[str]:
    """Return a sentence for each alert."""
    return [
        f"{alert.severity.value}: {series_name(series)} burns at "
        f"{format_rate(alert.burn_rate)} over {window_name(alert.short_ms)} and "
        f"{window_name(alert.long_ms)}"
        for series in report.series
        for alert in series.alerts
    ]
