"""HTML page of the burn report, with an inline SVG chart."""

from xml.etree import ElementTree

from sassafraswinch.burn_format import (
    describe_alerts,
    format_objective,
    format_rate,
    format_reasons,
    series_name,
)
from sassafraswinch.burn_rates import ALERT_RULES
from sassafraswinch.burn_report import BurnReport, SeriesBurn, WindowBurn
from sassafraswinch.burn_windows import BURN_WINDOWS_MS, MINUTE_MS, window_name

SHARE_WINDOW_MS = 5 * MINUTE_MS
"""Window whose outcome shares are drawn."""

OUTCOME_COLOURS = {
    "good": "#4c9f70",
    "late": "#e9c46a",
    "refused": "#9aa5b1",
    "unknown": "#c1121f",
}
"""Colours of the outcomes that count towards the objective, in drawing order."""

MET_COLOUR, OVER_COLOUR, HIGH_COLOUR, HIGHEST_COLOUR = (
    "#ffffff",
    "#fdf0c4",
    "#f7b267",
    "#e5544b",
)

ROW_PX = 26
NAME_PX = 260
SHARE_PX = 260
RATE_PX = 64
GAP_PX = 12
TEXT_BASELINE_PX = 17
"""Distance from the top of a row to the baseline of its text."""

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}"
    ".alert{color:#a4161a;font-weight:bold}"
)


def burn_page(report: BurnReport) -> str:
    """Return the HTML page; the serializer escapes all text in it."""
    page = ElementTree.Element("html", lang="en")
    head = _add(page, "head")
    _add(head, "meta", charset="utf-8")
    _add(head, "title", "Service-level burn")
    _add(head, "style", STYLE)
    body = _add(page, "body")
    _add(body, "h1", "Service-level burn")
    _add(body, "p", _summary(report))
    _add_alerts(body, report)
    body.append(burn_picture(report))
    _add_table(body, report)
    text = ElementTree.tostring(page, encoding="unicode", method="html")
    return f"<!DOCTYPE html>\n{text}\n"


def burn_picture(report: BurnReport) -> ElementTree.Element:
    """Return an SVG chart with the outcome shares and burn rates of each series."""
    width = NAME_PX + SHARE_PX + GAP_PX + RATE_PX * len(BURN_WINDOWS_MS)
    height = ROW_PX * (len(report.series) + 2)
    chart = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        width=str(width),
        height=str(height),
        viewBox=f"0 0 {width} {height}",
        role="img",
        style="font:13px sans-serif",
    )
    _add_column_headings(chart)
    for row, series in enumerate(report.series, start=1):
        _add_row(chart, series, row * ROW_PX)
    _add_legend(chart, (len(report.series) + 1) * ROW_PX)
    return chart


def rate_colour(burn_rate: float | None) -> str:
    """Return the background colour of a burn rate; white if the objective is met."""
    rates = sorted(rule.burn_rate for rule in ALERT_RULES)
    if burn_rate is None or burn_rate <= 1:
        return MET_COLOUR
    if burn_rate < rates[0]:
        return OVER_COLOUR
    return HIGH_COLOUR if burn_rate < rates[1] else HIGHEST_COLOUR


def _summary(report: BurnReport) -> str:
    hosts = ", ".join(report.hosts) if len(report.hosts) <= 8 else len(report.hosts)
    return (
        f"Hosts: {hosts}. Objectives of document version {report.document_version}. "
        "A burn rate of 1 just meets the objective."
    )


def _add_alerts(body: ElementTree.Element, report: BurnReport) -> None:
    lines = describe_alerts(report)
    for line in lines:
        _add(body, "p", line, **{"class": "alert"})
    if not lines:
        _add(body, "p", "No alerts.")


def _add_column_headings(chart: ElementTree.Element) -> None:
    _add_text(chart, 0, 0, "class / operation")
    _add_text(chart, NAME_PX, 0, f"outcomes, last {window_name(SHARE_WINDOW_MS)}")
    for column, window_ms in enumerate(BURN_WINDOWS_MS):
        _add_text(chart, _rate_x(column) + 8, 0, window_name(window_ms))


def _add_row(chart: ElementTree.Element, series: SeriesBurn, y: int) -> None:
    _add_text(chart, 0, y, _shorten(series_name(series)))
    by_window_ms = {window.window_ms: window for window in series.windows}
    if shares := by_window_ms.get(SHARE_WINDOW_MS):
        _add_shares(chart, shares, y)
    for column, window_ms in enumerate(BURN_WINDOWS_MS):
        if window := by_window_ms.get(window_ms):
            rate = window.burn_rate
            _add_box(chart, _rate_x(column), y, RATE_PX - 4, rate_colour(rate))
            _add_text(chart, _rate_x(column) + 8, y, format_rate(rate))


def _add_shares(chart: ElementTree.Element, window: WindowBurn, y: int) -> None:
    x = float(NAME_PX)
    for outcome, colour in OUTCOME_COLOURS.items():
        count = getattr(window.counts, outcome)
        if count:
            width = SHARE_PX * count / window.counts.counted
            bar = _add_box(chart, x, y, width, colour)
            _add(bar, "title", f"{outcome}: {count}")
            x += width


def _add_legend(chart: ElementTree.Element, y: int) -> None:
    x = NAME_PX
    for outcome, colour in OUTCOME_COLOURS.items():
        _add_box(chart, x, y, 10, colour)
        _add_text(chart, x + 14, y, outcome)
        x += SHARE_PX // len(OUTCOME_COLOURS) + 6


def _add_table(body: ElementTree.Element, report: BurnReport) -> None:
    table = _add(body, "table")
    headings = ["class / operation", "objective", "good", "late", "refused", "unknown"]
    headings += [
        "not counted",
        "p50 ms (5m)",
        "p99 ms (5m)",
        "p50 ms (1h)",
        "p99 ms (1h)",
    ]
    headings += ["reasons"]
    row = _add(_add(table, "thead"), "tr")
    for head in headings:
        _add(row, "th", head)
    rows = _add(table, "tbody")
    for series in report.series:
        row = _add(rows, "tr")
        for cell in _cells(series):
            _add(row, "td", cell)
    _add(body, "p", "Counts and reasons are since the start of each node.")


def _cells(series: SeriesBurn) -> list[str]:
    total = series.total
    counts = (total.good, total.late, total.refused, total.unknown, total.not_counted)
    quantiles = [
        f"{value_ms:.1f}"
        for latency in series.latencies
        for value_ms in (latency.p50_ms, latency.p99_ms)
    ]
    texts = [series_name(series), format_objective(series), *map(str, counts)]
    return [*texts, *quantiles, format_reasons(series)]


def _shorten(name: str) -> str:
    longest = NAME_PX // 7
    return name if len(name) <= longest else name[: longest - 1] + "…"


def _rate_x(column: int) -> int:
    return NAME_PX + SHARE_PX + GAP_PX + RATE_PX * column


def _add(parent: ElementTree.Element, tag: str, text: str = "", **attributes: str):
    child = ElementTree.SubElement(parent, tag, attributes)
    child.text = text or None
    return child


def _add_text(parent: ElementTree.Element, x: float, y: int, text: str) -> None:
    _add(parent, "text", text, x=f"{x:.0f}", y=str(y + TEXT_BASELINE_PX))


def _add_box(parent: ElementTree.Element, x: float, y: int, width: float, colour: str):
    size = {"x": f"{x:.1f}", "y": str(y + 3), "width": f"{width:.1f}"}
    return _add(parent, "rect", **size, height=str(ROW_PX - 6), fill=colour)
