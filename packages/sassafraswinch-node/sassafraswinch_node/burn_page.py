"""The burn report as a page for people, with a picture drawn in place."""

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
"""Window whose shares of outcomes are drawn."""

OUTCOME_COLOURS = {
    "good": "#4c9f70",
    "late": "#e9c46a",
    "refused": "#9aa5b1",
    "unknown": "#c1121f",
}
"""Colours of the outcomes that count, in the order they are drawn."""

CALM, OVER, HIGH, WORST = "#ffffff", "#fdf0c4", "#f7b267", "#e5544b"

ROW_PX = 26
NAME_PX = 260
SHARE_PX = 260
RATE_PX = 64
GAP_PX = 12
TEXT_DROP_PX = 17
"""From the top of a row to the base line of its text."""

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}"
    ".alert{color:#a4161a;font-weight:bold}"
)


def burn_page(report: BurnReport) -> str:
    """Return a whole HTML page; every text in it is escaped by the writer."""
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
    """Return an SVG: a row for each series, with shares of outcomes and burn rates."""
    width = NAME_PX + SHARE_PX + GAP_PX + RATE_PX * len(BURN_WINDOWS_MS)
    height = ROW_PX * (len(report.series) + 2)
    picture = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        width=str(width),
        height=str(height),
        viewBox=f"0 0 {width} {height}",
        role="img",
        style="font:13px sans-serif",
    )
    _add_heads(picture)
    for row, series in enumerate(report.series, start=1):
        _add_row(picture, series, row * ROW_PX)
    _add_legend(picture, (len(report.series) + 1) * ROW_PX)
    return picture


def rate_colour(burn_rate: float | None) -> str:
    """Return the background of a burn rate: white while the objective is met."""
    rates = sorted(rule.burn_rate for rule in ALERT_RULES)
    if burn_rate is None or burn_rate <= 1:
        return CALM
    if burn_rate < rates[0]:
        return OVER
    return HIGH if burn_rate < rates[1] else WORST


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


def _add_heads(picture: ElementTree.Element) -> None:
    _text(picture, 0, 0, "class / operation")
    _text(picture, NAME_PX, 0, f"outcomes, last {window_name(SHARE_WINDOW_MS)}")
    for column, window_ms in enumerate(BURN_WINDOWS_MS):
        _text(picture, _rate_x(column) + 8, 0, window_name(window_ms))


def _add_row(picture: ElementTree.Element, series: SeriesBurn, y: int) -> None:
    _text(picture, 0, y, _shorten(series_name(series)))
    by_length = {window.window_ms: window for window in series.windows}
    if shares := by_length.get(SHARE_WINDOW_MS):
        _add_shares(picture, shares, y)
    for column, window_ms in enumerate(BURN_WINDOWS_MS):
        if window := by_length.get(window_ms):
            rate = window.burn_rate
            _box(picture, _rate_x(column), y, RATE_PX - 4, rate_colour(rate))
            _text(picture, _rate_x(column) + 8, y, format_rate(rate))


def _add_shares(picture: ElementTree.Element, window: WindowBurn, y: int) -> None:
    x = float(NAME_PX)
    for outcome, colour in OUTCOME_COLOURS.items():
        count = getattr(window.counts, outcome)
        if count:
            width = SHARE_PX * count / window.counts.counted
            bar = _box(picture, x, y, width, colour)
            _add(bar, "title", f"{outcome}: {count}")
            x += width


def _add_legend(picture: ElementTree.Element, y: int) -> None:
    x = NAME_PX
    for outcome, colour in OUTCOME_COLOURS.items():
        _box(picture, x, y, 10, colour)
        _text(picture, x + 14, y, outcome)
        x += SHARE_PX // len(OUTCOME_COLOURS) + 6


def _add_table(body: ElementTree.Element, report: BurnReport) -> None:
    table = _add(body, "table")
    heads = ["class / operation", "objective", "good", "late", "refused", "unknown"]
    heads += ["not counted", "p50 ms (5m)", "p99 ms (5m)", "p50 ms (1h)", "p99 ms (1h)"]
    heads += ["reasons"]
    row = _add(_add(table, "thead"), "tr")
    for head in heads:
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


def _text(parent: ElementTree.Element, x: float, y: int, text: str) -> None:
    _add(parent, "text", text, x=f"{x:.0f}", y=str(y + TEXT_DROP_PX))


def _box(parent: ElementTree.Element, x: float, y: int, width: float, colour: str):
    size = {"x": f"{x:.1f}", "y": str(y + 3), "width": f"{width:.1f}"}
    return _add(parent, "rect", **size, height=str(ROW_PX - 6), fill=colour)
